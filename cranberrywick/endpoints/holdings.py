"""Calls that reserve, release and list the memory that an engine holds for owners."""

import json
import time
from http.client import HTTPException
from typing import Any

from urllib3.exceptions import HTTPError

from cranberrywick.decisions.gangs import HoldKind
from cranberrywick.decisions.orphans import Listed, ListedKind
from cranberrywick.endpoints.connection import connect
from cranberrywick.errors import AnswerLost, EndpointRefused
from cranberrywick.fields import FIELD_ERRORS

__all__ = ["list_holdings", "release", "reserve"]

# Deadline of one call, in seconds.  A short one suffices, since the engine only
# updates or reads its records.
CALL_TIMEOUT_SECONDS = 1.0
MAX_LIST_BYTES = 4 * 1024 * 1024
# Statuses of a ``DELETE`` for an item that the engine does not hold; the item counts
# as released.
MISSING_STATUSES = (404, 410)


def reserve(
    address: str,
    kind: HoldKind,
    *,
    owner: str,
    tokens: int,
    ttl_seconds: float,
    source: str = "",
) -> str:
    """Reserve an export or import at an engine and return its id.

    ``ttl_seconds`` is the time-to-live after which the engine itself releases it.
    ``source`` names the export that an import reads, as ``ADDRESS/ID``.

    Raises `EndpointRefused` when the engine has reserved nothing, and `AnswerLost`
    when it may have.
    """
    body = {"owner": owner, "ttl_seconds": ttl_seconds, "tokens": tokens}
    if source:
        body["source"] = source
    status, answer = _call(address, "POST", f"/v1/cache/{kind.value}", body)
    if status == 503:
        raise EndpointRefused("the engine has no memory free")
    if status != 200 or not isinstance(answer.get("id"), str):
        raise AnswerLost(f"the engine answered {status} to a reservation")
    return answer["id"]


def release(address: str, kind: ListedKind, item_id: str) -> bool:
    """End a stream, export or import; return False when that is not confirmed."""
    path = "/v1/streams" if kind is ListedKind.STREAM else f"/v1/cache/{kind.value}"
    try:
        status, _ = _call(address, "DELETE", f"{path}/{item_id}")
    except (AnswerLost, EndpointRefused):
        return False
    return status == 200 or status in MISSING_STATUSES


def list_holdings(address: str, endpoint_id: str) -> list[Listed]:
    """Return the engine's streams, exports and imports.

    Raises `EndpointRefused` or `AnswerLost` when any of the three lists can't be
    read: the items missing from an incomplete result would appear to be released.
    """
    items = []
    for kind in ListedKind:
        stream = kind is ListedKind.STREAM
        path = "/v1/streams" if stream else f"/v1/cache/{kind.value}"
        status, answer = _call(address, "GET", path)
        if status != 200:
            raise AnswerLost(f"the engine answered {status} to a list")
        try:
            items += [
                _parse_item(endpoint_id, kind, item) for item in answer[kind.value]
            ]
        except FIELD_ERRORS as error:
            raise AnswerLost("the engine's list can't be read") from error
    return items


def _parse_item(endpoint_id: str, kind: ListedKind, item: dict[str, Any]) -> Listed:
    readers = int(item.get("readers", 0))
    return Listed(endpoint_id, kind, str(item["id"]), str(item["owner"]), readers)


def _call(
    address: str, method: str, path: str, body: dict | None = None
) -> tuple[int, dict]:
    connection = connect(address, time.monotonic() + CALL_TIMEOUT_SECONDS)
    try:
        connection.request(
            method,
            path,
            body=json.dumps(body).encode() if body else None,
            headers={"Connection": "close"},
            preload_content=False,
        )
        response = connection.getresponse()
        data = response.read(MAX_LIST_BYTES)
        answer = json.loads(data) if data else {}
    except (OSError, HTTPException, HTTPError, *FIELD_ERRORS) as error:
        raise AnswerLost(f"no answer to {method} {path}: {error}") from error
    finally:
        connection.close()
    return response.status, answer if isinstance(answer, dict) else {}
