"""Runs the program as ``python -m tanagerworks.router``."""

from tanagerworks.router.main import run

run()
