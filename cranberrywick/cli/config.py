"""``cranberrywick config``: check, show, apply and list configurations."""

import json
import secrets
import sys
import time
from pathlib import Path

import click

from cranberrywick.cli.operator_client import (
    EXIT_CODES_HELP,
    ExitCode,
    OperatorClient,
    OperatorRequestFailed,
    operator_command,
    print_answer,
)
from cranberrywick.configuration.document import check_text
from cranberrywick.errors import InvalidConfiguration

__all__ = ["config", "report_in_force"]

# Default time to wait until an accepted configuration is in force on every daemon,
# in seconds; a few seconds usually suffice.
WAIT_SECONDS = 10.0
# Time between two requests for the status during this wait, in seconds.
POLL_SECONDS = 0.2


@click.group(epilog=EXIT_CODES_HELP)
def config() -> None:
    """Check, show and change the operators' configuration."""


@config.command("check", epilog="Example: cranberrywick config check fleet.json")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
def check_command(file: Path, as_json: bool) -> None:
    """Check FILE without a daemon.

    Exit code 1 means that FILE is invalid; the message says where and why.
    """
    try:
        configuration = check_text(json.dumps(_read_document(file)[0]))
    except InvalidConfiguration as error:
        if as_json:
            click.echo(json.dumps({"valid": False, "problem": error.message}))
        click.echo(f"error: {error.message}", err=True)
        sys.exit(ExitCode.REFUSED)
    counts = {
        "organisations": len(set(configuration.organisation_by_key_digest.values())),
        "classes": len(configuration.targets_by_class),
        "models": len(configuration.models_by_name),
        "services": len(configuration.services_by_name),
    }
    counts_text = ", ".join(f"{count} {name}" for name, count in counts.items())
    print_answer({"valid": True, **counts}, as_json, [f"{file}: valid ({counts_text})"])


@config.command("show", epilog="Example: cranberrywick config show --version 7")
@click.option("--version", type=int, help="One of the last 20 versions.")
@operator_command
def show_command(client: OperatorClient, as_json: bool, version: int | None) -> None:
    """Print the configuration with its version.

    The output, edited, is what `config apply` takes.
    """
    query = {} if version is None else {"version": str(version)}
    click.echo(json.dumps(client.get("config", **query), indent=2))


@config.command(
    "apply",
    epilog="Example: cranberrywick config show > f.json; edit f.json;"
    " cranberrywick config apply f.json",
)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--base",
    type=int,
    help="The version that FILE was made from; needed if FILE does not state it.",
)
@click.option(
    "--wait",
    type=float,
    default=WAIT_SECONDS,
    show_default=True,
    help="Seconds to wait until the change is in force on every daemon.",
)
@operator_command
def apply_command(
    client: OperatorClient, as_json: bool, file: Path, base: int | None, wait: float
) -> None:
    """Replace the configuration and wait until every daemon has it in force.

    FILE holds a configuration document or the output of `config show`. The change
    is refused with exit code 3 when another operator's change came first.
    """
    try:
        document, base_in_file = _read_document(file)
        check_text(json.dumps(document))
    except InvalidConfiguration as error:
        click.echo(f"error: {error.message}", err=True)
        sys.exit(ExitCode.REFUSED)
    fields = {
        "document": document,
        "base_version": base_in_file if base is None else base,
        "change_id": secrets.token_hex(8),
    }
    try:
        answer = client.post("config", fields)
    except OperatorRequestFailed as error:
        if error.exit_code is ExitCode.CONFLICT:
            current = error.answer["current"]["version"]
            message = f"version {current} is newer than {fields['base_version']}"
            click.echo(f"{message}; see: config show", err=True)
        raise
    report_in_force(client, as_json, answer, wait)


def _read_document(file: Path) -> tuple[object, int]:
    """Return a file's document and the version it was made from, 0 if not stated."""
    try:
        fields = json.loads(file.read_text(encoding="utf-8"))
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"{file}: is not JSON: {error}") from error
    if isinstance(fields, dict) and {"document", "version"} <= set(fields):
        return fields["document"], fields["version"]
    return fields, 0


def report_in_force(
    client: OperatorClient, as_json: bool, accepted: dict, wait: float
) -> None:
    """Wait until every daemon has a version in force, and print how many have.

    ``accepted`` is the daemon's answer to the change. End the command with exit code
    5 when some daemons do not have the version in force within ``wait`` seconds.
    """
    version = accepted["version"]
    deadline = time.monotonic() + wait
    while True:
        versions = client.get("config/status")["versions_by_daemon"]
        behind = sorted(
            name
            for name, daemon_version in versions.items()
            if daemon_version < version
        )
        if not behind or time.monotonic() >= deadline:
            break
        time.sleep(POLL_SECONDS)
    in_force = len(versions) - len(behind)
    line = f"version {version}: in force on {in_force} of {len(versions)} daemons"
    if behind:
        line += f"; not yet on {', '.join(behind)}"
    summary = {**accepted, "in_force": in_force, "behind": behind}
    print_answer(summary, as_json, [line])
    if behind:
        sys.exit(ExitCode.NOT_IN_FORCE)


@config.command("history", epilog="Example: cranberrywick config history --json")
@operator_command
def history_command(client: OperatorClient, as_json: bool) -> None:
    """List the latest changes, oldest first."""
    answer = client.get("config/history")
    lines = ["version  at                         operator  change"]
    for change in answer["changes"]:
        lines.append(
            f"{change['version']:>7}  {change['at']:<25}  "
            f"{change['operator']:<8}  {change['change_id']}"
        )
    print_answer(answer, as_json, lines)
