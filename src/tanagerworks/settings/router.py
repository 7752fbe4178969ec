"""Settings of the router."""

from pydantic import Field

from tanagerworks.fields import Address, Name
from tanagerworks.settings.loader import SettingsModel


class RouterSettings(SettingsModel):
    """Settings of one router process; all addresses are ``IP:PORT``."""

    router_id: Name
    zone: Name
    caller_address: Address
    # Other nodes forward calls with tickets of this process to this address.
    forward_address: Address
    agent_address: Address
    # Checks internal invariants at run time; the process exits on a violation.
    invariants: bool = False
    # Chat requests, streamed or not, that may be open at the same time; more are refused.
    max_streams: int = Field(default=400, ge=1)
    max_header_bytes: int = Field(default=32_768, ge=1024)
    max_body_bytes: int = Field(default=4_000_000, ge=1024)
    # Largest response that is read completely before it is sent to the caller.
    max_answer_bytes: int = Field(default=16_000_000, ge=1024)
    # Longest time that a read or write on a caller's connection may block.
    slow_caller_timeout_s: float = Field(default=10.0, gt=0)
    # The header and body of a request must arrive within this time.
    request_read_timeout_s: float = Field(default=20.0, gt=0)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    # A view older than this is refreshed before a request is sent.
    max_view_age_s: float = Field(default=2.0, gt=0)
    # How long held slots are reused while the node agent does not answer.
    agent_loss_grace_s: float = Field(default=5.0, ge=0)
    ticket_lifetime_s: float = Field(default=900.0, gt=0)
    # Calls with tickets that are stored at the same time.
    max_ticket_calls: int = Field(default=100_000, ge=1)
    # Total size of the responses that are stored to be replayed for their tickets.
    max_ticket_bytes: int = Field(default=64_000_000, ge=1024)
    # Time in which the load balancer detects that the router is not ready.
    drain_notice_s: float = Field(default=1.0, ge=0)
    # Longest time that a graceful shutdown waits for running requests.
    drain_limit_s: float = Field(default=30.0, gt=0)
