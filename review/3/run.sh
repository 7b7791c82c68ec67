#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
exec python3 -m review.3.case
