#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without further
# packages (python3 is one of the project's packages), so this only compiles
# them, without leaving files, and fails on a syntax error.
set -euo pipefail
cd "$(dirname "$0")"
for File in standins.py ./[0-9]*/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$File"
done
