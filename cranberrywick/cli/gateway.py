"""``cranberrywick gateway``: run the gateway of one entry VM."""

import os
import sys
import time

import click

from cranberrywick.errors import InvalidSettings
from cranberrywick.gateway.app import run_gateway
from cranberrywick.gateway.log_output import BoundedOutput
from cranberrywick.logs import EventLog, set_up_logs

__all__ = ["gateway"]

EXIT_INVALID_SETTINGS = 2
# Shortest time that the end of the process leaves for its last log lines, in seconds.
# A reader that is there takes them within milliseconds.
LAST_LINES_SECONDS = 0.05
# The same where an exception ends it, and nothing else does within seconds.
FAILED_SECONDS = 1.0


@click.command()
@click.option(
    "--settings", type=click.Path(), help="The platform's settings file, as JSON."
)
@click.option("--log-level", default="info", show_default=True)
def gateway(settings: str | None, log_level: str) -> None:
    """Run the gateway of one entry VM. The users' platform starts this command.

    Without --settings, the path of the settings file is read from
    CRANBERRYWICK_CONFIG. SIGTERM or SIGINT starts a graceful stop.

    Exit codes: 0 after a stop, 1 after a failure, 2 for invalid settings.
    """
    # A daemon may be started with its standard output closed.
    output = BoundedOutput(sys.stdout or open(os.devnull, "w"))
    set_up_logs(log_level, output)
    try:
        end_by = run_gateway(settings, output)
    except InvalidSettings as error:
        click.echo(f"{error.type}: {error.message}", err=True)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    except Exception as error:
        EventLog().error("gateway_failed", error=error)
        output.finish(FAILED_SECONDS)
        raise
    output.finish(max(LAST_LINES_SECONDS, end_by - time.monotonic()))
    # The interpreter takes up to 0.4 s to take itself down on a busy machine, which may
    # be longer than the platform waits before it kills the process.
    os._exit(os.EX_OK)
