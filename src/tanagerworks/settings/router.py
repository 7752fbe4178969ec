"""Settings of the router."""

from pydantic import Field

from tanagerworks.note.model import Address, Name
from tanagerworks.settings.loader import SettingsModel


class RouterSettings(SettingsModel):
    """Settings of one router process; all addresses are ``IP:PORT``."""

    router_id: Name
    zone: Name
    caller_address: Address
    # Other nodes forward tickets of this process to it.
    forward_address: Address
    agent_address: Address
    invariants: bool = False
    max_streams: int = Field(default=400, ge=1)
    max_header_bytes: int = Field(default=32_768, ge=1024)
    max_body_bytes: int = Field(default=4_000_000, ge=1024)
    slow_caller_timeout_s: float = Field(default=10.0, gt=0)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    max_view_age_s: float = Field(default=2.0, gt=0)
    agent_loss_grace_s: float = Field(default=5.0, ge=0)
    drain_notice_s: float = Field(default=1.0, ge=0)
    drain_limit_s: float = Field(default=30.0, gt=0)
