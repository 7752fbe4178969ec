"""Settings of the edge process."""

from pydantic import Field

from tanagerworks.fields import Address, Name
from tanagerworks.settings.loader import SettingsModel


class EdgeAddresses(SettingsModel):
    """Addresses at which one process listens, ``IP:PORT``."""

    callers: Address
    readiness: Address
    # UDP messages and TCP transfers of store copies between nodes; the same port on every node.
    peers: Address
    metrics: Address


class EdgeBounds(SettingsModel):
    """Limits that operators set for the whole fleet."""

    # A process that shuts down exits within this time after the first signal.
    stop_limit_s: float = Field(gt=0)
    # Retries of a service that the fleet may send in a sliding window: this share of its requests,
    # plus a constant number.
    repeat_ratio: float = Field(ge=0)
    repeat_window_s: float = Field(gt=0)
    repeat_minimum: float = Field(ge=0)
    # A cold server accepts, in any second, its declared rate times the factor plus the extra.
    cold_factor: float = Field(ge=0)
    cold_extra: float = Field(ge=0)


class StoreSettings(SettingsModel):
    """Address of the published store and timeouts for reading it."""

    address: Address
    # Longest time that one read waits at the store for a change.
    wait_s: float = Field(default=5.0, gt=0)
    # A read fails if it takes this much longer than its wait.
    timeout_s: float = Field(default=1.0, gt=0)


class EdgeSettings(SettingsModel):
    """Settings of one edge process."""

    node: Name
    zone: Name
    addresses: EdgeAddresses
    # Addresses of peers; some may be outdated or down.
    seeds: list[Address] = Field(default_factory=list)
    store: StoreSettings
    bounds: EdgeBounds
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
