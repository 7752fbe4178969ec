"""Copies of the published store and of the index of cached parts, sent between nodes over TCP."""

import asyncio
import logging
import struct
import zlib
from collections.abc import Callable

from google.protobuf.message import DecodeError

from tanagerworks.errors import PeerError
from tanagerworks.membership.addresses import parse_address
from tanagerworks.rpc.edge_pb2 import StoreCopy, StoreCopyRequest

_LOGGER = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 1.0
# Maximum size of a request for a copy of the store, which has two numbers.
MAX_COPY_REQUEST_BYTES = 1_024
# A copy of the store consists of a configuration and the entries of all servers. Each value has at
# most 1 MB.
_MAX_COPY_BYTES = 32_000_000
# Length prefix of a message.
_LENGTH = struct.Struct("!I")


async def fetch_store_copy(address: str, request: StoreCopyRequest) -> StoreCopy:
    """Returns the copy of the store of the peer at `address`, or its changes after a revision.

    The result consists of changes if the log of the peer reaches back to the revision and the era
    in the request, otherwise of all items.

    Raises:
        PeerError: the peer cannot be reached, does not answer in time, or the answer is invalid.
    """
    host, port = parse_address(address)
    message = request.SerializeToString()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(_LENGTH.pack(len(message)) + message)
            data = _decompress(await _read_message(reader, _MAX_COPY_BYTES))
        return StoreCopy.FromString(data)
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        zlib.error,
        DecodeError,
    ) as error:
        raise PeerError(f"{address}: {error or 'timed out'}") from error
    finally:
        if writer is not None:
            writer.close()


async def serve_store_copy(
    build_copy: Callable[[StoreCopyRequest], StoreCopy],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers a peer's request with the copy that `build_copy` returns, then closes."""
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            request = StoreCopyRequest.FromString(
                await _read_message(reader, MAX_COPY_REQUEST_BYTES)
            )
            data = zlib.compress(build_copy(request).SerializeToString(), level=1)
            writer.write(_LENGTH.pack(len(data)) + data)
            await writer.drain()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, DecodeError) as error:
        _LOGGER.warning("copy of the store not sent", extra={"reason": repr(error)})
    finally:
        writer.close()


async def _read_message(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise DecodeError(f"a message of {length} bytes is too large")
    return await reader.readexactly(length)


def _decompress(data: bytes) -> bytes:
    """Returns the decompressed data.

    Raises:
        DecodeError: the result would exceed `_MAX_COPY_BYTES`, or the data is incomplete.
        zlib.error: the data is not compressed data.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, _MAX_COPY_BYTES)
    if not decompressor.eof:
        raise DecodeError("a copy of the store is incomplete or too large")
    return decompressed
