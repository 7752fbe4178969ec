"""Runs blocking calls beside the event loop without delaying the end of the process."""

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


async def call_in_daemon_thread(
    function: Callable[..., ResultT], *args: Any, name: str = "blocking-call"
) -> ResultT:
    """Returns ``function(*args)``, run in a daemon thread of its own.

    The threads of an executor are joined at exit, so a watch of 20 s would delay a shutdown that
    long; a cancelled caller here leaves the thread to end with the process.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[ResultT] = loop.create_future()

    def settle(result: ResultT | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def work() -> None:
        result, error = None, None
        try:
            result = function(*args)
        except Exception as caught:  # noqa: BLE001 - handed to the caller
            error = caught
        # The loop may be closed already at shutdown.
        with suppress(RuntimeError):
            loop.call_soon_threadsafe(settle, result, error)

    threading.Thread(target=work, name=name, daemon=True).start()
    return await future
