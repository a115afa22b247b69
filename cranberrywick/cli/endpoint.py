"""``cranberrywick endpoint``: show the endpoints and their state."""

import click

from cranberrywick.cli.operator_client import (
    EXIT_CODES_HELP,
    OperatorClient,
    operator_command,
    print_answer,
)

__all__ = ["endpoint"]


@click.group(epilog=EXIT_CODES_HELP)
def endpoint() -> None:
    """Show the endpoints."""


@endpoint.command("list", epilog="Example: cranberrywick endpoint list --json")
@operator_command
def list_command(client: OperatorClient, as_json: bool) -> None:
    """List the endpoints with the state that the daemon has recorded of them."""
    answer = client.get("endpoints")
    lines = [
        "endpoint          kind        failure domain    phase    running  waiting"
    ]
    for row in answer["endpoints"]:
        lines.append(
            f"{row['endpoint_id']:<16}  {row['kind']:<10}  "
            f"{row['failure_domain']:<16}  {row['phase']:<7}  "
            f"{row['running']:>7}  {row['waiting']:>7}"
        )
    print_answer(answer, as_json, lines)
