#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python programs
# without dependencies: compiling shows that they can be read by the installed version.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
import py_compile

sources = sorted(pathlib.Path("review/common_2").glob("*.py"))
sources += [
    path
    for number in range(4, 9)
    for path in sorted(pathlib.Path(f"review/{number}").glob("*.py"))
]
target = pathlib.Path("target/review-2")
target.mkdir(parents=True, exist_ok=True)
for path in sources:
    name = "-".join(path.with_suffix(".pyc").parts)
    py_compile.compile(str(path), cfile=str(target / name), doraise=True)
print(f"compiled {len(sources)} files")
END
