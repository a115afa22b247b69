"""The contents of the single-file program, which ``make binary`` builds.

Guards against a program that lacks a library or data file that it needs, or that
contains development tools.
"""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(scope="module")
def build_binary():
    spec = importlib.util.spec_from_file_location(
        "build_binary", ROOT / "scripts" / "build_binary.py"
    )
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_holds_libraries_of_libraries_but_no_development_tool(build_binary):
    names = build_binary.runtime_distributions()
    assert {"pycapnp", "pykka", "prometheus-client"} <= names
    assert names.isdisjoint({"pytest", "ruff", "shiv", "hypothesis", "pip-tools"})


def test_every_data_file_of_the_package_is_copied(build_binary, tmp_path):
    build_binary.copy_package(tmp_path)
    for path in (ROOT / "cranberrywick").rglob("*"):
        if path.is_file() and path.suffix != ".pyc":
            assert (tmp_path / path.relative_to(ROOT)).read_bytes() == path.read_bytes()
