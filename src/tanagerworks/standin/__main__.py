"""Runs the program as ``python -m tanagerworks.standin``."""

from tanagerworks.standin.main import run

run()
