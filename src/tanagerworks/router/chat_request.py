"""The value that goes through the stages of the router."""

import socket
from dataclasses import dataclass, field
from typing import Any

from tanagerworks.note.index import NoteIndex
from tanagerworks.note.model import Customer, Engine
from tanagerworks.router.held_slots import Grant
from tanagerworks.router.view import RouterView
from tanagerworks.wsgi import Response


@dataclass
class ChatRequest:
    """One chat completion request and what the stages found out about it."""

    request_id: str
    authorization: str
    chat_key_header: str
    body: bytes
    # The caller's connection, watched for its end; None if there is none to watch.
    caller_socket: socket.socket | None = None
    document: dict[str, Any] = field(default_factory=dict)
    view: RouterView | None = None
    index: NoteIndex | None = None
    customer_name: str = ""
    customer: Customer | None = None
    chat_key: str = ""
    chat_hash: int = 0
    model: str = ""
    version: str = ""
    # Engine ids, the chat's first choice first.
    ranked_engine_ids: list[str] = field(default_factory=list)
    # The engine that ranking alone prefers.
    first_choice: str = ""
    # Time on time.monotonic until which the request may be started at an engine.
    deadline_s: float = 0.0
    grant: Grant | None = None
    engine: Engine | None = None
    response: Response | None = None

    @property
    def streamed(self) -> bool:
        """Whether the caller wants server-sent events."""
        return self.document.get("stream") is True

    @property
    def prompt_tokens(self) -> float:
        """Rough size of the prompt; a token is about four bytes."""
        return len(self.body) / 4
