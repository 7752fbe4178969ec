"""Dispatch of requests to backend servers, decided by one node from its own view of the fleet.

The view consists of published server entries, messages of peers and the node's own requests.
Nothing here does I/O or reads a clock: times are passed in as seconds of a monotonic clock.
"""
