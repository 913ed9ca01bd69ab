#!/usr/bin/env bash
# Checks the stand-ins of the cases. They need Python's standard library only,
# so nothing is built or installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 - *.py */*.py <<'PY'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding='utf-8'), name)
PY
