"""The HTTP interface of a daemon for operators, under ``/operator/v1/``.

==================================== =========================================
``GET config``, ``?version=N``       the configuration with its version
``POST config``                      replace it, see `OperatorApi._apply`
``GET config/history``               the latest changes
``GET config/status``                the version in force on each daemon
``GET domains``                      failure domains, in service or out
``POST domains/NAME``                take one out or back in: ``{"out": bool}``
``GET endpoints``                    endpoints that this daemon tracks
==================================== =========================================
"""

import hashlib
import hmac
import json
from collections.abc import Callable, Mapping, Sequence
from typing import TypedDict

from cranberrywick.configuration.document import DOCUMENT_LIMIT_BYTES, check
from cranberrywick.configuration.envelope import AcceptedConfiguration
from cranberrywick.configuration.store import (
    ChangeOutcomeUnknown,
    NewerVersion,
)
from cranberrywick.controllers.configuration import ConfigurationController
from cranberrywick.errors import (
    CranberrywickError,
    InvalidRequest,
    NotFound,
    PayloadTooLarge,
    Unauthorised,
)

__all__ = ["PREFIX", "EndpointRow", "OperatorApi"]

PREFIX = "/operator/v1/"
# Largest request body, in bytes: the largest document, and 4 KiB for other fields.
BODY_LIMIT_BYTES = DOCUMENT_LIMIT_BYTES + 4096
# Length of an operator's id, the start of their key's digest: enough to distinguish
# operators in the history.
OPERATOR_ID_CHARACTERS = 8
CHANGE_ID_LIMIT_CHARACTERS = 64


class EndpointRow(TypedDict):
    """One endpoint as the command ``endpoint list`` shows it."""

    endpoint_id: str
    kind: str
    address: str
    failure_domain: str
    region: str
    phase: str
    models: list[str]
    running: int
    waiting: int


