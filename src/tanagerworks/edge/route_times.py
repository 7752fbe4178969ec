"""Times of hedged routes over the fleet, as histograms that nodes exchange.

A node keeps its own times and the last report of each node of its zone and of each other zone.
Imported only if hedging is on, since it needs the histogram library.
"""

import logging
import struct
import zlib
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

from tanagerworks.dispatch.hedging import WINDOW_S, RouteQuantile
from tanagerworks.membership.peer_table import name_hash
from tanagerworks.rpc.edge_pb2 import NodeState, RouteTimes

_LOGGER = logging.getLogger(__name__)

# Histograms count in this unit, up to a minute, with two significant digits (1%).
_UNIT_S = 0.0001
_MAX_UNITS = 600_000
_DIGITS = 2
# Histograms of more times are sent with one significant digit (6%), since they take more than 100
# bytes with two.
_MAX_PRECISE_SAMPLES = 50
_COARSE_DIGITS = 1
# The node's own times are dropped in slices of this length.
_SLICE_S = 2.0
# Sums over the fleet are computed anew after this time. Adding up the reports of 90 nodes takes two
# milliseconds for each route.
_SUM_MAX_AGE_S = 2.0
# More times than the fleet handles of one route in `WINDOW_S` are not believed.
_MAX_REPORTED_SAMPLES = 100_000
# Times of a zone were at most `WINDOW_S` old when a node reported them, and the report was at most
# as old when the zone's sum was made.
_MAX_WINDOW_MS = 1000 * (2.0 * WINDOW_S + _SUM_MAX_AGE_S)
# Reports of one sender that are kept; further routes are ignored.
_MAX_ROUTES_PER_SENDER = 32
_MAX_LOGGED_SENDERS = 256
# Longest decompressed histogram: each counter takes at most nine bytes.
_MAX_HISTOGRAM_BYTES = 32_768
# Head of an uncompressed histogram (V2 encoding): cookie, length, offset, significant digits,
# lowest and highest value, ratio.
_HISTOGRAM_HEAD = struct.Struct(">IIIIQQd")
_DECODE_ERRORS = (
    zlib.error,
    ArithmeticError,
    LookupError,
    ValueError,
    HdrCookieException,
    HdrLengthException,
)


@dataclass(frozen=True, slots=True)
class _Report:
    """Times that were at most `window_s` old at `received_s`."""

    histogram: HdrHistogram
    received_s: float
    window_s: float

    def recent_share(self, now_s: float) -> float:
        """Returns the share of the times that are estimated to lie within `WINDOW_S`."""
        return min(1.0, (WINDOW_S - (now_s - self.received_s)) / self.window_s)


@dataclass(frozen=True, slots=True)
class _Sum:
    """Times of several nodes, added up at `made_s`."""

    histogram: HdrHistogram
    # Estimated number of times within `WINDOW_S`.
    samples: float
    # The times were at most this old.
    window_s: float
    made_s: float


