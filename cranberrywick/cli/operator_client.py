"""Options, HTTP client and exit codes that the operators' commands share."""

import json
import sys
from collections.abc import Callable
from enum import IntEnum
from functools import wraps

import click
import urllib3
from urllib3.exceptions import HTTPError

from cranberrywick.configuration.operator_api import PREFIX
from cranberrywick.errors import CranberrywickError
from cranberrywick.external.bounded_http import bounded_pool_manager

__all__ = [
    "EXIT_CODES_HELP",
    "ExitCode",
    "OperatorClient",
    "OperatorRequestFailed",
    "operator_command",
    "print_answer",
]

CONNECT_TIMEOUT_SECONDS = 2.0
# Longer than the 15 s for which a daemon tries a change before it answers that the
# outcome is unknown.
READ_TIMEOUT_SECONDS = 30.0

EXIT_CODES_HELP = """
\b
Exit codes: 0 done; 1 refused or invalid; 2 wrong usage; 3 another
operator's newer version is in force; 4 no daemon or no platform;
5 accepted, but not yet in force everywhere; 6 not known whether it
was accepted.
"""


class ExitCode(IntEnum):
    """The exit codes of the operators' commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5
    UNKNOWN = 6


_EXIT_CODE_BY_ERROR_TYPE = {
    "version_conflict": ExitCode.CONFLICT,
    "platform_unavailable": ExitCode.UNAVAILABLE,
    "platform_rate_limited": ExitCode.UNAVAILABLE,
    "platform_write_unknown": ExitCode.UNAVAILABLE,
    "draining": ExitCode.UNAVAILABLE,
    "change_outcome_unknown": ExitCode.UNKNOWN,
}


class OperatorRequestFailed(CranberrywickError):
    """A daemon refused an operator's request, or none answered."""

    type = "operator_request_failed"

    def __init__(self, message: str, exit_code: ExitCode, answer: dict):
        super().__init__(message)
        self.exit_code = exit_code
        self.answer = answer


class OperatorClient:
    """Client of the operators' HTTP interface; uses the first daemon that answers."""

    def __init__(self, daemons: tuple[str, ...], key: str):
        self._daemons = daemons
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = bounded_pool_manager(retries=False)

    def get(self, path: str, **query: str) -> dict:
        """Return the answer to a GET request; raise `OperatorRequestFailed`."""
        return self._call("GET", path, query, None)

    def post(self, path: str, fields: dict) -> dict:
        """Send a change and return the answer; raise `OperatorRequestFailed`.

        ``fields`` holds a ``change_id``, so that the same change can safely be sent
        to one daemon after another: a daemon that finds the change already accepted
        answers so and does not make it again.
        """
        return self._call("POST", path, {}, fields)

    def _call(
        self, method: str, path: str, query: dict[str, str], fields: dict | None
    ) -> dict:
        may_have_arrived = False
        last_problem = "no daemon given"
        for daemon in self._daemons:
            try:
                response = self._pool.request(
                    method,
                    f"{daemon.rstrip('/')}{PREFIX}{path}",
                    fields=query or None,
                    body=json.dumps(fields).encode() if fields is not None else None,
                    headers=self._headers,
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
                    ),
                    redirect=False,
                )
                return _parse_answer(response, is_change=fields is not None)
            except urllib3.exceptions.NewConnectionError as error:
                last_problem = f"{daemon}: {error}"
            except HTTPError as error:
                last_problem = f"{daemon}: {error}"
                may_have_arrived = fields is not None
        exit_code = ExitCode.UNKNOWN if may_have_arrived else ExitCode.UNAVAILABLE
        raise OperatorRequestFailed(last_problem, exit_code, {})


def _parse_answer(response: urllib3.BaseHTTPResponse, is_change: bool) -> dict:
    try:
        answer = response.json()
        error = answer.get("error")
    except (ValueError, AttributeError) as failure:
        message = f"status {response.status}, not JSON"
        # It may have been cut, or be that of something in between.
        exit_code = ExitCode.UNKNOWN if is_change else ExitCode.UNAVAILABLE
        raise OperatorRequestFailed(message, exit_code, {}) from failure
    if error is None and response.status == 200:
        return answer
    error_fields = (
        error if isinstance(error, dict) else {"type": "", "message": str(error)}
    )
    exit_code = _EXIT_CODE_BY_ERROR_TYPE.get(error_fields.get("type"), ExitCode.REFUSED)
    message = f"{error_fields.get('type')}: {error_fields.get('message')}"
    raise OperatorRequestFailed(message, exit_code, answer)


def operator_command(command: Callable) -> Callable:
    """Add the options that all operators' commands have; exit with a code on failure.

    The decorated function receives a client and ``as_json`` before its own arguments.
    """

    @click.option(
        "--daemon",
        "daemons",
        multiple=True,
        required=True,
        envvar="CRANBERRYWICK_DAEMONS",
        help="A daemon's URL; repeat it, the first that answers is used.",
    )
    @click.option(
        "--operator-key",
        required=True,
        envvar="CRANBERRYWICK_OPERATOR_KEY",
        help="The operator's key; better set in the environment.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
    @wraps(command)
    def wrapper(
        daemons: tuple[str, ...], operator_key: str, as_json: bool, **arguments: object
    ) -> None:
        client = OperatorClient(daemons, operator_key)
        try:
            command(client, as_json, **arguments)
        except OperatorRequestFailed as error:
            if as_json and error.answer:
                click.echo(json.dumps(error.answer, indent=2))
            click.echo(f"error: {error.message}", err=True)
            sys.exit(error.exit_code)

    return wrapper


def print_answer(value: dict, as_json: bool, lines: list[str]) -> None:
    """Print ``value`` as JSON, or the lines that present it to a person."""
    click.echo(json.dumps(value, indent=2) if as_json else "\n".join(lines))
