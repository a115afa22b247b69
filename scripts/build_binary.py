"""Build the program as one file from installed packages, without a network.

    python scripts/build_binary.py --output dist/cranberrywick

The file contains the package of this tree and the libraries that it needs at run time,
in the versions installed from the lock file. Modules are compiled here; otherwise every
VM would compile them at the first start and write the results, or, where it can't write
them, compile at every start.
"""

import argparse
import compileall
import re
import shutil
import sys
from importlib.metadata import Distribution, PackagePath, distribution
from pathlib import Path
from py_compile import PycInvalidationMode

from shiv.cli import main as shiv

PACKAGE = "cranberrywick"
ENTRY_POINT = "cranberrywick.cli.main:main"
ROOT = Path(__file__).resolve().parent.parent
# Data files that the program reads. A build that lacks them fails only at run time, so
# the build checks for them.
DATA_PATTERNS = ("*.capnp", "*.json", "*.html")
# Suffixes of source files that libraries ship for building other libraries against
# them, and that are left out; those of pycapnp are 7 MB.
BUILD_SUFFIXES = frozenset({".c", ".cpp", ".h", ".pxd", ".pyi", ".pyx"})


def main() -> None:
    """Build the file and check that it contains the data files."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--output", type=Path, default=ROOT / "dist" / PACKAGE)
    output = parser.parse_args().output
    site = ROOT / "build" / "site"
    shutil.rmtree(site, ignore_errors=True)
    for name in sorted(runtime_distributions()):
        copy_distribution(distribution(name), site)
    copy_package(site)
    # Python must not check compiled files against their sources: a source in the file
    # never changes, and the default check compares times, which unpacking changes.
    compileall.compile_dir(
        site, quiet=2, invalidation_mode=PycInvalidationMode.UNCHECKED_HASH
    )
    output.parent.mkdir(parents=True, exist_ok=True)
    pack(site, output)


def runtime_distributions() -> set[str]:
    """Return the names of all libraries that the program needs at run time.

    Those of the extra ``dev`` are left out.
    """
    names: set[str] = set()
    waiting = [PACKAGE]
    while waiting:
        for requirement in distribution(waiting.pop()).requires or ():
            name = required_name(requirement)
            if name and name not in names:
                names.add(name)
                waiting.append(name)
    return names


def required_name(requirement: str) -> str | None:
    """Return the name in a requirement, or None if it does not apply.

    That is the case for an extra, or for a platform's marker when the library is not
    installed.

    >>> required_name("click>=8.1")
    'click'
    >>> required_name('pytest>=8; extra == "dev"')
    """
    specifier, _, marker = requirement.partition(";")
    name = re.match(r"[A-Za-z0-9._-]+", specifier).group()
    if "extra" in marker:
        return None
    return name if not marker or is_installed(name) else None


def is_installed(name: str) -> bool:
    """Return whether a library is installed."""
    return any(Distribution.discover(name=name))


def copy_distribution(source: Distribution, site: Path) -> None:
    """Copy the modules and metadata of one installed library."""
    for file in source.files or ():
        if belongs_in_site(file):
            target = site / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(file.locate(), target)


def belongs_in_site(file: PackagePath) -> bool:
    """Return whether an installed file belongs in the program.

    Scripts (outside of the library's folder), compiled modules and files with a suffix
    in `BUILD_SUFFIXES` do not.
    """
    if ".." in file.parts or "__pycache__" in file.parts:
        return False
    return file.suffix not in BUILD_SUFFIXES


def copy_package(site: Path) -> None:
    """Copy the package of this tree and check that data files are in the copy."""
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, site / PACKAGE, ignore=ignore)
    data = {
        path.relative_to(site)
        for pattern in DATA_PATTERNS
        for path in (site / PACKAGE).rglob(pattern)
    }
    if not data:
        sys.exit(f"no data file matches {', '.join(DATA_PATTERNS)}")
    print("data files:", ", ".join(sorted(map(str, data))))


def pack(site: Path, output: Path) -> None:
    """Create the file; print its size and that of the unpacked files."""
    shiv(
        [
            *("--site-packages", str(site)),
            *("--entry-point", ENTRY_POINT),
            *("--output-file", str(output)),
            "--compressed",
            "--reproducible",
        ],
        standalone_mode=False,
    )
    unpacked = sum(file.stat().st_size for file in site.rglob("*") if file.is_file())
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")
    print(f"unpacked at the first start: {unpacked / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
