"""Settings of the orders that node agents send to engines."""

from pydantic import Field

from tanagerworks.settings.loader import SettingsModel


class OrderSettings(SettingsModel):
    """How a node agent sends orders, for example to load a model, to engines.

    An agent without this section sends no orders.
    """

    # Model loads per second that all nodes together may start, a limit of the weight store.
    loads_per_s: float = Field(default=0.1, gt=0)
    # Interval at which the engines are compared with the release note.
    check_period_s: float = Field(default=5.0, gt=0)
    # Timeout of one order.
    timeout_s: float = Field(default=10.0, gt=0)
    # File with the bearer key for engines that authenticate the sender of an order.
    key_file: str | None = None
