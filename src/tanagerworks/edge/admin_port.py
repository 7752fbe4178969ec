"""Administration address of an edge process: checks keys and answers ``POST /route``."""

import asyncio
import hashlib
import hmac
import json
import logging
import re
from pathlib import Path

from pydantic import ValidationError

from tanagerworks.edge.http_messages import RequestHead
from tanagerworks.edge.http_server import HttpServer, Responder
from tanagerworks.edge.memory_budget import MemoryBudget
from tanagerworks.edge.route_explanation import RouteExplainer
from tanagerworks.errors import (
    AuthenticationError,
    NotFoundError,
    RequestError,
    SettingsError,
    TanagerError,
)
from tanagerworks.published.model import CallerLimits
from tanagerworks.rpc.route_models import RouteQuestion

_LOGGER = logging.getLogger(__name__)

_MAX_BODY_BYTES = 65_536
_MAX_CONNECTIONS = 4
_MEMORY_BYTES = 2_000_000
# During a rotation the old and the new key are valid.
_MAX_KEYS = 2
_DIGEST = re.compile(r"[0-9a-f]{64}")
_BEARER = b"Bearer "
# Calls with a wrong key are logged at most once in this time.
_REFUSAL_LOG_INTERVAL_S = 1.0
_JSON = [(b"content-type", b"application/json")]


def read_key_digests(path: str) -> tuple[str, ...]:
    """Returns the SHA-256 digests of the keys in a file, one on each line.

    Raises:
        SettingsError: the file cannot be read or holds anything else.
    """
    try:
        digests = tuple(Path(path).read_text(encoding="utf-8").split())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "", f"cannot be read: {error}") from error
    if not 1 <= len(digests) <= _MAX_KEYS:
        raise SettingsError(path, "", f"must hold one to {_MAX_KEYS} SHA-256 digests")
    if not all(_DIGEST.fullmatch(digest) for digest in digests):
        raise SettingsError(path, "", "a line is no SHA-256 digest in lower-case hexadecimal")
    return digests


class AdminPort:
    """Handles calls of operators.

    A call is answered within one turn of the event loop, so there is one at a time.
    """

    def __init__(self, explainer: RouteExplainer, digests: tuple[str, ...]) -> None:
        self.explainer = explainer
        self.digests = digests
        self.refusal_logged_s = float("-inf")

    def create_server(self) -> HttpServer:
        """Returns a server for the calls, with its own bounds on bodies and connections."""
        return HttpServer(
            self.handle_call,
            lambda: CallerLimits(max_body_bytes=_MAX_BODY_BYTES),
            MemoryBudget(_MEMORY_BYTES),
            _MAX_CONNECTIONS,
        )

    async def handle_call(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Answers one call; errors are answered with their status and code."""
        try:
            answer = self._answer(head, body)
        except TanagerError as error:
            detail = {
                "message": error.message,
                "type": type(error).__name__,
                "code": error.code,
                "outcome": error.outcome.value,
            }
            responder.send_response(error.status, _JSON, json.dumps({"error": detail}).encode())
            return
        responder.send_response(200, _JSON, answer)

    def _answer(self, head: RequestHead, body: bytes) -> bytes:
        self._check_key(head)
        if (head.method, head.target) != (b"POST", b"/route"):
            raise NotFoundError("only POST /route is answered here")
        try:
            question = RouteQuestion.model_validate_json(body)
        except ValidationError as error:
            first = error.errors(include_input=False, include_url=False)[0]
            place = ".".join(str(part) for part in first["loc"])
            raise RequestError(f"{place or '(document)'}: {first['msg']}") from error
        answer = self.explainer.explain(question, asyncio.get_running_loop().time())
        _LOGGER.info(
            "route explained",
            extra={"route": answer.route, "server": answer.server, "outcome": answer.placement},
        )
        return answer.model_dump_json().encode()

    def _check_key(self, head: RequestHead) -> None:
        """Raises AuthenticationError unless the call has one of the keys."""
        authorization = head.get(b"authorization") or b""
        digest = hashlib.sha256(authorization.removeprefix(_BEARER)).hexdigest()
        # All keys are compared, so that the response time does not reveal which one matched.
        matches = [hmac.compare_digest(known, digest) for known in self.digests]
        if authorization.startswith(_BEARER) and any(matches):
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self.refusal_logged_s >= _REFUSAL_LOG_INTERVAL_S:
            self.refusal_logged_s = now_s
            _LOGGER.warning("administration call refused", extra={"reason": "wrong key"})
        raise AuthenticationError("the administration key is not valid")
