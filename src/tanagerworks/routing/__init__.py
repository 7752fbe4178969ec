"""Routing decisions without I/O: time and random numbers are passed in."""
