"""Starts stand-ins and nodes as processes on loopback, for the demo, measurements and tests."""

import fcntl
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom
from types import TracebackType
from typing import Any

import yaml
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

_START_TIMEOUT_S = 30.0
_POLL_S = 0.05
# Not seeded, so that concurrent runs choose different ports.
_RANDOM = SystemRandom()
_STOP_TIMEOUT_S = 10.0
# Limit for all processes of a fleet together; those that still run are then killed.
_EXIT_TIMEOUT_S = 5.0


class FleetError(Exception):
    """A process of the fleet failed or did not respond in time, or a stand-in refused a command."""


# Ports below the kernel's range for outgoing connections. The kernel may assign a port of its range
# after it has been chosen here and before the process that listens on it has started.
_PORTS = range(10_000, 32_000)
_allocated_ports: set[int] = set()
# Descriptor of the file with the reservations of all processes, once it is open. Closing it, or
# another one of the same file, would give up the reservations of this process.
_reservations: list[int] = []


def free_port() -> int:
    """Returns a loopback port that was not returned before and is free for TCP and for UDP.

    No other process on this machine that calls this function gets the port before this one ends:
    the process that is to use it may open it much later.
    """
    while True:
        port = _RANDOM.choice(_PORTS)
        if port in _allocated_ports or not _reserve_port(port):
            continue
        with socket.socket() as tcp_probe, socket.socket(type=socket.SOCK_DGRAM) as udp_probe:
            try:
                tcp_probe.bind(("127.0.0.1", port))
                udp_probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


