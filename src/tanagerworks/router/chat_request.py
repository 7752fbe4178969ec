"""The state of a chat request, which the pipeline stages fill in."""

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
    """One chat completion request and the results of the pipeline stages."""

    request_id: str
    authorization: str
    chat_key_header: str
    body: bytes
    # The caller's connection, watched for a disconnect; None if there is none.
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
    # In the order in which a slot is claimed.
    ranked_engine_ids: list[str] = field(default_factory=list)
    # First engine of the ranking alone, without overrides.
    first_choice: str = ""
    # On the clock time.monotonic; the request must be sent to an engine before it.
    deadline_s: float = 0.0
    grant: Grant | None = None
    engine: Engine | None = None
    response: Response | None = None

    @property
    def streamed(self) -> bool:
        """Whether the caller asked for server-sent events."""
        return self.document.get("stream") is True

    @property
    def prompt_tokens(self) -> float:
        """Estimated size of the prompt at four bytes per token."""
        return len(self.body) / 4
