#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only, so that building
# them is to check the interpreter's version and to compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or later is needed" >&2
    exit 1
}
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
END
