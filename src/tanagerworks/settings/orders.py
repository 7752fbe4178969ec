"""Settings of the orders to engines."""

from pydantic import Field

from tanagerworks.settings.loader import SettingsModel


class OrderSettings(SettingsModel):
    """How an agent sends orders to engines; without this section it sends none.

    `key_file` holds the bearer key for engines that check the sender of an order.
    """

    # Loads of all nodes together that the weight store serves.
    loads_per_s: float = Field(default=0.1, gt=0)
    check_period_s: float = Field(default=5.0, gt=0)
    timeout_s: float = Field(default=10.0, gt=0)
    key_file: str | None = None
