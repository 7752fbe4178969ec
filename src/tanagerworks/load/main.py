"""Command line of ``tanager-load``."""

import json
import sys
import time
from dataclasses import dataclass

from absl import flags
from hdrh.histogram import HdrHistogram
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from tanagerworks.program import EXIT_FAILED, EXIT_OK, EXIT_USAGE, CommandLine

_DESCRIPTION = """Load and experiment tool: sends chat requests and prints one JSON object.

Usage: tanager-load --url=URL --key=KEY --model=NAME [--requests=N]"""

_MAX_MICROSECONDS = 600_000_000


@dataclass
class ChatResult:
    """What a caller got for one request."""

    whole: bool
    seconds: float


def send_chat(pool: PoolManager, url: str, key: str, model: str, text: str) -> ChatResult:
    """Sends one streamed chat request and reads the answer to its end."""
    body = {"model": model, "stream": True, "messages": [{"role": "user", "content": text}]}
    started = time.monotonic()
    try:
        answer = pool.request(
            "POST",
            f"{url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
            retries=False,
        )
    except HTTPError:
        return ChatResult(False, time.monotonic() - started)
    whole = answer.status == 200 and answer.data.endswith(b"data: [DONE]\n\n")
    return ChatResult(whole, time.monotonic() - started)


def run() -> None:
    """Runs the load that the command line describes."""
    command_line = CommandLine("tanager-load", _DESCRIPTION)
    values = command_line.flag_values
    flags.DEFINE_string("url", None, "Address of a router.", flag_values=values)
    flags.DEFINE_string("key", None, "Bearer key of a customer.", flag_values=values)
    flags.DEFINE_string("model", None, "Model to ask.", flag_values=values)
    flags.DEFINE_integer("requests", 10, "Number of requests.", 1, flag_values=values)
    command_line.parse()
    url, key, model = values["url"].value, values["key"].value, values["model"].value
    if not (url and key and model):
        print("tanager-load: --url, --key and --model are required", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    requests = int(values["requests"].value or 0)
    histogram = HdrHistogram(1, _MAX_MICROSECONDS, 3)
    pool = PoolManager()
    whole_answers = 0
    for number in range(requests):
        result = send_chat(pool, url, key, model, f"question {number}")
        whole_answers += result.whole
        histogram.record_value(max(1, int(result.seconds * 1e6)))
    report = {
        "requests": requests,
        "whole_answers": whole_answers,
        "p95_ms": histogram.get_value_at_percentile(95) / 1000,
    }
    print(json.dumps(report))
    sys.exit(EXIT_OK if whole_answers == requests else EXIT_FAILED)
