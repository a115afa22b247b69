"""Settings and options shared by all tests."""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"

# Hypothesis tries the same examples on every run, so that results do not vary.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def pytest_addoption(parser):
    """Add the option that also runs the tests that are known to fail."""
    parser.addoption(
        "--known-red", action="store_true", help="also run the tests of KNOWN-RED.txt"
    )


def pytest_collection_modifyitems(config, items):
    """Skip the tests listed in KNOWN-RED.txt, unless ``--known-red`` is given."""
    entries_by_id = read_known_red()
    if config.getoption("--known-red"):
        return
    for item in items:
        if item.nodeid in entries_by_id:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the entries of KNOWN-RED.txt after every run."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f"KNOWN RED {entry}")


def read_known_red():
    """Return the entries of KNOWN-RED.txt by the id of their test."""
    if not KNOWN_RED_PATH.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_PATH.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.partition("|")[0].strip(): entry for entry in entries}
