"""Settings of the edge process."""

from ipaddress import IPv4Address

from pydantic import Field, field_validator, model_validator

from tanagerworks.fields import Address, Name
from tanagerworks.settings.loader import SettingsModel

DEFAULT_MEMORY_LIMIT_MB = 300.0


class EdgeAddresses(SettingsModel):
    """Addresses at which one process listens, ``IP:PORT``."""

    callers: Address
    readiness: Address
    # UDP messages between nodes and TCP transfers of a replica of the published store; the same
    # port on every node.
    peers: Address
    metrics: Address
    # Requests that peers forward while they reach no server; closed if not stated.
    forwarding: Address | None = None
    # Explains choices of servers to `tanagerctl route`; closed if not stated.
    admin: Address | None = None

    @field_validator("forwarding", mode="before")
    @classmethod
    def _accept_missing_port(cls, value: object) -> object:
        """Returns None for an IP address with an empty port, and other values unchanged.

        The platform's template leaves the port empty if the platform assigns none.
        """
        if not isinstance(value, str) or not value.endswith(":"):
            return value
        IPv4Address(value[:-1])
        return None


class EdgeBounds(SettingsModel):
    """Limits that operators set for the whole fleet."""

    # A process that shuts down exits within this time after the first signal.
    stop_limit_s: float = Field(gt=0)
    # Retries (repeats) that the fleet may send per service within a sliding window of
    # `repeat_window_s`: `repeat_ratio` times the requests in it, plus `repeat_minimum`.
    repeat_ratio: float = Field(ge=0)
    repeat_window_s: float = Field(gt=0)
    repeat_minimum: float = Field(ge=0)
    # In any second, the fleet sends a cold server at most the rate that is published for its
    # service times the factor, plus the extra.
    cold_factor: float = Field(ge=0)
    cold_extra: float = Field(ge=0)
    # A server that says it leaves serves requests for this time. Nodes have to stop sending it
    # requests by then, also if some of them lose the store.
    leaving_notice_ms: float = Field(default=2_000.0, gt=0)
    # Servers of a zone that is taken out of service serve requests for this time if their service
    # has no other; they never do if it is 0 or not stated.
    zone_notice_ms: float | None = Field(default=None, ge=0)

    @property
    def leaving_notice_s(self) -> float:
        """`leaving_notice_ms` in seconds."""
        return self.leaving_notice_ms / 1000

    @property
    def zone_notice_s(self) -> float:
        """`zone_notice_ms` in seconds; 0 if not stated."""
        return (self.zone_notice_ms or 0.0) / 1000


class StoreSettings(SettingsModel):
    """Address of the published store and timeouts for reading it."""

    address: Address
    # Longest time that one read waits at the store for a change.
    wait_s: float = Field(default=5.0, gt=0)
    # A read fails if it takes this much longer than its wait.
    timeout_s: float = Field(default=1.0, gt=0)


class HedgingSettings(SettingsModel):
    """Whether and when a second server is asked for a late answer to an idempotent request."""

    enabled: bool = False
    # A request is late after this quantile of the recent times of its route, and at the earliest
    # after `min_delay_ms`.
    quantile: float = Field(default=0.95, gt=0, lt=1)
    min_delay_ms: float = Field(default=10.0, ge=0)
    # Largest share of the requests of a node that may be hedged for which it asks a second server.
    max_share: float = Field(default=0.05, ge=0, le=1)


class CallerSettings(SettingsModel):
    """Limits on callers beside those of the configuration in force."""

    # A body has to arrive within this time as a whole; between two pieces, the idle timeout of the
    # configuration holds. Bodies of the largest size take seconds on slow links.
    body_timeout_s: float = Field(default=30.0, gt=0)


class EdgeSettings(SettingsModel):
    """Settings of one edge process."""

    node: Name
    zone: Name
    addresses: EdgeAddresses
    # Addresses of peers; some may be outdated or down.
    seeds: list[Address] = Field(default_factory=list)
    store: StoreSettings
    bounds: EdgeBounds
    hedging: HedgingSettings = Field(default_factory=HedgingSettings)
    # Whether no process of the fleet has run before, so that no request is older than this process.
    # False if not stated.
    first_start: bool | None = None
    # Memory that the process may take, in millions of bytes; a default if not stated.
    memory_limit_mb: float | None = Field(default=None, gt=0)
    # Descriptors that the process may open; that of the operating system if not stated or lower.
    max_open_files: int | None = Field(default=None, gt=0)
    callers: CallerSettings = CallerSettings()
    # File with the SHA-256 digests of the keys for `addresses.admin`, one or two, each on a line.
    admin_key_file: str | None = None
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")

    @model_validator(mode="after")
    def _check_admin_address(self) -> "EdgeSettings":
        address = self.addresses.admin
        if address is None:
            return self
        if self.admin_key_file is None:
            raise ValueError("admin_key_file must be set if addresses.admin is")
        host = IPv4Address(address.rpartition(":")[0])
        own_host = IPv4Address(self.addresses.peers.rpartition(":")[0])
        if not host.is_loopback and (host != own_host or host.is_unspecified):
            raise ValueError("addresses.admin must be a loopback address or that of peers")
        return self

    @property
    def memory_limit_bytes(self) -> float:
        """`memory_limit_mb` in bytes."""
        return 1e6 * (self.memory_limit_mb or DEFAULT_MEMORY_LIMIT_MB)
