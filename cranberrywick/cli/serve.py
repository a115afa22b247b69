"""``cranberrywick serve``, ``demo`` and ``standin``: run a daemon or a stand-in."""

import signal
import threading

import click

from cranberrywick.configuration.settings import load_settings
from cranberrywick.daemon import Daemon
from cranberrywick.demo import run_demo
from cranberrywick.errors import CranberrywickError
from cranberrywick.logs import set_up_logs
from cranberrywick.standin import kv, vms, weights
from cranberrywick.standin.engine import engine_command
from cranberrywick.standin.service import service_command

__all__ = ["demo", "serve", "standin"]

EXIT_INVALID_SETTINGS = 2
EXIT_PORT_TAKEN = 3


@click.command()
@click.option(
    "--settings",
    required=True,
    type=click.Path(),
    help="The daemon's settings file, as JSON.",
)
def serve(settings: str) -> None:
    """Run the daemon of one entry VM.

    SIGTERM or SIGINT starts a graceful stop; a second one ends at once.

    Exit codes: 0 after a stop, 2 for invalid settings, 3 when a port is taken.

    Example: cranberrywick serve --settings daemon-1.json
    """
    try:
        loaded = load_settings(settings)
    except CranberrywickError as error:
        click.echo(f"{error.type}: {error.message}", err=True)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    set_up_logs(loaded.log_level.lower())
    try:
        daemon = Daemon(loaded)
    except OSError as error:
        click.echo(f"can't listen: {error}", err=True)
        raise SystemExit(EXIT_PORT_TAKEN) from error
    stop_requested = threading.Event()
    stop_now = threading.Event()

    def request_stop(*_: object) -> None:
        if stop_requested.is_set():
            stop_now.set()
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, request_stop)
    daemon.start()
    click.echo(f"ready {daemon.address}")
    stop_requested.wait()
    drain = threading.Thread(target=daemon.drain, daemon=True)
    drain.start()
    while drain.is_alive() and not stop_now.is_set():
        drain.join(0.1)
    daemon.stop()


@click.command()
def demo() -> None:
    """Start a small fleet in this process and send three requests through it.

    Example: cranberrywick demo
    """
    set_up_logs("error")
    run_demo(lambda line: click.echo(line))


@click.group()
def standin() -> None:
    """Run a stand-in for an outside system, for tests and demonstrations."""


standin.add_command(engine_command)
standin.add_command(service_command)


def _listen_option(command):
    return click.option("--listen", default="127.0.0.1:0", show_default=True)(command)


@standin.command("kv")
@_listen_option
def kv_command(listen: str) -> None:
    """Run a stand-in for the key-value service.

    Example: cranberrywick standin kv --listen 127.0.0.1:0
    """
    kv.main(listen)


@standin.command("vms")
@_listen_option
def vms_command(listen: str) -> None:
    """Run a stand-in for the list of VMs.

    Example: cranberrywick standin vms --listen 127.0.0.1:0
    """
    vms.main(listen)


@standin.command("weights")
@_listen_option
def weights_command(listen: str) -> None:
    """Run a stand-in for the weight store.

    Example: cranberrywick standin weights --listen 127.0.0.1:0
    """
    weights.main(listen)
