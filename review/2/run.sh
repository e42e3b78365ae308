#!/bin/sh
# Run the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=.:review exec .venv/bin/python -B "review/2/case.py"
