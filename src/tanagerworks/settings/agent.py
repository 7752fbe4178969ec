"""Settings of the node agent."""

from pydantic import Field, model_validator

from tanagerworks.fields import Address, Name
from tanagerworks.settings.admin import AdminSettings
from tanagerworks.settings.loader import SettingsModel
from tanagerworks.settings.orders import OrderSettings


class PeerTlsSettings(SettingsModel):
    """Files of the mutual TLS between nodes, in PEM.

    `ca_file` may hold several certificates, so that during a rotation certificates of the old and
    the new authority are valid. Every node's certificate names `server_name`.
    """

    certificate_file: str
    key_file: str
    ca_file: str
    server_name: str = Field(default="peer.tanagerworks.internal", min_length=1)


class AgentSettings(SettingsModel):
    """Settings of one node agent; all addresses are ``IP:PORT``."""

    node_id: Name
    zone: Name
    router_link_address: Address
    peer_address: Address
    admin_address: Address
    admin: AdminSettings = AdminSettings()
    # Sends orders to engines; none are sent without this section.
    orders: OrderSettings | None = None
    platform_url: str = Field(pattern=r"^https?://")
    seed_peers: tuple[Address, ...] = ()
    peer_tls: PeerTlsSettings | None = None
    # Exchanges with peers without encryption and authentication; for development on loopback.
    peer_plain_text: bool = False
    # Checks the invariants inside the program; a violation ends the process.
    invariants: bool = False
    platform_watch_s: float = Field(default=20.0, gt=0)
    platform_timeout_s: float = Field(default=2.0, gt=0)
    vm_poll_s: float = Field(default=1.0, gt=0)
    # Longest time that a fresh node waits for its seed peers before it is ready.
    peer_learn_timeout_s: float = Field(default=5.0, ge=0)
    exchange_period_s: float = Field(default=1.0, gt=0)
    exchange_timeout_s: float = Field(default=1.0, gt=0)
    # Bound on the entries of one message; the heartbeats add one byte per node.
    max_entry_bytes: int = Field(default=700, ge=64)
    suspect_after_s: float = Field(default=5.0, gt=0)
    dead_after_s: float = Field(default=15.0, gt=0)
    # Connections end after this time, so that an expired or withdrawn certificate loses its use.
    max_peer_connection_s: float = Field(default=600.0, gt=0)
    probe_period_s: float = Field(default=1.0, gt=0)
    probe_timeout_s: float = Field(default=1.0, gt=0)
    # Nodes that probe each engine.
    probes_per_engine: int = Field(default=2, ge=1)
    # A longer gap between two ticks means that the process was paused.
    max_tick_gap_s: float = Field(default=1.0, gt=0)
    refresh_timeout_s: float = Field(default=1.5, gt=0)
    drain_notice_s: float = Field(default=1.0, ge=0)
    drain_limit_s: float = Field(default=30.0, gt=0)

    @model_validator(mode="after")
    def _peer_security_is_explicit(self) -> "AgentSettings":
        if (self.peer_tls is None) is not self.peer_plain_text:
            raise ValueError("set either peer_tls or peer_plain_text: true")
        return self
