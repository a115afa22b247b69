"""The operators' configuration: organisations, classes, models and services.

`check` validates a decoded JSON document, first against the JSON schema in
``document.json``, then against the rules that a schema can't express, and returns a
`Configuration`. Operators state targets and what endpoints can do; the document has
no fields for weights, addresses or VMs.
"""

import json
from importlib.resources import files
from typing import NamedTuple

from jsonschema import Draft202012Validator

from cranberrywick.configuration.meaning import semantic_problems
from cranberrywick.configuration.schema import Problem, first_problem
from cranberrywick.errors import InvalidConfiguration
from cranberrywick.model import ClassTargets, Endpoint, EndpointKind

__all__ = [
    "EMPTY",
    "Configuration",
    "EndpointProfile",
    "Model",
    "Service",
    "ServiceCall",
    "check",
    "check_text",
]

# Largest document, in bytes: the key-value service stores values of up to 1 MiB, and
# 4 KiB of that is left for the envelope around the document (`to_text`).
DOCUMENT_LIMIT_BYTES = (1 << 20) - 4096

_SCHEMA = json.loads(
    files("cranberrywick.configuration").joinpath("document.json").read_text("utf-8")
)
_VALIDATOR = Draft202012Validator(_SCHEMA)


class Model(NamedTuple):
    """A model that callers can name.

    ``class_name`` is the class of a request that names the model without a class;
    ``versions`` are in order of preference, the preferred one first.
    """

    name: str
    context_tokens: int
    class_name: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]


class ServiceCall(NamedTuple):
    """One call of a plain service.

    A ``{...}`` segment of ``path`` matches any one segment that is not empty;
    ``idempotent`` says whether the call may be run more than once.
    """

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request is this call.

        >>> ServiceCall("POST", "/slots/{id}", False).matches("POST", "/slots/7")
        True
        """
        if method != self.method:
            return False
        patterns = self.path.split("/")
        segments = path.split("/")
        return len(patterns) == len(segments) and all(
            pattern == segment or (pattern.startswith("{") and segment != "")
            for pattern, segment in zip(patterns, segments, strict=True)
        )


class Service(NamedTuple):
    """A plain service: its endpoints answer calls and load no models."""

    name: str
    class_name: str
    calls: tuple[ServiceCall, ...]

    def call_for(self, method: str, path: str) -> ServiceCall | None:
        """Return the first call that a request matches, or None."""
        for call in self.calls:
            if call.matches(method, path):
                return call
        return None


class EndpointProfile(NamedTuple):
    """What endpoints of one kind can do.

    ``slots`` is how many requests an endpoint serves at a time, ``cold_slots`` the
    same while it is cold. ``checks_fencing`` says that it refuses old fencing
    numbers. Rates are in tokens a second and the cache's size is in tokens.
    """

    name: str
    kind: EndpointKind
    service: str | None
    models: tuple[str, ...]
    checks_fencing: bool
    slots: int
    cold_slots: int
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    cache_tokens: int


class Configuration(NamedTuple):
    """An accepted configuration.

    Key digests are the SHA-256 of callers' keys in lower-case hex. ``domains_out``
    are the failure domains that operators have taken out of service.
    """

    organisation_by_key_digest: dict[str, str]
    targets_by_class: dict[str, ClassTargets]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]
    endpoint_kinds_by_name: dict[str, EndpointProfile]
    domains_out: frozenset[str]


EMPTY = Configuration({}, {}, {}, {}, {}, frozenset())


def check_text(text: str | bytes) -> Configuration:
    """Return the configuration that a JSON text holds.

    Raises `InvalidConfiguration` when the text is longer than
    `DOCUMENT_LIMIT_BYTES`, is not JSON, or does not pass `check`.
    """
    size = len(text.encode() if isinstance(text, str) else text)
    if size > DOCUMENT_LIMIT_BYTES:
        expected = f"at most {DOCUMENT_LIMIT_BYTES} bytes"
        raise InvalidConfiguration(str(Problem("$", f"{size} bytes", expected)))
    try:
        # Brackets nested thousands deep raise RecursionError.
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"$: is not JSON: {error}") from error
    return check(document)


def check(document: object) -> Configuration:
    """Return the configuration that a decoded JSON document holds.

    Raises `InvalidConfiguration` with the JSON path of the first problem, the value
    found there and what is expected instead:

    >>> check({"classes": {"summary": {"first_token_seconds": -1}}})
    Traceback (most recent call last):
    ...
    InvalidConfiguration: $.classes.summary.first_token_seconds: -1 won't do; ...
    """
    problem = first_problem(_VALIDATOR, document)
    if problem is None:
        problem = next(semantic_problems(document), None)
    if problem is not None:
        raise InvalidConfiguration(str(problem))
    return _build(document)


def _build(document: dict) -> Configuration:
    organisations = document.get("organisations", {})
    return Configuration(
        {
            digest: name
            for name, organisation in organisations.items()
            for digest in organisation["key_sha256"]
        },
        {
            name: ClassTargets(**fields)
            for name, fields in document.get("classes", {}).items()
        },
        {
            name: _model(name, fields)
            for name, fields in document.get("models", {}).items()
        },
        {
            name: _service(name, fields)
            for name, fields in document.get("services", {}).items()
        },
        {
            name: _profile(name, fields)
            for name, fields in document.get("endpoint_kinds", {}).items()
        },
        frozenset(document.get("failure_domains_out", [])),
    )


def _model(name: str, fields: dict) -> Model:
    return Model(
        name,
        fields["context_tokens"],
        fields["class"],
        tuple(fields.get("versions", [])),
        tuple(fields.get("adapters", [])),
    )


def _service(name: str, fields: dict) -> Service:
    calls = tuple(ServiceCall(**call) for call in fields["calls"])
    return Service(name, fields["class"], calls)


# A kind that leaves out one of these fields gets the default of `Endpoint`. Plain
# services leave out all three; with zero as the default each of their calls failed
# with a division by zero.
_FIELDS_WITH_DEFAULT = (
    "prefill_tokens_per_second",
    "decode_tokens_per_second",
    "cache_tokens",
)


def _value_or_default(fields: dict, name: str) -> float:
    default = Endpoint._field_defaults[name]
    return type(default)(fields.get(name, default))


def _profile(name: str, fields: dict) -> EndpointProfile:
    return EndpointProfile(
        name,
        EndpointKind(fields["type"]),
        fields.get("service"),
        tuple(fields.get("models", [])),
        fields.get("checks_fencing", False),
        fields["slots"],
        fields.get("cold_slots", 1),
        *(_value_or_default(fields, name) for name in _FIELDS_WITH_DEFAULT),
    )
