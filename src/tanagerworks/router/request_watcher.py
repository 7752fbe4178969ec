"""Notices callers that disconnect and requests that reach their time limit.

One thread watches all callers' connections, so the thread of a stream waits in a single system
call per piece. With a poll of both connections in the stream's thread every piece needed one
more release of the interpreter lock.
"""

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

_TICK_S = 0.25
_DISCONNECTED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class WatchedRequest(Protocol):
    """A request in progress."""

    # On time.monotonic.
    deadline_s: float

    def abort(self, caller_disconnected: bool) -> None:
        """Breaks the request off: its caller is gone, or its time is over."""


@dataclass(eq=False)
class _Entry:
    request: WatchedRequest
    fd: int


class RequestWatcher:
    """Watches requests in progress; starts its thread with the first of them."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.entries_by_fd: dict[int, _Entry] = {}
        self.entries_by_request: dict[int, _Entry] = {}
        self.thread: threading.Thread | None = None

    def add(self, request: WatchedRequest, caller: socket.socket | None) -> None:
        """Starts to watch a request; `caller` is None if there is no connection to watch."""
        fd = caller.fileno() if caller is not None else -1
        entry = _Entry(request, fd)
        with self.lock:
            self.entries_by_request[id(request)] = entry
            if fd >= 0:
                self.entries_by_fd[fd] = entry
                # Level-triggered: a caller that left before this call is noticed as well.
                self.epoll.register(fd, select.EPOLLRDHUP)
            if self.thread is None:
                self.thread = threading.Thread(target=self._run, name="stream-watch", daemon=True)
                self.thread.start()

    def remove(self, request: WatchedRequest) -> None:
        """Ends the watch; call it before the caller's connection may be closed."""
        with self.lock:
            entry = self.entries_by_request.pop(id(request), None)
            if entry is not None:
                self._unregister_caller(entry)

    def _unregister_caller(self, entry: _Entry) -> None:
        if self.entries_by_fd.get(entry.fd) is entry:
            del self.entries_by_fd[entry.fd]
            self.epoll.unregister(entry.fd)

    def _run(self) -> None:
        next_tick_s = self.now() + _TICK_S
        while True:
            events = self.epoll.poll(max(0.0, next_tick_s - self.now()))
            with self.lock:
                for fd, mask in events:
                    entry = self.entries_by_fd.get(fd)
                    if entry is not None and mask & _DISCONNECTED:
                        self._unregister_caller(entry)
                        entry.request.abort(caller_disconnected=True)
                now_s = self.now()
                if now_s < next_tick_s:
                    continue
                next_tick_s = now_s + _TICK_S
                for entry in self.entries_by_request.values():
                    if now_s >= entry.request.deadline_s:
                        entry.request.abort(caller_disconnected=False)
