"""``cranberrywick ask``: send requests to the service, by hand or from scripts."""

import json
import sys
from uuid import uuid4

import click

from cranberrywick.cli.caller import Answered, Caller, Failed, Outcome, Refused

__all__ = ["ask"]

EXIT_REFUSED = 3
EXIT_FAILED = 4
EXIT_REJECTED = 5


@click.command()
@click.option(
    "--entry",
    "entries",
    required=True,
    multiple=True,
    help="Any daemon, as http://HOST:PORT; may be given several times.",
)
@click.option(
    "--key",
    required=True,
    envvar="CRANBERRYWICK_KEY",
    help="The organisation's key; better given in CRANBERRYWICK_KEY.",
)
@click.option("--model", help="A model's name, or MODEL:CLASS.")
@click.option("--max-tokens", default=256, show_default=True, type=int)
@click.option(
    "--call",
    nargs=3,
    metavar="SERVICE METHOD PATH",
    help="Call a plain service in place of a model.",
)
@click.option("--body", default="", help="The JSON body of --call.")
@click.option(
    "--idempotency-key", help="Idempotency-Key of --call; a new one by default."
)
@click.option(
    "--patience",
    default=30.0,
    show_default=True,
    help="Seconds for which a request that did not run is tried again.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one line of JSON for each request."
)
@click.argument("prompts", nargs=-1)
def ask(
    entries: tuple[str, ...],
    key: str,
    model: str | None,
    max_tokens: int,
    call: tuple[str, str, str] | None,
    body: str,
    idempotency_key: str | None,
    patience: float,
    as_json: bool,
    prompts: tuple[str, ...],
) -> None:
    """Send PROMPTS one after another and show each answer as it arrives.

    A prompt of "-" is read from standard input. The addresses of the entries are
    requested once and kept for their lifetime. A request is sent again only when it
    did not run.

    \b
    Examples:
      cranberrywick ask --entry http://127.0.0.1:8080 --model drafter "What is due?"
      cranberrywick ask --entry http://127.0.0.1:8080 --call booking POST /slots \\
          --body '{"team": "t1", "tube": 4}' --idempotency-key order-17

    \b
    Exit codes, of the first request that was not answered:
      0  every answer arrived whole
      2  the command line is wrong
      3  refused: it did not run and may be sent again later
      4  failed: it ran or may have run, and the answer is not whole
      5  rejected: it did not run, and will not until it is changed
    """
    if bool(call) == bool(model and prompts):
        raise click.UsageError("give either --model and a prompt, or --call")
    caller = Caller(entries, key, patience)
    if call:
        idempotency_key = idempotency_key or uuid4().hex
        click.echo(f"idempotency key: {idempotency_key}", err=True)
        outcome = caller.call_service(*call, body, idempotency_key)
        _print_outcome(outcome, as_json, streamed=False)
        _exit_unless_answered(outcome)
        return
    for prompt in prompts:
        text = sys.stdin.read() if prompt == "-" else prompt
        on_text = _discard_piece if as_json else _print_piece
        outcome = caller.complete(model, text, max_tokens, on_text)
        _print_outcome(outcome, as_json, streamed=True)
        _exit_unless_answered(outcome)


def _discard_piece(piece: str) -> None:
    pass


def _print_piece(piece: str) -> None:
    click.echo(piece, nl=False)


def _print_outcome(outcome: Outcome, as_json: bool, streamed: bool) -> None:
    if as_json:
        click.echo(json.dumps(_to_document(outcome)))
    elif isinstance(outcome, Answered):
        click.echo("" if streamed else outcome.text.rstrip("\n"))
        click.echo(_summary_line(outcome), err=True)
    else:
        click.echo(_failure_line(outcome), err=True)


def _summary_line(answered: Answered) -> str:
    parts = [
        f"answered by {answered.entry}",
        f"first token {answered.first_token_seconds:.3f} s",
        f"whole answer {answered.total_seconds:.3f} s",
    ]
    if answered.output_tokens is not None:
        parts.append(f"{answered.output_tokens} tokens")
    parts.append(f"attempt {answered.attempts}")
    return ", ".join(parts)


def _failure_line(outcome: Outcome) -> str:
    error = outcome.error
    name = type(outcome).__name__.lower()
    line = f"{name}: {error.type}: {error.message} (executed: {error.executed.value})"
    if error.retry_after is not None:
        line += f", retry after {error.retry_after:g} s"
    return line


def _to_document(outcome: Outcome) -> dict[str, object]:
    name = type(outcome).__name__.lower()
    if isinstance(outcome, Answered):
        return {"outcome": name, **vars(outcome)}
    error = outcome.error
    return {
        "outcome": name,
        "error": error.body(getattr(error, "request_id", "")),
        "retry_after": error.retry_after,
        "attempts": outcome.attempts,
    }


def _exit_unless_answered(outcome: Outcome) -> None:
    if isinstance(outcome, Answered):
        return
    if isinstance(outcome, Refused):
        sys.exit(EXIT_REFUSED)
    sys.exit(EXIT_FAILED if isinstance(outcome, Failed) else EXIT_REJECTED)
