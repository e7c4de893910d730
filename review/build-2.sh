#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the gateway: the
# stand-ins are Python, so this compiles them and checks the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import asyncio, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for name in ["lab2.py"] + sorted(glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("compiled", name)
EOF
