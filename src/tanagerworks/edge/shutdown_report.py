"""What the log line of a request's end says about the shutdown of the node."""

from tanagerworks.dispatch.shutdown import Expectation, RequestFate, Shutdown
from tanagerworks.edge.request_state import RequestState
from tanagerworks.errors import CallerLeftError, StoppingError, TanagerError

# Result of a request that is still in progress when the process exits.
PROCESS_EXIT = "process_exit"


def find_fate(shutdown: Shutdown, result: str, now_s: float) -> RequestFate:
    """Returns what became of a request that ends at `now_s` (event loop time).

    `result` is "answered", `PROCESS_EXIT` or the code of an error.
    """
    if result == "answered":
        return RequestFate.ANSWERED
    if result == StoppingError.code:
        return RequestFate.REFUSED
    if result == CallerLeftError.code:
        return RequestFate.CALLER_LEFT
    if result == PROCESS_EXIT or now_s >= shutdown.deadline_s:
        return RequestFate.CUT
    return RequestFate.FAILED


def describe_shutdown(
    shutdown: Shutdown,
    request: RequestState | None,
    error: TanagerError | None,
    arrived_s: float,
    now_s: float,
) -> dict[str, object]:
    """Returns the fields on when a request came and ended, and how long it was assumed to take.

    The request came at `arrived_s` and ends at `now_s` (event loop times). The fields are in
    milliseconds, for times after the stop signal, negative before it. What was assumed of a
    request is known only if it was not sent before the signal.
    """
    described: dict[str, object] = {
        "came_after_signal_ms": to_milliseconds(arrived_s - shutdown.signalled_s),
        "ended_after_signal_ms": to_milliseconds(now_s - shutdown.signalled_s),
    }
    expectation = request.expectation if request is not None else None
    if isinstance(error, StoppingError):
        described["route"] = error.route
        expectation = Expectation(error.needed_s, error.samples)
    if expectation is not None:
        described["expected_ms"] = to_milliseconds(expectation.needed_s)
        described["expected_from"] = expectation.samples
    return described


def to_milliseconds(seconds: float | None) -> float | None:
    """Returns a time for a log record, to a tenth of a millisecond; None for None."""
    return round(seconds * 1000, 1) if seconds is not None else None
