#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They are Python modules that need
# the standard library alone, so building them is checking that this Python reads them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("bed").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
