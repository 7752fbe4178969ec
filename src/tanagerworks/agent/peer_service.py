"""Serves the agents of the other nodes over gRPC."""

import asyncio
from collections.abc import Callable

import grpc
from grpc.aio import ServicerContext
from grpc.aio import server as create_grpc_server

from tanagerworks.agent.gossip import Gossip
from tanagerworks.agent.note_keeper import NoteKeeper
from tanagerworks.agent.peer_channels import CHANNEL_OPTIONS
from tanagerworks.agent.slot_lending import SlotLending
from tanagerworks.agent.state import AgentState
from tanagerworks.errors import PeerError
from tanagerworks.rpc.tanager_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    FetchNoteReply,
    FetchNoteRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import (
    PeerExchangeServicer,
    add_PeerExchangeServicer_to_server,
)
from tanagerworks.tls.peer_credentials import PeerCredentials

_SAN_PROPERTY = "x509_subject_alternative_name"


class PeerService(SlotLending):
    """Server of the peer exchange.

    `on_newer_note` is called with the name of a peer whose note has a higher serial, and with the
    address that the peer sent, if any.
    """

    def __init__(
        self,
        state: AgentState,
        gossip: Gossip,
        note_keeper: NoteKeeper,
        *,
        on_newer_note: Callable[[str, str], None],
    ) -> None:
        super().__init__(state)
        self.gossip = gossip
        self.note_keeper = note_keeper
        self.on_newer_note = on_newer_note

    async def Exchange(  # noqa: N802 - the name is fixed by the gRPC service
        self, request: ExchangeRequest, context: ServicerContext
    ) -> ExchangeReply:
        """Merges the peer's entries and returns those that it lacks."""
        reply = self.gossip.handle_request(request)
        # A note can be fetched before it is in force, so its serial is sent already.
        reply.note_serial = self.note_keeper.serial
        if not request.survey:
            self.state.record_contact()
            if request.note_serial > self.note_keeper.serial:
                self.on_newer_note(request.sender, request.sender_address)
        return reply

    async def FetchNote(  # noqa: N802
        self, request: FetchNoteRequest, context: ServicerContext
    ) -> FetchNoteReply:
        """Returns the newest note if its serial is above `above_serial`."""
        if self.note_keeper.serial <= request.above_serial:
            return FetchNoteReply(serial=self.note_keeper.serial)
        return FetchNoteReply(
            serial=self.note_keeper.serial, packed_note=self.note_keeper.pack_note()
        )


class PeerNameCheck(grpc.aio.ServerInterceptor):
    """Refuses callers whose certificate does not carry the name that all nodes share.

    The certificate authority may also sign certificates for other purposes.
    """

    def __init__(self, server_name: str) -> None:
        self.server_name = server_name.encode()

    async def intercept_service(  # noqa: D102 - documented by the base class
        self, continuation: Callable, details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler:
        handler = await continuation(details)
        if handler is None or handler.unary_unary is None:
            return handler
        serve = handler.unary_unary

        async def checked(request: object, context: ServicerContext) -> object:
            names = context.auth_context().get(_SAN_PROPERTY, ())
            if self.server_name not in names:
                await context.abort(
                    grpc.StatusCode.PERMISSION_DENIED, "the certificate is not that of a node"
                )
            return await serve(request, context)

        return grpc.unary_unary_rpc_method_handler(
            checked,
            request_deserializer=handler.request_deserializer,
            response_serializer=handler.response_serializer,
        )


async def start_peer_server(
    service: PeerExchangeServicer,
    address: str,
    credentials: PeerCredentials | None,
    max_connection_s: float,
) -> grpc.aio.Server:
    """Starts the gRPC server for peers; without credentials it uses plain text.

    Raises:
        PeerError: the address cannot be bound.
    """
    options = [
        *CHANNEL_OPTIONS,
        ("grpc.so_reuseport", 0),
        ("grpc.max_connection_age_ms", int(max_connection_s * 1000)),
        ("grpc.max_connection_age_grace_ms", 5000),
    ]
    interceptors = []
    if credentials is not None:
        interceptors.append(PeerNameCheck(credentials.settings.server_name))
    server = create_grpc_server(options=options, interceptors=interceptors)
    add_PeerExchangeServicer_to_server(service, server)
    try:
        if credentials is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, credentials.server_credentials())
    except RuntimeError as error:
        raise PeerError(f"cannot listen at {address}") from error
    await server.start()
    return server


async def watch_credentials(
    credentials: PeerCredentials, on_change: Callable[[], None], period_s: float = 1.0
) -> None:
    """Reloads key material when its files change, and calls `on_change`; runs until cancelled."""
    while True:
        await asyncio.sleep(period_s)
        if credentials.reload_if_changed():
            on_change()
