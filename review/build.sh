#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without further
# packages (python3 is one of the project's packages), so this only compiles
# them and fails on a syntax error.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common/*.py ./[0-9]*/*.py
