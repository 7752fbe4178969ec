"""Settings of the node agent."""

from pydantic import Field, model_validator

from tanagerworks.fields import Address, Name
from tanagerworks.settings.admin import AdminSettings
from tanagerworks.settings.loader import SettingsModel
from tanagerworks.settings.orders import OrderSettings


class PeerTlsSettings(SettingsModel):
    """PEM files for mutual TLS between nodes.

    `ca_file` may contain several certificates, so that certificates of both the old and the new
    authority are valid during a rotation. Every node's certificate must contain `server_name`.
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
    # Without this section the agent sends no orders to engines.
    orders: OrderSettings | None = None
    platform_url: str = Field(pattern=r"^https?://")
    seed_peers: tuple[Address, ...] = ()
    peer_tls: PeerTlsSettings | None = None
    # No encryption or authentication between peers; for development on the loopback interface.
    peer_plain_text: bool = False
    # Checks internal invariants at run time; the process exits on a violation.
    invariants: bool = False
    # How long a read of a platform key may wait for a change.
    platform_watch_s: float = Field(default=20.0, gt=0)
    # Timeout of a platform request, beyond the time it may wait for a change.
    platform_timeout_s: float = Field(default=2.0, gt=0)
    vm_poll_s: float = Field(default=1.0, gt=0)
    # Longest time that a starting node waits for its seed peers before it applies a release note.
    peer_learn_timeout_s: float = Field(default=5.0, ge=0)
    exchange_period_s: float = Field(default=1.0, gt=0)
    exchange_timeout_s: float = Field(default=1.0, gt=0)
    # Size limit of the node entries in one message; heartbeats add one byte per node.
    max_entry_bytes: int = Field(default=700, ge=64)
    # Time without a new heartbeat after which a node is suspect, or dead.
    suspect_after_s: float = Field(default=5.0, gt=0)
    dead_after_s: float = Field(default=15.0, gt=0)
    # Connections are closed after this time, so that a peer with an expired or withdrawn
    # certificate does not stay connected.
    max_peer_connection_s: float = Field(default=600.0, gt=0)
    probe_period_s: float = Field(default=1.0, gt=0)
    probe_timeout_s: float = Field(default=1.0, gt=0)
    # Number of nodes that probe each engine.
    probes_per_engine: int = Field(default=2, ge=1)
    # A longer gap between two ticks of the pause guard means that the process was paused.
    max_tick_gap_s: float = Field(default=1.0, gt=0)
    # How long calls wait for the state to be refreshed after a pause.
    refresh_timeout_s: float = Field(default=1.5, gt=0)
    # Time in which the load balancer detects that the node is not ready; after it, new work is
    # refused.
    drain_notice_s: float = Field(default=1.0, ge=0)
    # Longest time that a graceful shutdown waits for running work.
    drain_limit_s: float = Field(default=30.0, gt=0)

    @model_validator(mode="after")
    def _check_peer_security(self) -> "AgentSettings":
        if (self.peer_tls is None) is not self.peer_plain_text:
            raise ValueError("set either peer_tls or peer_plain_text: true")
        return self
