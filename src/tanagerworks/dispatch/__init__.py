"""Decisions of a node that knows its peers and backend servers only from what they say.

Nothing here does I/O or reads a clock: time is passed in as seconds of a steady clock.
"""
