"""gRPC channels of an agent to its peers: few and long-lived, with mutual TLS if configured."""

import asyncio
from collections import OrderedDict

import grpc
from grpc.aio import Channel, insecure_channel, secure_channel

from tanagerworks.note.model import MAX_CANONICAL_BYTES
from tanagerworks.rpc.tanager_pb2_grpc import PeerExchangeStub
from tanagerworks.tls.peer_credentials import PeerCredentials

# The gossip needs a few channels; others are used to borrow slots, for example.
_MAX_CHANNELS = 48
_MESSAGE_BYTES = MAX_CANONICAL_BYTES + 100_000

# Probing the bandwidth-delay product adds a ping to every message, which costs bytes and has no
# benefit for messages of a few hundred bytes.
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", _MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MESSAGE_BYTES),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 3000),
]


class PeerChannels:
    """Channels by peer address; above a limit, the least recently used one is closed."""

    def __init__(self, credentials: PeerCredentials | None) -> None:
        self.credentials = credentials
        self.generation = credentials.generation if credentials else 0
        self.channels: OrderedDict[str, Channel] = OrderedDict()
        self.closing: set[asyncio.Task[None]] = set()

    def stub(self, address: str) -> PeerExchangeStub:
        """Returns the stub of the peer at `address`; connects on first use."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self.channels[address] = channel
            while len(self.channels) > _MAX_CHANNELS:
                self._close_channel(next(iter(self.channels)))
        self.channels.move_to_end(address)
        return PeerExchangeStub(channel)

    def _open_channel(self, address: str) -> Channel:
        if self.credentials is None:
            return insecure_channel(address, options=CHANNEL_OPTIONS)
        # Peers differ by address, but their certificates carry one name that all nodes share.
        name = self.credentials.settings.server_name
        options = [*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", name)]
        return secure_channel(address, self.credentials.channel_credentials(), options=options)

    def close_outdated_channels(self) -> None:
        """Closes all channels if they were opened with previous key material."""
        if self.credentials is None or self.credentials.generation == self.generation:
            return
        self.generation = self.credentials.generation
        for address in list(self.channels):
            self._close_channel(address)

    def close_if_open(self, address: str) -> None:
        """Closes the channel to `address`, if there is one."""
        if address in self.channels:
            self._close_channel(address)

    def _close_channel(self, address: str) -> None:
        channel = self.channels.pop(address)
        # The grace period lets calls in progress finish.
        task = asyncio.get_running_loop().create_task(channel.close(grace=2.0))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            await channel.close()
        self.channels.clear()


def status_name(error: grpc.RpcError) -> str:
    """Returns the gRPC status name of a failed call, or its error's class name without a status."""
    code = getattr(error, "code", None)
    return code().name if code else type(error).__name__
