"""An edge process of its own, which tests signal, end and start again."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from tools.fleet import free_address

_REPOSITORY = Path(__file__).resolve().parent.parent
_END_LIMIT_S = 20.0
# How long a server that says it leaves still serves requests.
LEAVING_NOTICE_MS = 1_000.0


class EdgeNode:
    """One edge process, which can be started again under its name."""

    def __init__(self, number, directory, store_address, seeds, zone=None, stop_limit_s=3.0):
        self.name = f"node-{number}"
        self.callers, self.readiness, self.peers = (free_address() for _ in range(3))
        self.forwarding = free_address()
        self.settings = directory / f"{self.name}.yaml"
        self.log = directory / f"{self.name}.log"
        self.process = None
        self.restarting = asyncio.Lock()
        # Event loop time of the last fault of this node, its own ends included.
        self.last_fault_s = 0.0
        # Whether a signal was sent that may end the process.
        self.may_end = False
        document = {
            "node": self.name,
            "zone": zone or f"zone-{number}",
            "addresses": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "metrics": free_address(),
                "forwarding": self.forwarding,
            },
            "seeds": [*seeds],
            "store": {"address": store_address, "timeout_s": 0.5},
            "bounds": {
                "stop_limit_s": stop_limit_s,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_minimum": 50,
                "cold_factor": 1.5,
                "cold_extra": 5,
                "leaving_notice_ms": LEAVING_NOTICE_MS,
            },
        }
        self.settings.write_text(json.dumps(document))

    async def start(self, output=None):
        """Starts the process; its log goes to `output`, by default to the file of the node."""
        self.may_end = False
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/edge.py",
                f"--callers={self.callers}",
                cwd=_REPOSITORY,
                env=os.environ | {"TANAGERWORKS_SETTINGS": str(self.settings)},
                stdout=output if output is not None else log,
                stderr=log,
            )

    async def end(self, signal_number):
        """Sends a signal, unless the process has ended, and waits for its end."""
        self.signal(signal_number)
        async with asyncio.timeout(_END_LIMIT_S):
            await self.process.wait()

    def signal(self, signal_number):
        self.last_fault_s = asyncio.get_running_loop().time()
        self.may_end = self.may_end or signal_number in (signal.SIGKILL, signal.SIGTERM)
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def restart(self, signal_number):
        """Ends the process and starts another one; while that is under way, only signals it."""
        if self.restarting.locked():
            self.signal(signal_number)
            return
        async with self.restarting:
            await self.end(signal_number)
            await self.start()
            self.last_fault_s = asyncio.get_running_loop().time()
