"""Addresses of nodes as they stand in messages of peers."""

from functools import lru_cache
from ipaddress import IPv4Address

from tanagerworks.errors import PeerError

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5

# Addresses whose parsed form is kept; every message of a peer states its address.
_CACHED_ADDRESSES = 4_096


@lru_cache(maxsize=_CACHED_ADDRESSES)
def parse_address(address: str) -> tuple[str, int]:
    """Returns the IPv4 address and the port of `IP:PORT`.

    Raises:
        PeerError: the address has another form. Host names are not accepted, as a lookup would
            block the event loop.
    """
    host, _colon, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        raise PeerError(f"address {address[:40]!r} has no valid port")
    if not 0 < int(port) <= _MAX_PORT:
        raise PeerError(f"address {address[:40]!r} has no valid port")
    try:
        return str(IPv4Address(host)), int(port)
    except ValueError as error:
        raise PeerError(f"address {address[:40]!r} has no valid IPv4 address") from error


def is_address(address: str) -> bool:
    """Returns whether `parse_address` accepts the address."""
    try:
        parse_address(address)
    except PeerError:
        return False
    return True
