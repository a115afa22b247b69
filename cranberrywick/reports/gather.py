"""Fetch the burn counts of every daemon and merge them into one report."""

import json
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from jsonschema import Draft202012Validator
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from urllib3.util import parse_url

from cranberrywick.errors import AnswerLost, CranberrywickError, Unauthorised
from cranberrywick.external.bounded_http import bounded_pool_manager
from cranberrywick.reports.burn import STEP_COUNT, WINDOWS_SECONDS, Objective
from cranberrywick.reports.fleet import BurnReport, SilentDaemon, merge
from cranberrywick.reports.recorder import BurnAnswer

__all__ = ["gather_burn"]

BURN_PATH = "/operator/v1/burn"
# A daemon usually answers within milliseconds; one that exceeds these timeouts, in
# seconds, is reported as silent.
CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 5.0
# Most requests at once. At the design size of 320 daemons, waiting for the timeouts of
# silent daemons one after another would take minutes.
MAX_PARALLEL = 32

_COUNTS_SCHEMA = {
    "type": "array",
    "items": {"type": "integer", "minimum": 0},
    "minItems": 2,
    "maxItems": 2,
}


def _object_schema(names: Iterable[str], schema: dict[str, Any]) -> dict[str, Any]:
    names = list(names)
    return {
        "type": "object",
        "properties": dict.fromkeys(names, schema),
        "required": names,
    }


_OBJECTIVE_LABELS = [objective.label for objective in Objective]
_SECONDS_SCHEMA = {"type": "number", "minimum": 0}
_STEPS_SCHEMA = {
    "type": "array",
    "items": _COUNTS_SCHEMA,
    "minItems": STEP_COUNT,
    "maxItems": STEP_COUNT,
}
_CLASS_ANSWER_SCHEMA = {
    "type": "object",
    "properties": {
        "attainment": {"type": "number", "minimum": 0, "maximum": 1},
        "targets_seconds": _object_schema(_OBJECTIVE_LABELS, _SECONDS_SCHEMA),
        "windows": _object_schema(
            WINDOWS_SECONDS, _object_schema(_OBJECTIVE_LABELS, _COUNTS_SCHEMA)
        ),
        "steps": _object_schema(_OBJECTIVE_LABELS, _STEPS_SCHEMA),
    },
    "required": ["attainment", "targets_seconds", "windows", "steps"],
}
_BURN_ANSWER_SCHEMA = {
    "type": "object",
    "properties": {
        "daemon_id": {"type": "string"},
        "addresses": {"type": "array", "items": {"type": "string"}},
        "configuration_version": {"type": "integer"},
        "observed_seconds": _object_schema(WINDOWS_SECONDS, _SECONDS_SCHEMA),
        "classes": {"type": "object", "additionalProperties": _CLASS_ANSWER_SCHEMA},
    },
    "required": [
        *("daemon_id", "addresses", "configuration_version"),
        *("observed_seconds", "classes"),
    ],
}


def gather_burn(entry_urls: Sequence[str], key: str) -> BurnReport:
    """Return the burn report of the fleet that ``entry_urls`` belong to.

    The first entry that gives a usable answer lists the addresses of the other
    daemons; the report names those of them that do not answer. Raise `AnswerLost`
    when no entry gives a usable answer, and `Unauthorised` when an entry rejects
    the key.
    """
    with bounded_pool_manager(
        num_pools=MAX_PARALLEL,
        retries=False,
        timeout=Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS),
        headers={"Authorization": f"Bearer {key}"},
    ) as pool:
        entry_url, first_answer = _fetch_from_first_entry(pool, entry_urls)
        own_address = parse_url(entry_url).netloc
        others = sorted(set(first_answer["addresses"]) - {own_address})
        with ThreadPoolExecutor(MAX_PARALLEL) as workers:
            results = list(
                workers.map(lambda address: _fetch_from_daemon(pool, address), others)
            )
    # The first entry may also be in its own list, under another address than the one
    # it was asked at; keying by id counts it once.
    answers_by_id = {first_answer["daemon_id"]: first_answer}
    silent = []
    for result in results:
        if isinstance(result, SilentDaemon):
            silent.append(result)
        else:
            answers_by_id.setdefault(result["daemon_id"], result)
    return merge(list(answers_by_id.values()), silent)


def _fetch_from_first_entry(
    pool: PoolManager, entry_urls: Sequence[str]
) -> tuple[str, BurnAnswer]:
    *others, last = entry_urls
    for entry_url in others:
        try:
            return entry_url, _fetch_burn(pool, entry_url.rstrip("/"))
        except AnswerLost:
            continue
    return last, _fetch_burn(pool, last.rstrip("/"))


def _fetch_from_daemon(pool: PoolManager, address: str) -> BurnAnswer | SilentDaemon:
    try:
        return _fetch_burn(pool, f"http://{address}")
    except CranberrywickError as error:
        return SilentDaemon(address, f"{error.type}: {error.message}")


def _fetch_burn(pool: PoolManager, base_url: str) -> BurnAnswer:
    url = f"{base_url}{BURN_PATH}"
    try:
        response = pool.request("GET", url, redirect=False)
    except HTTPError as error:
        raise AnswerLost(f"{url}: {type(error).__name__}") from error
    if response.status in (401, 403):
        raise Unauthorised(f"{url}: the key is not an operator's")
    if response.status != 200:
        raise AnswerLost(f"{url}: status {response.status}")
    try:
        answer = json.loads(response.data)
    except ValueError as error:
        raise AnswerLost(f"{url}: the answer is not JSON") from error
    schema_error = next(
        Draft202012Validator(_BURN_ANSWER_SCHEMA).iter_errors(answer), None
    )
    if schema_error is not None:
        raise AnswerLost(
            f"{url}: {schema_error.json_path} of the answer does not match the schema"
        )
    return answer
