"""Settings of the router."""

from pydantic import Field

from tanagerworks.fields import Address, Name
from tanagerworks.settings.loader import SettingsModel


class RouterSettings(SettingsModel):
    """Settings of one router process; all addresses are ``IP:PORT``."""

    router_id: Name
    zone: Name
    caller_address: Address
    # Other nodes forward tickets of this process to it.
    forward_address: Address
    agent_address: Address
    # Checks the invariants inside the program; a violation ends the process.
    invariants: bool = False
    max_streams: int = Field(default=400, ge=1)
    max_header_bytes: int = Field(default=32_768, ge=1024)
    max_body_bytes: int = Field(default=4_000_000, ge=1024)
    # Largest answer that is read whole before the caller sees its status.
    max_answer_bytes: int = Field(default=16_000_000, ge=1024)
    slow_caller_timeout_s: float = Field(default=10.0, gt=0)
    # Header and body of a request have to arrive within this time.
    request_read_timeout_s: float = Field(default=20.0, gt=0)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    max_view_age_s: float = Field(default=2.0, gt=0)
    agent_loss_grace_s: float = Field(default=5.0, ge=0)
    ticket_lifetime_s: float = Field(default=900.0, gt=0)
    max_ticket_calls: int = Field(default=100_000, ge=1)
    # Size of the answers that are kept to be replayed under tickets.
    max_ticket_bytes: int = Field(default=64_000_000, ge=1024)
    drain_notice_s: float = Field(default=1.0, ge=0)
    drain_limit_s: float = Field(default=30.0, gt=0)
