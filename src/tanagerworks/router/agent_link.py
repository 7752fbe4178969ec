"""Link of a router to the agent on its VM."""

import json
import logging
import threading
import uuid
from dataclasses import dataclass, field

import grpc

from tanagerworks.clock import boot_time_s
from tanagerworks.errors import NotReadyError
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import (
    ClaimReply,
    ClaimRequest,
    Ended,
    ReleaseRequest,
    View,
    WatchRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub

_LOGGER = logging.getLogger(__name__)
_RECONNECT_S = 0.2


@dataclass
class RouterView:
    """What the router knows of the fleet, and when it learnt it."""

    note: Note | None = None
    eligible: dict[str, bool] = field(default_factory=dict)
    draining: bool = False
    received_at_s: float = 0.0


class AgentLink:
    """Keeps the newest view of the agent and asks it for slots."""

    def __init__(self, router_id: str, agent_address: str, forward_address: str) -> None:
        self.router_id = router_id
        self.instance_id = uuid.uuid4().hex
        self.forward_address = forward_address
        self.channel = grpc.insecure_channel(agent_address)
        self.stub = NodeAgentStub(self.channel)
        self.view = RouterView()
        self.releases: set[grpc.Future] = set()
        self.stopping = threading.Event()
        self.watcher = threading.Thread(target=self._watch, name="agent-watch", daemon=True)

    def start(self) -> None:
        """Starts to follow the agent's views."""
        self.watcher.start()

    def stop(self) -> None:
        """Ends the link."""
        self.stopping.set()
        self.channel.close()

    def _watch(self) -> None:
        while not self.stopping.is_set():
            serial = self.view.note.serial if self.view.note else 0
            request = WatchRequest(
                router_id=self.router_id,
                instance_id=self.instance_id,
                forward_address=self.forward_address,
                note_serial=serial,
            )
            try:
                for view in self.stub.Watch(request):
                    self._take(view)
            except grpc.RpcError as error:
                if not self.stopping.is_set():
                    _LOGGER.warning("lost the node agent", extra={"code": str(error.code())})
            self.stopping.wait(_RECONNECT_S)

    def _take(self, view: View) -> None:
        note = self.view.note
        if view.note:
            note = Note.model_validate(json.loads(view.note))
        self.view = RouterView(
            note=note,
            eligible={engine.engine_id: engine.eligible for engine in view.engines},
            draining=view.draining,
            received_at_s=boot_time_s(),
        )

    def claim(self, request: ClaimRequest, timeout_s: float) -> ClaimReply:
        """Asks the agent for a slot.

        Raises:
            NotReadyError: the agent did not answer.
        """
        request.router_id = self.router_id
        request.instance_id = self.instance_id
        try:
            return self.stub.Claim(request, timeout=timeout_s)
        except grpc.RpcError as error:
            raise NotReadyError("the node agent does not answer") from error

    def release(self, ended: Ended) -> None:
        """Tells the agent that a slot is free again."""
        request = ReleaseRequest(
            router_id=self.router_id, instance_id=self.instance_id, ended=[ended]
        )
        call = self.stub.Release.future(request)
        # gRPC cancels a call whose future is collected, and the slot would stay in use.
        self.releases.add(call)
        call.add_done_callback(self.releases.discard)
