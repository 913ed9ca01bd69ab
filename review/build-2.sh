#!/usr/bin/env bash
# Checks that the stand-ins of the cases 4 to 8 can be loaded: they need only
# the Python of the deploy file, and nothing is compiled or installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib

for source in (pathlib.Path('rig_2.py'), *pathlib.Path().glob('[4-8]/case.py')):
    ast.parse(source.read_text(encoding='utf-8'), str(source))
PYTHON
