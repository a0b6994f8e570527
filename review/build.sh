#!/bin/sh
# Builds the stand-ins of the cases: they are Python modules that need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
