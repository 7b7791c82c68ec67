#!/bin/sh
# Checks what the scripts of review/11 and later need beside the build of the deploy
# file. Their stand-ins (review/bed3) use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
PYTHONPATH=review python3 -c 'import bed3.deployment'
