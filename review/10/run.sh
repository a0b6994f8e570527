#!/bin/sh
# Exit status: 0 if the rule was kept, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/10/case.py
