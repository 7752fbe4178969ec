"""Validated field types shared by settings, release notes and platform adapters."""

from ipaddress import IPv4Address
from typing import Annotated

from pydantic import AfterValidator, Field

_MAX_PORT = 65_535


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"the port must be between 1 and {_MAX_PORT}")
    return address


# Id of a node, customer, service or the like: 1 to 63 characters.
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
# IPv4 address and port, ``IP:PORT``.
Address = Annotated[
    str, Field(pattern=r"^([0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5}$"), AfterValidator(_check_address)
]
