"""Ports for the processes of tests and measurements, of which several may run on one machine."""

import random
import subprocess
import sys

from tools import fleet

_RESERVE_ONE_PORT = """
from tools import fleet
print(fleet.free_port(), flush=True)
input()
"""


class _FirstChoice(random.Random):
    """Chooses the given port first."""

    def __init__(self, first):
        super().__init__(1)
        self.first = first

    def choice(self, ports):
        first, self.first = self.first, None
        return first if first is not None else super().choice(ports)


def test_port_is_not_given_to_two_runs_at_the_same_time(monkeypatch):
    """Guards against "address already in use": another run takes a port before it is opened."""
    with subprocess.Popen(
        [sys.executable, "-c", _RESERVE_ONE_PORT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        reserved = int(other.stdout.readline())
        monkeypatch.setattr(fleet, "_RANDOM", _FirstChoice(reserved))
        assert fleet.free_port() != reserved
        other.communicate("\n")
    monkeypatch.setattr(fleet, "_RANDOM", _FirstChoice(reserved))
    assert fleet.free_port() == reserved