class OperatorApi:
    """Answers operators' requests; may be called from several threads at a time.

    ``versions_by_daemon`` returns the version that each known daemon has in force,
    this one included; ``endpoints`` returns the tracked endpoints, and
    ``entry_domains`` the failure domains of the daemons.

    >>> api = OperatorApi(controller, settings.operator_keys, versions, endpoints)
    >>> operator = api.authorise(headers.get("Authorization"))
    >>> status, answer = api.handle("GET", "/operator/v1/config", {}, b"", operator)
    """

    def __init__(
        self,
        controller: ConfigurationController,
        operator_keys: Sequence[str],
        versions_by_daemon: Callable[[], Mapping[str, int]],
        endpoints: Callable[[], list[EndpointRow]],
        entry_domains: Callable[[], set[str]] = set,
    ):
        self._controller = controller
        self._key_digests = tuple(operator_keys)
        self._versions_by_daemon = versions_by_daemon
        self._endpoints = endpoints
        self._entry_domains = entry_domains

    def authorise(self, authorization: str | None) -> str:
        """Return the operator's id in the history, from an ``Authorization`` header.

        Raises `Unauthorised` for a missing or unknown key.
        """
        scheme, _, key = (authorization or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        # Compares with every digest, each in constant time, so that the response time
        # reveals nothing about them.
        matches = [hmac.compare_digest(digest, known) for known in self._key_digests]
        if scheme.lower() != "bearer" or not any(matches):
            raise Unauthorised("an operator's key is needed")
        return digest[:OPERATOR_ID_CHARACTERS]

    def handle(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        operator: str = "",
        request_id: str = "",
    ) -> tuple[int, dict]:
        """Return the status and the JSON fields that answer an operator's request.

        ``operator`` is the result of `authorise`. A `CranberrywickError` becomes an
        answer with its status and is not raised.
        """
        try:
            return 200, self._answer(method, path, query, body, operator)
        except NewerVersion as error:
            current = _describe(error.current)
            return error.status, {"error": error.body(request_id), "current": current}
        except ChangeOutcomeUnknown as error:
            answer = {"error": error.body(request_id), "change_id": error.change_id}
            return error.status, answer
        except CranberrywickError as error:
            answer: dict = {"error": error.body(request_id)}
            if error.retry_after is not None:
                answer["retry_after"] = error.retry_after
            return error.status, answer

    def _answer(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes,
        operator: str,
    ) -> dict:
        name = path.removeprefix(PREFIX)
        if method == "GET":
            return self._read(name, query)
        if method == "POST" and name == "config":
            return self._apply(_read_fields(body), operator)
        if method == "POST" and name.startswith("domains/"):
            domain = name.removeprefix("domains/")
            return self._set_domain_out(domain, _read_fields(body), operator)
        raise NotFound(f"no such call: {method} {path}")

    def _read(self, name: str, query: Mapping[str, str]) -> dict:
        match name:
            case "config":
                return self._show(query.get("version"))
            case "config/history":
                return {"changes": self._list_changes()}
            case "config/status":
                versions = dict(self._versions_by_daemon())
                current = self._controller.current
                return {
                    "version": current.version if current else None,
                    "versions_by_daemon": versions,
                }
            case "domains":
                return {"domains": self._list_domains()}
            case "endpoints":
                return {"endpoints": self._endpoints()}
        raise NotFound(f"no such call: GET {PREFIX}{name}")

    def _show(self, version: str | None) -> dict:
        if version is None:
            return _describe(self._current())
        if not version.isdecimal() or len(version) > 12:
            raise InvalidRequest("version is a whole number")
        return _describe(self._controller.store.read_version(int(version)))

    def _current(self) -> AcceptedConfiguration:
        """Return the configuration in force here, or the platform's if none is."""
        return self._controller.current or self._controller.store.read_latest()

    def _list_changes(self) -> list[dict]:
        current = self._current()
        if not current.changes:
            # The configuration was received from a peer, without its changes, and
            # the platform has not been read since.
            current = self._controller.store.read_latest()
        return [change._asdict() for change in current.changes]

    def _apply(self, fields: dict, operator: str) -> dict:
        """Replace the document.

        The body is ``{"document", "base_version"?, "change_id"?}``. The change is
        refused unless ``base_version`` (0 by default) is the version that it
        replaces, so that no operator overwrites a change without having seen it. An
        operator who gets no answer can repeat the request with the same
        ``change_id`` at any daemon.
        """
        document = fields.get("document")
        check(document)
        base_version = fields.get("base_version", 0)
        if not isinstance(base_version, int):
            raise InvalidRequest("base_version is a whole number")
        accepted = self._controller.change(
            lambda _: document,
            base_version=base_version,
            operator=operator,
            change_id=_change_id(fields),
        )
        return _describe(accepted, with_document=False)

    def _set_domain_out(self, domain: str, fields: dict, operator: str) -> dict:
        is_out = fields.get("out")
        if not isinstance(is_out, bool):
            raise InvalidRequest("out is true or false")

        if is_out:
            self._check_known(domain)

        def edit(document: dict) -> dict:
            domains = set(document.get("failure_domains_out", []))
            domains = domains | {domain} if is_out else domains - {domain}
            return {**document, "failure_domains_out": sorted(domains)}

        accepted = self._controller.change(
            edit, operator=operator, change_id=_change_id(fields)
        )
        return _describe(accepted, with_document=False)

    def _check_known(self, domain: str) -> None:
        """Refuse a failure domain in which no endpoint or daemon is known.

        A mistyped name would otherwise look like a success. During an outage of the
        VM list this daemon may know of no failure domain at all; it then accepts any
        name, since an operator who must act can't wait for the list.
        """
        known = {row["failure_domain"] for row in self._endpoints()}
        known |= self._entry_domains()
        if known and domain not in known:
            names = ", ".join(sorted(known))
            raise InvalidRequest(f"no failure domain {domain!r}; there are {names}")

    def _list_domains(self) -> list[dict]:
        endpoints = self._endpoints()
        out = self._current().configuration.domains_out
        names = {row["failure_domain"] for row in endpoints} | out
        return [
            {
                "failure_domain": name,
                "out": name in out,
                "endpoints": sum(row["failure_domain"] == name for row in endpoints),
            }
            for name in sorted(names)
        ]


def _read_fields(body: bytes) -> dict:
    if len(body) > BODY_LIMIT_BYTES:
        raise PayloadTooLarge(f"a body has at most {BODY_LIMIT_BYTES} bytes")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"the body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidRequest("the body is not a JSON object")
    return fields


def _change_id(fields: dict) -> str | None:
    change_id = fields.get("change_id")
    if change_id is None:
        return None
    if not isinstance(change_id, str) or not (
        0 < len(change_id) <= CHANGE_ID_LIMIT_CHARACTERS
    ):
        raise InvalidRequest("change_id is a string of 1 to 64 characters")
    return change_id


def _describe(accepted: AcceptedConfiguration, with_document: bool = True) -> dict:
    described: dict = {"version": accepted.version, "change_id": accepted.change_id}
    if with_document:
        described["document"] = accepted.document
    return described
