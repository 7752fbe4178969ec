"""Fault: a signal that comes while a process starts ends it."""

import asyncio
import signal
import subprocess
import sys

import pytest

from tests.edge_node import EdgeNode
from tests.platform_standin import StoreStandin, wait_until


def run_with_early_signal(directory, number):
    """Sends a signal to a process that has opened its first port only; returns its exit status.

    A process that has started in spite of it gets SIGTERM then.
    """

    async def run():
        store = await StoreStandin().start()
        node = EdgeNode(1, directory, store.address, [])
        await node.start()
        host, _colon, port = node.callers.partition(":")
        connected = False
        async with asyncio.timeout(20):
            while not connected:
                try:
                    _reader, writer = await asyncio.open_connection(host, int(port))
                    connected = True
                    writer.close()
                except OSError:
                    await asyncio.sleep(0.001)
        node.signal(number)
        await wait_until(
            lambda: node.process.returncode is not None or b'"started"' in node.log.read_bytes()
        )
        started = node.process.returncode is None
        await node.end(signal.SIGTERM)
        store.server.close_listener()
        return started, node.process.returncode

    return asyncio.run(run())


@pytest.mark.parametrize(("number", "started"), [(signal.SIGHUP, True), (signal.SIGTERM, False)])
def test_signal_during_the_start_is_handled(tmp_path, number, started):
    """Guards against a reload that ends a process, and a stop that counts as a crash."""
    assert run_with_early_signal(tmp_path, number) == (started, 0)


@pytest.mark.parametrize(
    "lines",
    [
        ["try:", "    signal.raise_signal(signal.SIGTERM)", "except BaseException:", "    pass"],
        [
            "found = {signal}",
            "watch = weakref.ref(found, lambda _found: signal.raise_signal(signal.SIGTERM))",
            "del found",
        ],
    ],
    ids=["import of an extension module", "callback of a weak reference"],
)
def test_stop_is_not_lost_where_exceptions_are_swallowed(lines):
    """Guards against a process that starts and serves callers although it was told to stop.

    Imports run callbacks of weak references, in which the interpreter drops exceptions; extension
    modules replace one that comes during an import of theirs by an ImportError.
    """
    program = [
        "import signal, weakref",
        "from tanagerworks.edge.early_signals import handle_signals_early",
        "handle_signals_early()",
        *lines,
        "print('still running')",
    ]
    command = [sys.executable, "-c", "\n".join(program)]
    ended = subprocess.run(command, capture_output=True, text=True)
    assert (ended.returncode, ended.stdout) == (0, "")
    assert ended.stderr == "stopped by a signal while starting\n"
