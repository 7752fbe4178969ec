"""Log lines and the metric of requests that go to servers out of service."""

import logging

from tanagerworks.dispatch.dispatcher import DispatchRequest
from tanagerworks.edge.telemetry import EdgeMetrics

_LOGGER = logging.getLogger(__name__)


class LastResortLog:
    """Reports when a service begins and ends to be served by servers out of service.

    Streams that are bound to a software version are reported by themselves, as other requests may
    have usable servers meanwhile.
    """

    def __init__(self, metrics: EdgeMetrics) -> None:
        self.metrics = metrics
        # Requests placed so since the begin, by service and software version.
        self.requests: dict[tuple[str, str | None], int] = {}

    def record_choice(
        self, dispatch_request: DispatchRequest, server_id: str, last_resort: bool, left_s: float
    ) -> None:
        """Records a request that has been placed; `left_s` is how long the server may be used."""
        if not last_resort:
            self._record_end(dispatch_request, "a server is usable")
            return
        key = (dispatch_request.service, dispatch_request.software_version)
        if key not in self.requests:
            _LOGGER.warning(
                "service has only servers out of service",
                extra={
                    "service": dispatch_request.service,
                    "software": dispatch_request.software_version,
                    "server": server_id,
                    "left_s": round(left_s, 2),
                },
            )
        self.requests[key] = self.requests.get(key, 0) + 1
        self.metrics.record_last_resort(dispatch_request.service)

    def record_no_server(self, dispatch_request: DispatchRequest) -> None:
        """Records a request that is refused because the service has no server for it."""
        self._record_end(dispatch_request, "no server may be used")

    def _record_end(self, dispatch_request: DispatchRequest, reason: str) -> None:
        if not self.requests:
            return
        key = (dispatch_request.service, dispatch_request.software_version)
        requests = self.requests.pop(key, None)
        if requests is None:
            return
        _LOGGER.info(
            "servers out of service are not used any more",
            extra={
                "service": dispatch_request.service,
                "software": dispatch_request.software_version,
                "requests": requests,
                "reason": reason,
            },
        )