class RouteTimeTable:
    """Times of routes that this node has seen and those that other nodes reported.

    Routes are identified by the hash of their name. Times `now_s` are in seconds of one clock.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        # Slices of this node's times by route: begin of the slice and histogram, oldest first.
        self.own: dict[int, deque[tuple[float, HdrHistogram]]] = {}
        # Last reports by route, by name of a node of the own zone and by name of another zone.
        self.node_reports: dict[str, dict[int, _Report]] = {}
        self.zone_reports: dict[str, dict[int, _Report]] = {}
        # Sums of the own zone by route.
        self.zone_sums: dict[int, _Sum] = {}
        # Quantiles with the time at which they were computed, by route and quantile.
        self.quantiles: dict[tuple[int, float], tuple[float, RouteQuantile | None]] = {}
        # Number of reports made, which decides which route is the first in a report.
        self.report_count = 0
        # Senders whose unusable report has been logged.
        self.logged_senders: set[str] = set()

    def record(self, route: str, took_s: float, now_s: float) -> None:
        """Records the time from the first send of a request to its answer."""
        slices = self.own.setdefault(name_hash(route), deque())
        if not slices or now_s - slices[-1][0] >= _SLICE_S:
            slices.append((now_s, _empty_histogram()))
            _drop_expired_slices(slices, now_s)
        slices[-1][1].record_value(min(_MAX_UNITS, max(1, round(took_s / _UNIT_S))))

    def quantile(self, route: str, quantile: float, now_s: float) -> RouteQuantile | None:
        """Returns a quantile of the times of a route over the fleet; None without any."""
        key = (name_hash(route), quantile)
        found = self.quantiles.get(key)
        if found is None or now_s - found[0] >= _SUM_MAX_AGE_S:
            found = self.quantiles[key] = (now_s, self._compute_quantile(*key, now_s))
        return found[1]

    def _compute_quantile(self, route: int, quantile: float, now_s: float) -> RouteQuantile | None:
        zone_sum = self._zone_sum(route, now_s)
        total = _add_up(_recent_reports(self.zone_reports, route, now_s), now_s)
        total.histogram.add(zone_sum.histogram)
        samples = total.samples + zone_sum.samples
        if not samples:
            return None
        time_s = total.histogram.get_value_at_percentile(100.0 * quantile) * _UNIT_S
        return RouteQuantile(time_s, samples)

    def _zone_sum(self, route: int, now_s: float) -> _Sum:
        """Returns the times of this node and those that nodes of its zone have reported."""
        found = self.zone_sums.get(route)
        if found is None or now_s - found.made_s >= _SUM_MAX_AGE_S:
            others = _recent_reports(self.node_reports, route, now_s)
            found = _add_up((*self._own_times(route, now_s), *others), now_s)
            self.zone_sums[route] = found
        return found

    def _own_times(self, route: int, now_s: float) -> Iterator[_Report]:
        slices = self.own.get(route, deque())
        _drop_expired_slices(slices, now_s)
        for begin_s, histogram in slices:
            yield _Report(histogram, now_s, max(_SLICE_S, now_s - begin_s))

    # Messages

    def to_reports(self, in_summary: bool, now_s: float, max_bytes: int) -> list[RouteTimes]:
        """Returns the times of this node, or of its zone in a summary, as far as they fit.

        Each report begins with another route, so that all get their turn.
        """
        routes = sorted(
            self.own.keys() | {key for found in self.node_reports.values() for key in found}
            if in_summary
            else self.own.keys()
        )
        self.report_count += 1
        reports = []
        size = 0
        for number in range(len(routes)):
            route = routes[(number + self.report_count) % len(routes)]
            report = self._to_report(route, in_summary, now_s)
            if report is None:
                continue
            # Tag and length of the field.
            added = report.ByteSize() + 4
            if size + added > max_bytes:
                break
            size += added
            reports.append(report)
        return reports

    def _to_report(self, route: int, in_summary: bool, now_s: float) -> RouteTimes | None:
        if in_summary:
            total = self._zone_sum(route, now_s)
        else:
            total = _add_up(self._own_times(route, now_s), now_s)
        if not total.samples:
            return None
        histogram = total.histogram
        if histogram.get_total_count() > _MAX_PRECISE_SAMPLES:
            histogram = _convert(histogram, _COARSE_DIGITS)
        window_s = total.window_s + now_s - total.made_s
        return RouteTimes(route=route, histogram=histogram.encode(), window_ms=int(window_s * 1000))

    def merge(self, state: NodeState, now_s: float) -> None:
        """Replaces the times that a node of this zone, or another zone, reported before.

        A report that cannot be read changes nothing; it is logged once for each sender.
        """
        is_own_zone = state.zone == self.zone
        if not is_own_zone and not state.HasField("summary"):
            return
        table = self.node_reports if is_own_zone else self.zone_reports
        _drop_expired_reports(table, now_s)
        reports = table.setdefault(state.name if is_own_zone else state.zone, {})
        for report in state.route_times:
            if report.route not in reports and len(reports) >= _MAX_ROUTES_PER_SENDER:
                continue
            histogram = _decode(report.histogram)
            if histogram is None or not 0 < report.window_ms <= _MAX_WINDOW_MS:
                self._log_unusable(state.name)
                continue
            reports[report.route] = _Report(histogram, now_s, report.window_ms / 1000)

    def _log_unusable(self, sender: str) -> None:
        if sender in self.logged_senders or len(self.logged_senders) >= _MAX_LOGGED_SENDERS:
            return
        self.logged_senders.add(sender)
        _LOGGER.warning("times of routes unusable", extra={"peer": sender})


def _empty_histogram(digits: int = _DIGITS) -> HdrHistogram:
    return HdrHistogram(1, _MAX_UNITS, digits, b64_wrap=False)


def _convert(histogram: HdrHistogram, digits: int) -> HdrHistogram:
    """Returns a histogram of another precision.

    `HdrHistogram.add` does the same, but takes a millisecond as it reads each counter by itself.
    """
    converted = _empty_histogram(digits)
    for index, count in enumerate(histogram.counts[:]):
        if count:
            converted.record_value(histogram.get_value_from_index(index), count)
    return converted


def _add_up(reports: Iterable[_Report], now_s: float) -> _Sum:
    histogram = _empty_histogram()
    samples = 0.0
    window_s = _SLICE_S
    for report in reports:
        histogram.add(report.histogram)
        samples += report.recent_share(now_s) * report.histogram.get_total_count()
        window_s = max(window_s, report.window_s + now_s - report.received_s)
    return _Sum(histogram, samples, window_s, now_s)


def _recent_reports(
    table: dict[str, dict[int, _Report]], route: int, now_s: float
) -> Iterator[_Report]:
    for reports in table.values():
        report = reports.get(route)
        if report is not None and report.recent_share(now_s) > 0.0:
            yield report


def _drop_expired_slices(slices: deque[tuple[float, HdrHistogram]], now_s: float) -> None:
    while slices and now_s - slices[0][0] >= WINDOW_S:
        slices.popleft()


def _drop_expired_reports(table: dict[str, dict[int, _Report]], now_s: float) -> None:
    for sender, reports in list(table.items()):
        for route, report in list(reports.items()):
            if report.recent_share(now_s) <= 0.0:
                del reports[route]
        if not reports:
            del table[sender]


def _decode(data: bytes) -> HdrHistogram | None:
    """Returns the histogram that a peer has sent, or None if it is unusable.

    The library allocates memory as the head of the data says, so the head is checked first.
    """
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, _MAX_HISTOGRAM_BYTES)
        if not decompressor.eof or len(plain) < _HISTOGRAM_HEAD.size:
            return None
        _cookie, _size, _offset, digits, lowest, highest, _ratio = _HISTOGRAM_HEAD.unpack_from(
            plain
        )
        if digits not in (_DIGITS, _COARSE_DIGITS) or (lowest, highest) != (1, _MAX_UNITS):
            return None
        decoded = HdrHistogram.decode(data, b64_wrap=False)
    except _DECODE_ERRORS:
        return None
    if not 0 < decoded.get_total_count() <= _MAX_REPORTED_SAMPLES:
        return None
    # Histograms of equal precision are added up faster.
    return decoded if digits == _DIGITS else _convert(decoded, _DIGITS)
