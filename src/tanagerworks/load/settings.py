"""Settings of the load generator."""

from pydantic import Field

from tanagerworks.fields import Address
from tanagerworks.settings.loader import SettingsModel

_SHARE_FIELD = Field(default=0.0, ge=0, le=1)


class Surge(SettingsModel):
    """A period in which a customer has `factor` times its usual number of callers."""

    start_s: float = Field(ge=0)
    seconds: float = Field(gt=0)
    factor: int = Field(ge=2)


class ChatLoad(SettingsModel):
    """Callers of one customer that run chats of `turns` turns each."""

    customer: str
    key: str
    model: str
    callers: int = Field(ge=1)
    turns: int = Field(default=4, ge=1)
    pause_s: float = Field(default=1.0, ge=0)
    prompt_words: int = Field(default=40, ge=1)
    max_tokens: int = Field(default=16, ge=1)
    streamed_share: float = Field(default=1.0, ge=0, le=1)
    slow_reader_share: float = _SHARE_FIELD
    disconnect_share: float = _SHARE_FIELD
    surge: Surge | None = None


class OrderLoad(SettingsModel):
    """Callers of a service: bookings and debits that must not run twice, and status reads."""

    customer: str
    key: str
    service: str
    callers: int = Field(ge=1)
    pause_s: float = Field(default=0.5, ge=0)
    ticket_share: float = Field(default=1.0, ge=0, le=1)
    # Share of successful calls with a ticket that are repeated at another node to test replay.
    repeat_share: float = Field(default=0.2, ge=0, le=1)
    status_share: float = Field(default=0.4, ge=0, le=1)


class LoadSettings(SettingsModel):
    """Callers of one run, the routers they call and its duration."""

    # Router addresses; callers choose among them at random, as behind a load balancer.
    nodes: tuple[Address, ...] = Field(min_length=1)
    # Interval of readiness checks; nodes that are not ready get no new requests. 0 for targets
    # without ``/readyz``.
    health_period_s: float = Field(default=0.25, ge=0)
    seconds: float = Field(gt=0)
    seed: int = 1
    chats: tuple[ChatLoad, ...] = ()
    orders: tuple[OrderLoad, ...] = ()
    # Maximum attempts of a request that did not run, at another node each time if possible.
    attempts: int = Field(default=6, ge=1)
    retry_pause_s: float = Field(default=0.3, ge=0)
    # How long after the end of the run requests are still retried.
    grace_s: float = Field(default=3.0, ge=0)
    answer_timeout_s: float = Field(default=30.0, gt=0)
    # Prefix of order numbers and chat keys that keeps them distinct between load processes.
    name: str = "load"
    # Callers start at random times within this period instead of all at once.
    ramp_s: float = Field(default=0.5, ge=0)
