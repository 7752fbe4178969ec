"""Runs blocking calls off the event loop in threads that don't delay the exit of the process."""

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


async def call_in_daemon_thread(
    function: Callable[..., ResultT], *args: Any, name: str = "blocking-call"
) -> ResultT:
    """Returns the result of ``function(*args)``, run in a daemon thread of its own.

    Executor threads are joined at exit, so a watch of 20 s could delay a shutdown by 20 s. If the
    caller is cancelled here, the thread runs on until the call returns or the process exits.

    Raises:
        Exception: whatever `function` raised.
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
        except Exception as caught:  # noqa: BLE001 - raised again in the caller
            error = caught
        # The loop may be closed already at shutdown.
        with suppress(RuntimeError):
            loop.call_soon_threadsafe(settle, result, error)

    threading.Thread(target=work, name=name, daemon=True).start()
    return await future
