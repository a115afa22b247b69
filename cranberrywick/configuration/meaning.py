"""Rules of a configuration document that a JSON schema can't express."""

import math
from collections.abc import Iterator

from cranberrywick.configuration.schema import Problem, json_path

__all__ = ["semantic_problems"]


def semantic_problems(document: dict) -> Iterator[Problem]:
    """Yield the problems of a document that is valid by its schema."""
    yield from _number_problems(document, ())
    yield from _target_problems(document)
    yield from _key_problems(document)
    yield from _reference_problems(document)
    yield from _call_problems(document)
    yield from _kind_problems(document)


def _number_problems(value: object, path: tuple) -> Iterator[Problem]:
    """Yield a problem for each NaN or infinity, which Python's JSON decoder accepts."""
    if isinstance(value, float) and not math.isfinite(value):
        yield Problem(json_path(path), value, "a finite number")
    children: Iterator = iter(())
    if isinstance(value, dict):
        children = iter(value.items())
    elif isinstance(value, list):
        children = iter(enumerate(value))
    for name, child in children:
        yield from _number_problems(child, (*path, name))


def _target_problems(document: dict) -> Iterator[Problem]:
    for name, targets in document.get("classes", {}).items():
        path = json_path(["classes", name, "first_token_seconds"])
        first = targets["first_token_seconds"]
        completion = targets["completion_seconds"]
        if first > completion:
            yield Problem(path, first, f"at most completion_seconds, {completion}")


def _key_problems(document: dict) -> Iterator[Problem]:
    # If two organisations shared a key, one could act as the other.
    owner_by_digest: dict[str, str] = {}
    for name, organisation in document.get("organisations", {}).items():
        for index, digest in enumerate(organisation["key_sha256"]):
            owner = owner_by_digest.setdefault(digest, name)
            if owner != name:
                path = json_path(["organisations", name, "key_sha256", index])
                yield Problem(path, digest, f"a key not used by {owner}")


def _reference_problems(document: dict) -> Iterator[Problem]:
    classes = document.get("classes", {})
    for section in ("models", "services"):
        for name, fields in document.get(section, {}).items():
            if fields["class"] not in classes:
                path = json_path([section, name, "class"])
                yield Problem(path, fields["class"], _one_of(classes))
    models = document.get("models", {})
    services = document.get("services", {})
    for name, kind in document.get("endpoint_kinds", {}).items():
        for index, model in enumerate(kind.get("models", [])):
            if model not in models:
                path = json_path(["endpoint_kinds", name, "models", index])
                yield Problem(path, model, _one_of(models))
        service = kind.get("service")
        if kind["type"] == "service" and service not in services:
            path = json_path(["endpoint_kinds", name, "service"])
            yield Problem(path, service, _one_of(services))


def _one_of(names: dict) -> str:
    if not names:
        return "a name that this document defines, and it defines none"
    return "one of " + ", ".join(sorted(names))


def _call_problems(document: dict) -> Iterator[Problem]:
    # Two entries for one call could differ on whether it may be run more than once.
    for name, service in document.get("services", {}).items():
        seen: set[tuple[str, str]] = set()
        for index, call in enumerate(service["calls"]):
            identity = (call["method"], call["path"])
            if identity in seen:
                path = json_path(["services", name, "calls", index])
                yield Problem(path, " ".join(identity), "each call listed once")
            seen.add(identity)


def _kind_problems(document: dict) -> Iterator[Problem]:
    for name, kind in document.get("endpoint_kinds", {}).items():
        cold, slots = kind.get("cold_slots", 1), kind["slots"]
        if cold > slots:
            path = json_path(["endpoint_kinds", name, "cold_slots"])
            yield Problem(path, cold, f"at most slots, {slots}")
        if kind["type"] == "engine" and not kind.get("models"):
            path = json_path(["endpoint_kinds", name, "models"])
            yield Problem(path, kind.get("models"), "the models an engine can load")
