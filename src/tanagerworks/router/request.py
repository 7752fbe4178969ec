"""The value that goes through the stages of the router."""

from dataclasses import dataclass, field
from typing import Any

from tanagerworks.note.model import Customer, Engine, Note
from tanagerworks.rpc.tanager_pb2 import ClaimReply
from tanagerworks.wsgi import Response


@dataclass
class ChatRequest:
    """One chat completion request and what the stages found out about it."""

    request_id: str
    authorization: str
    chat_key_header: str
    body: bytes
    document: dict[str, Any] = field(default_factory=dict)
    note: Note | None = None
    customer_name: str = ""
    customer: Customer | None = None
    model_name: str = ""
    chat_key: str = ""
    ranked: list[str] = field(default_factory=list)
    claim: ClaimReply | None = None
    engine: Engine | None = None
    response: Response | None = None

    @property
    def streamed(self) -> bool:
        """Whether the caller wants server-sent events."""
        return bool(self.document.get("stream"))
