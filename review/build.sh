#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common review/[0-9]*
