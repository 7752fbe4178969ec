"""Operator's command-line tool, ``tanagerctl``."""
