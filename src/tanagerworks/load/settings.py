"""Settings of the load tool."""

from pydantic import Field

from tanagerworks.fields import Address
from tanagerworks.settings.loader import SettingsModel

Share = Field(default=0.0, ge=0, le=1)


class Surge(SettingsModel):
    """A time in which a customer has `factor` times its callers."""

    start_s: float = Field(ge=0)
    seconds: float = Field(gt=0)
    factor: int = Field(ge=2)


class ChatLoad(SettingsModel):
    """Callers of one customer whose chats pause and return with a growing history."""

    customer: str
    key: str
    model: str
    callers: int = Field(ge=1)
    turns: int = Field(default=4, ge=1)
    pause_s: float = Field(default=1.0, ge=0)
    prompt_words: int = Field(default=40, ge=1)
    max_tokens: int = Field(default=16, ge=1)
    streamed_share: float = Field(default=1.0, ge=0, le=1)
    slow_reader_share: float = Share
    disconnect_share: float = Share
    surge: Surge | None = None


class OrderLoad(SettingsModel):
    """Callers of a plain service: bookings and debits that must not be repeated, status reads."""

    customer: str
    key: str
    service: str
    callers: int = Field(ge=1)
    pause_s: float = Field(default=0.5, ge=0)
    ticket_share: float = Field(default=1.0, ge=0, le=1)
    # Calls with a ticket that are sent once more through another node although they succeeded.
    repeat_share: float = Field(default=0.2, ge=0, le=1)
    status_share: float = Field(default=0.4, ge=0, le=1)


class LoadSettings(SettingsModel):
    """What callers do, at which routers and for how long."""

    # Router addresses; callers spread over them as behind a load balancer.
    nodes: tuple[Address, ...] = Field(min_length=1)
    # Nodes that are not ready get no new calls; 0 for targets without ``/readyz``.
    health_period_s: float = Field(default=0.25, ge=0)
    seconds: float = Field(gt=0)
    seed: int = 1
    chats: tuple[ChatLoad, ...] = ()
    orders: tuple[OrderLoad, ...] = ()
    # Attempts of a request that was not run, each at another node.
    attempts: int = Field(default=6, ge=1)
    retry_pause_s: float = Field(default=0.3, ge=0)
    # Requests that began in time are tried again at most this long after the end.
    grace_s: float = Field(default=3.0, ge=0)
    answer_timeout_s: float = Field(default=30.0, gt=0)
    # Prepended to order numbers and chat keys, so that several load processes do not collide.
    name: str = "load"
    # Callers start over this time instead of all at once.
    ramp_s: float = Field(default=0.5, ge=0)
