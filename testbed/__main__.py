"""The entry point of `python -m testbed`."""

from testbed.cli import app

app(prog_name="testbed")
