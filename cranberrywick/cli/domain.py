"""``cranberrywick domain``: take failure domains out of service and back in."""

import secrets
from urllib.parse import quote

import click

from cranberrywick.cli.config import WAIT_SECONDS, report_in_force
from cranberrywick.cli.operator_client import (
    EXIT_CODES_HELP,
    OperatorClient,
    operator_command,
    print_answer,
)

__all__ = ["domain"]

_wait_option = click.option(
    "--wait",
    type=float,
    default=WAIT_SECONDS,
    show_default=True,
    help="Seconds to wait until the change is in force on every daemon.",
)


@click.group(epilog=EXIT_CODES_HELP)
def domain() -> None:
    """Take failure domains out of service and bring them back."""


@domain.command("out", epilog="Example: cranberrywick domain out tallinn-b")
@click.argument("name")
@_wait_option
@operator_command
def out_command(client: OperatorClient, as_json: bool, name: str, wait: float) -> None:
    """Take the failure domain NAME out: no daemon gives it new work."""
    _set_out(client, as_json, name, True, wait)


@domain.command("back", epilog="Example: cranberrywick domain back tallinn-b")
@click.argument("name")
@_wait_option
@operator_command
def back_command(client: OperatorClient, as_json: bool, name: str, wait: float) -> None:
    """Bring the failure domain NAME back: daemons give it new work again."""
    _set_out(client, as_json, name, False, wait)


def _set_out(
    client: OperatorClient, as_json: bool, name: str, out: bool, wait: float
) -> None:
    fields = {"out": out, "change_id": secrets.token_hex(8)}
    accepted = client.post(f"domains/{quote(name, safe='')}", fields)
    report_in_force(client, as_json, accepted, wait)


@domain.command("list", epilog="Example: cranberrywick domain list --json")
@operator_command
def list_command(client: OperatorClient, as_json: bool) -> None:
    """List the failure domains: whether each is out, and its number of endpoints."""
    answer = client.get("domains")
    lines = ["failure domain    state  endpoints"]
    for row in answer["domains"]:
        state = "out" if row["out"] else "in"
        lines.append(f"{row['failure_domain']:<16}  {state:<5}  {row['endpoints']:>9}")
    print_answer(answer, as_json, lines)
