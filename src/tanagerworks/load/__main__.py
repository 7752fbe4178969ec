"""Runs the program as ``python -m tanagerworks.load``."""

from tanagerworks.load.main import run

run()
