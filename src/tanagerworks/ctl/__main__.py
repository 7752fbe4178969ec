"""Runs the program as ``python -m tanagerworks.ctl``."""

from tanagerworks.ctl.main import run

run()
