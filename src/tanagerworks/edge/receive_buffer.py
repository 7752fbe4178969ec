"""The buffer into which all connections of the process receive.

The event loop would otherwise allocate 256 KiB for each read of each connection. What is received
is parsed, or copied into the connection's own buffer, before the next connection reads.
"""

import asyncio

RECEIVE_BYTES = 65_536
_BUFFER = memoryview(bytearray(RECEIVE_BYTES))


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that receives at most `max_read_bytes()` at once, without a buffer of its own."""

    def max_read_bytes(self) -> int:
        """Returns how many bytes the next read may return, at least one."""
        return RECEIVE_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the part of the shared buffer that the next read may fill."""
        return _BUFFER[: self.max_read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what has been received; the receiver must not keep the view."""
        self.data_received(_BUFFER[:nbytes])

    def data_received(self, data: memoryview | bytes) -> None:
        """Takes received data."""
        raise NotImplementedError