def _reserve_port(port: int) -> bool:
    """Locks the byte of a port in a file that all processes share, until this process ends."""
    if not _reservations:
        path = Path(tempfile.gettempdir()) / "tanager-reserved-ports"
        _reservations.append(os.open(path, os.O_RDWR | os.O_CREAT, 0o666))
    try:
        fcntl.lockf(_reservations[0], fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_address() -> str:
    """Returns a free loopback address as ``IP:PORT``."""
    return f"127.0.0.1:{free_port()}"


def key_sha256(key: str) -> str:
    """Returns the SHA-256 digest of a bearer key in hexadecimal, as a release note contains it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class FleetProcess:
    """A process that was started, its log file and its command."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path
    command: list[str]
    terminated: bool = False

    def terminate(self) -> None:
        """Sends SIGTERM once; a second signal would cut the graceful shutdown short."""
        if self.process.poll() is None and not self.terminated:
            self.terminated = True
            self.process.send_signal(signal.SIGTERM)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Stops the process gracefully, kills it after the timeout, and returns the exit status."""
        self.terminate()
        try:
            return self.process.wait(max(0.0, timeout_s))
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.process.kill()
        self.process.wait()


@dataclass
class NodeAddresses:
    """Addresses of one node; `caller_addresses` holds one address for each of its routers."""

    node_id: str
    zone: str
    peer_address: str
    admin_address: str
    router_link_address: str
    caller_addresses: list[str] = field(default_factory=list)


class Fleet(AbstractContextManager["Fleet"]):
    """Processes in a working directory; leaving the context stops them all."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.processes: dict[str, FleetProcess] = {}
        self.pool = PoolManager(retries=False)
        self.platform_address = ""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all processes, newest first; those that do not exit in time are killed."""
        # A second Ctrl-C must not leave processes running.
        previous = None
        if threading.current_thread() is threading.main_thread():
            previous = signal.signal(signal.SIGINT, signal.SIG_IGN)
        running = list(reversed(self.processes.values()))
        for item in running:
            # A process suspended by SIGSTOP does not handle SIGTERM.
            if item.process.poll() is None:
                item.process.send_signal(signal.SIGCONT)
            item.terminate()
        end_s = time.monotonic() + (_EXIT_TIMEOUT_S if error is None else 0.5)
        for item in running:
            item.stop(end_s - time.monotonic())
        self.pool.clear()
        if previous is not None:
            signal.signal(signal.SIGINT, previous)

    def start_process(
        self, name: str, module: str, arguments: Iterable[str], settings: Any
    ) -> None:
        """Starts ``python -m module`` with `settings` written to a YAML file."""
        settings_path = self.directory / f"{name}.yaml"
        settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        command = [sys.executable, "-m", module, *arguments, f"--settings={settings_path}"]
        self._launch_process(name, command)

    def restart_process(self, name: str) -> None:
        """Starts an exited process again with the same settings."""
        self._launch_process(name, self.processes[name].command)

    def _launch_process(self, name: str, command: list[str]) -> None:
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C reaches only the launcher, which stops the processes in order.
                process_group=0,
            )
        self.processes[name] = FleetProcess(name, process, log_path, command)

    def wait_until_ready(self, name: str, url: str) -> None:
        """Waits until `url` responds with status 200.

        Raises:
            FleetError: the process exited or did not respond in time.
        """
        deadline = time.monotonic() + _START_TIMEOUT_S
        item = self.processes[name]
        while time.monotonic() < deadline:
            if item.process.poll() is not None:
                raise FleetError(f"{name} ended: {item.log_path.read_text()[-2000:]}")
            if self.responds(url):
                return
            time.sleep(_POLL_S)
        raise FleetError(f"{name} did not answer at {url}: {item.log_path.read_text()[-2000:]}")

    def responds(self, url: str) -> bool:
        """Returns whether `url` responds with status 200."""
        try:
            return self.pool.request("GET", url, timeout=1.0).status == 200
        except HTTPError:
            return False

    def start_platform(self, **settings: Any) -> None:
        """Starts the platform stand-in and waits until it responds."""
        self.platform_address = free_address()
        self.start_process(
            "platform",
            "tanagerworks.standin",
            ["platform"],
            {"address": self.platform_address, **settings},
        )
        self.wait_until_ready("platform", f"http://{self.platform_address}/v1/vms")

    def start_engine(self, engine_id: str, address: str, **settings: Any) -> None:
        """Starts one engine stand-in."""
        self.start_process(
            engine_id,
            "tanagerworks.standin",
            ["engine"],
            {"address": address, "engine_id": engine_id, **settings},
        )

    def start_order_service(self, server_id: str, address: str, **settings: Any) -> None:
        """Starts one order service stand-in."""
        self.start_process(
            server_id,
            "tanagerworks.standin",
            ["order-service"],
            {"address": address, "server_id": server_id, **settings},
        )

    def start_node(
        self,
        node: NodeAddresses,
        peers: Iterable[str],
        router: dict[str, Any] | None = None,
        **settings: Any,
    ) -> None:
        """Starts the agent of a node and one router for each caller address.

        `router` holds further settings of the routers and `settings` those of the agent.
        """
        self.start_process(
            f"{node.node_id}-agent",
            "tanagerworks.agent",
            [],
            {
                "node_id": node.node_id,
                "zone": node.zone,
                "router_link_address": node.router_link_address,
                "peer_address": node.peer_address,
                "admin_address": node.admin_address,
                "platform_url": f"http://{self.platform_address}",
                "seed_peers": [peer for peer in peers if peer != node.peer_address],
                "invariants": True,
                "peer_plain_text": "peer_tls" not in settings,
                **settings,
            },
        )
        for number, caller in enumerate(node.caller_addresses):
            self.start_process(
                f"{node.node_id}-router-{number}",
                "tanagerworks.router",
                [],
                {
                    "router_id": f"{node.node_id}-{number}",
                    "zone": node.zone,
                    "caller_address": caller,
                    "forward_address": free_address(),
                    "agent_address": node.router_link_address,
                    "invariants": True,
                    **(router or {}),
                },
            )

    def node_processes(self, node: NodeAddresses) -> list[FleetProcess]:
        """Returns the agent and the routers of a node."""
        names = [f"{node.node_id}-agent"]
        names += [f"{node.node_id}-router-{number}" for number in range(len(node.caller_addresses))]
        return [self.processes[name] for name in names]

    def stop_node(self, node: NodeAddresses, timeout_s: float) -> list[int]:
        """Stops all processes of a node at once, as its VM does, and returns the exit statuses."""
        items = self.node_processes(node)
        for item in items:
            item.terminate()
        end_s = time.monotonic() + timeout_s
        return [item.stop(end_s - time.monotonic()) for item in items]

    def kill_node(self, node: NodeAddresses) -> None:
        """Kills all processes of a node and waits for their exit."""
        for item in self.node_processes(node):
            item.process.kill()
        for item in self.node_processes(node):
            item.process.wait()

    def start_load(self, name: str, settings: dict[str, Any]) -> Path:
        """Starts a load process and returns the path of the report that it will write."""
        report_path = self.directory / f"{name}.report.json"
        self.start_process(
            name, "tanagerworks.load", [f"--report={report_path}"], {"name": name, **settings}
        )
        return report_path

    def wait_for_load(self, name: str, timeout_s: float) -> None:
        """Waits until a load process has written its report and exited.

        Raises:
            FleetError: the process failed or did not exit in time.
        """
        item = self.processes[name]
        try:
            status = item.process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not end in {timeout_s:.0f} s") from error
        if status != 0:
            raise FleetError(f"{name} failed: {item.log_path.read_text()[-2000:]}")

    def send_control(self, address: str, path: str, document: Any, method: str = "POST") -> Any:
        """Sends a control command to a stand-in and returns the JSON document of the response.

        Raises:
            FleetError: the stand-in refused the command.
        """
        answer = self.pool.request(
            method,
            f"http://{address}/control/{path}",
            body=json.dumps(document).encode(),
            timeout=5.0,
        )
        if answer.status != 200:
            raise FleetError(f"{address} refused /control/{path}: {answer.status}")
        return json.loads(answer.data)

    def wait_for_node(self, node: NodeAddresses) -> None:
        """Waits until all routers of a node are ready."""
        for number, caller in enumerate(node.caller_addresses):
            self.wait_until_ready(f"{node.node_id}-router-{number}", f"http://{caller}/readyz")

    def publish_note(self, note: dict[str, Any], key: str = "release-note-full") -> None:
        """Stores a release note under a key of the platform stand-in.

        Raises:
            FleetError: the stand-in refused the value.
        """
        answer = self.pool.request(
            "PUT",
            f"http://{self.platform_address}/control/values/{key}",
            body=yaml.safe_dump(note).encode(),
        )
        if answer.status != 200:
            raise FleetError(f"the platform refused a value: {answer.status}")

    def get_json(self, url: str) -> Any:
        """Returns the JSON document at `url`."""
        return json.loads(self.pool.request("GET", url, timeout=5.0).data)


def new_node(node_id: str, zone: str, routers: int = 1) -> NodeAddresses:
    """Returns a node with free loopback addresses."""
    return NodeAddresses(
        node_id=node_id,
        zone=zone,
        peer_address=free_address(),
        admin_address=free_address(),
        router_link_address=free_address(),
        caller_addresses=[free_address() for _ in range(routers)],
    )
