#!/bin/sh
# The stand-ins of the cases are Python and need no build; this checks that they can be loaded.
# Run from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=.:review .venv/bin/python -B -c "import harness"
