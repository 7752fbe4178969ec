"""Stand-in for a model engine: streams a known answer at a set rate."""

import hashlib
import json
import threading
import time
import uuid
from collections.abc import Iterator

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.server import serve_routes
from tanagerworks.wsgi import Environ, Response, json_response, read_body


class EngineSettings(SettingsModel):
    """Settings of the engine stand-in."""

    address: str
    engine_id: str
    slots: int = 16
    threads: int = 128
    tokens_per_s: float = 50.0
    first_token_s: float = 0.05


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Returns the answer to a prompt, so a caller can check that it got its own."""
    seed = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{seed[:8]}-{number} " for number in range(count)]


class EngineStandin:
    """Routes of the engine stand-in."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.boot_id = uuid.uuid4().hex
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.running = 0
        self.max_running = 0
        self.overloaded_samples = 0
        self.requests = 0

    def handle(self, environ: Environ) -> Response:
        """Answers one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "POST" and path == "/v1/chat/completions":
            return self._complete(environ)
        if method == "GET" and path == "/v1/boot":
            return json_response({"boot_id": self.boot_id, "uptime_s": self._uptime_s()})
        if method == "GET" and path == "/v1/load":
            return json_response(
                {
                    "running": self.running,
                    "slots": self.settings.slots,
                    "uptime_s": self._uptime_s(),
                }
            )
        if method == "GET" and path == "/control/counters":
            return json_response(
                {
                    "requests": self.requests,
                    "max_running": self.max_running,
                    "overloaded_samples": self.overloaded_samples,
                }
            )
        return json_response({"error": {"code": "not_found"}}, 404)

    def _uptime_s(self) -> float:
        return time.monotonic() - self.started

    def _complete(self, environ: Environ) -> Response:
        document = json.loads(read_body(environ))
        prompt = json.dumps(document["messages"], sort_keys=True)
        tokens = expected_tokens(prompt, int(document.get("max_tokens", 16)))
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        headers = [("X-Request-Id", request_id), ("X-Engine-Boot", self.boot_id)]
        self._enter()
        pieces = self._generate(request_id, str(document["model"]), tokens)
        if document.get("stream"):
            return Response(200, [("Content-Type", "text/event-stream"), *headers], pieces)
        for _piece in pieces:
            continue
        body = {
            "id": request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": document["model"],
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(tokens)},
                    "finish_reason": "stop",
                }
            ],
            "usage": {
                "prompt_tokens": len(prompt) // 4,
                "completion_tokens": len(tokens),
                "total_tokens": len(prompt) // 4 + len(tokens),
            },
        }
        return json_response(body, headers=headers)

    def _enter(self) -> None:
        with self.lock:
            self.requests += 1
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            if self.running > self.settings.slots:
                self.overloaded_samples += 1

    def _generate(self, request_id: str, model: str, tokens: list[str]) -> Iterator[bytes]:
        try:
            time.sleep(self.settings.first_token_s)
            for number, token in enumerate(tokens):
                if number:
                    time.sleep(1.0 / self.settings.tokens_per_s)
                yield _event(request_id, model, {"content": token}, None)
            yield _event(request_id, model, {}, "stop")
            yield b"data: [DONE]\n\n"
        finally:
            with self.lock:
                self.running -= 1


def _event(request_id: str, model: str, delta: dict[str, str], finish: str | None) -> bytes:
    document = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"


def serve_engine(settings: EngineSettings) -> int:
    """Serves until a signal; returns the exit status."""
    return serve_routes(settings.address, EngineStandin(settings).handle, threads=settings.threads)
