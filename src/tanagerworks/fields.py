"""Types of values that settings, notes and adapters check alike."""

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


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"), AfterValidator(_check_address)
]
