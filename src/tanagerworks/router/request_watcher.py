"""Detects callers that disconnect and requests that reach their deadline.

One thread watches the connections of all callers, so that the thread of a stream makes a single
system call per piece. Polling both connections in that thread would take a second system call,
and so another release of the interpreter lock, for each piece.
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

    # On the clock time.monotonic.
    deadline_s: float

    def abort(self, caller_disconnected: bool) -> None:
        """Aborts the request, because its caller disconnected or its deadline passed."""


@dataclass(eq=False)
class _Entry:
    request: WatchedRequest
    fd: int


class RequestWatcher:
    """Watches requests in progress; starts its thread with the first request."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.entries_by_fd: dict[int, _Entry] = {}
        self.entries_by_request: dict[int, _Entry] = {}
        self.thread: threading.Thread | None = None

    def add(self, request: WatchedRequest, caller: socket.socket | None) -> None:
        """Starts watching a request; `caller` is None if there is no connection to watch."""
        fd = caller.fileno() if caller is not None else -1
        entry = _Entry(request, fd)
        with self.lock:
            self.entries_by_request[id(request)] = entry
            if fd >= 0:
                self.entries_by_fd[fd] = entry
                # Level-triggered, so a caller that disconnected before this call is detected too.
                self.epoll.register(fd, select.EPOLLRDHUP)
            if self.thread is None:
                self.thread = threading.Thread(target=self._run, name="stream-watch", daemon=True)
                self.thread.start()

    def remove(self, request: WatchedRequest) -> None:
        """Stops watching a request; must be called before the caller's connection is closed."""
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
