"""The router's view of the fleet: the indexed note and the newest view from the agent."""

from dataclasses import dataclass, field
from typing import Protocol

from tanagerworks.errors import NotReadyError
from tanagerworks.note.index import NoteIndex
from tanagerworks.note.model import Note, ServiceServer, ZoneState
from tanagerworks.rpc.tanager_pb2 import View


@dataclass(frozen=True)
class RouterView:
    """An immutable view; `known_at_s` is on CLOCK_BOOTTIME of the VM."""

    index: NoteIndex | None = None
    eligible: frozenset[str] = frozenset()
    # Addresses of the servers that may receive new work, by service; for a service without an
    # entry the note alone decides.
    service_addresses: dict[str, frozenset[str]] = field(default_factory=dict)
    instances: dict[str, str] = field(default_factory=dict)
    # Placement overrides: engine by chat hash, for chats whose first choice does not serve them.
    exceptions: dict[int, str] = field(default_factory=dict)
    ready: bool = False
    draining: bool = False
    known_at_s: float = float("-inf")

    def require_index(self) -> NoteIndex:
        """Returns the index of the note in force.

        Raises:
            NotReadyError: no note is in force.
        """
        if self.index is None:
            raise NotReadyError("no release note is in force")
        return self.index

    def service_servers(self, service_name: str) -> dict[str, ServiceServer]:
        """Returns the servers of a service that may receive new work."""
        statement = self.require_index().note.statement
        service = statement.services.get(service_name)
        if service is None:
            return {}
        listed = self.service_addresses.get(service_name)
        return {
            name: server
            for name, server in service.servers.items()
            if statement.zones[server.zone].state is ZoneState.IN
            and (listed is None or server.address in listed)
        }


class ViewSource(Protocol):
    """Source of the newest view, such as the link to the node agent."""

    view: RouterView

    def fresh_view(self) -> RouterView:
        """Returns a view that is recent enough to send a request.

        Raises:
            NotReadyError: there is none.
        """


def apply_view_message(message: View, previous: RouterView, received_at_s: float) -> RouterView:
    """Returns the view in a message from the agent; messages hold the note only if it is new."""
    index = previous.index
    # A restarted agent may not have received the newest note yet; a note in force never reverts.
    known_serial = index.note.serial if index is not None else 0
    if message.note and message.note_serial > known_serial:
        index = NoteIndex(Note.model_validate_json(message.note))
    # The agent runs on this VM, so its boot clock is comparable. With the time of receipt alone,
    # a view that waited in a buffer while this process was paused would seem new.
    known_at_s = received_at_s
    if message.sent_at_boot_s:
        known_at_s = min(received_at_s, message.sent_at_boot_s)
    return RouterView(
        index=index,
        eligible=frozenset(item.engine_id for item in message.engines if item.eligible),
        service_addresses={item.service: frozenset(item.addresses) for item in message.services},
        instances={item.instance_id: item.address for item in message.instances},
        exceptions={item.chat_hash: item.engine_id for item in message.exceptions},
        ready=message.ready,
        draining=message.draining,
        known_at_s=known_at_s,
    )
