"""The ``cranberrywick`` command."""

from importlib import import_module

import click

from cranberrywick import __version__

__all__ = ["main"]

# Module of each command, imported only when the command is used. The gateway must be
# ready soon after its start and use little memory, and it needs none of the others.
MODULES_BY_COMMAND = {
    "ask": "cranberrywick.cli.ask",
    "config": "cranberrywick.cli.config",
    "demo": "cranberrywick.cli.serve",
    "domain": "cranberrywick.cli.domain",
    "endpoint": "cranberrywick.cli.endpoint",
    "gateway": "cranberrywick.cli.gateway",
    "gateway-demo": "cranberrywick.standin.platform.demo",
    "report": "cranberrywick.cli.report",
    "serve": "cranberrywick.cli.serve",
    "standin": "cranberrywick.cli.serve",
}


class _LazyGroup(click.Group):
    """A group of commands whose modules are imported on first use."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(MODULES_BY_COMMAND)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        module = MODULES_BY_COMMAND.get(name)
        if module is None:
            return None
        return getattr(import_module(module), name.replace("-", "_"))


@click.group(cls=_LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Serve language-model prompts of very different lengths."""
