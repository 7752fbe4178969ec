"""Runs the program as ``python -m tanagerworks.agent``."""

from tanagerworks.agent.main import run

run()
