"""Settings of the node agent."""

from pydantic import Field

from tanagerworks.note.model import Address, Name
from tanagerworks.settings.admin import AdminSettings
from tanagerworks.settings.loader import SettingsModel


class AgentSettings(SettingsModel):
    """Settings of one node agent; all addresses are ``IP:PORT``."""

    node_id: Name
    zone: Name
    router_link_address: Address
    peer_address: Address
    admin_address: Address
    admin: AdminSettings = AdminSettings()
    platform_url: str = Field(pattern=r"^https?://")
    seed_peers: tuple[Address, ...] = ()
    # Checks the invariants inside the program; a violation ends the process.
    invariants: bool = False
    platform_watch_s: float = Field(default=20.0, gt=0)
    platform_timeout_s: float = Field(default=2.0, gt=0)
    drain_notice_s: float = Field(default=1.0, ge=0)
    drain_limit_s: float = Field(default=30.0, gt=0)
