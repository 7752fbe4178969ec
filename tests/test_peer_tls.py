"""Mutual TLS between nodes: which peers may exchange state and notes."""

import asyncio
from random import Random

import grpc
import pytest

from tanagerworks.agent.gossip import Gossip
from tanagerworks.agent.note_keeper import NoteKeeper
from tanagerworks.agent.peer_channels import CHANNEL_OPTIONS, PeerChannels
from tanagerworks.agent.peer_service import PeerService, start_peer_server
from tanagerworks.agent.state import AgentState
from tanagerworks.errors import TlsError
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import ExchangeRequest, FetchNoteRequest, NodeEntry
from tanagerworks.rpc.tanager_pb2_grpc import PeerExchangeStub
from tanagerworks.tls.peer_credentials import PeerCredentials
from tests.builders import note_document
from tools.certificates import NODE_NAME, CertificateAuthority, write_tls_files
from tools.fleet import free_address


class _Node:
    """The peer service of a node that has a note."""

    def __init__(self, credentials):
        self.credentials = credentials
        self.address = free_address()
        state = AgentState("n1")
        self.table = NodeTable("n1", 1, Random(1))
        gossip = Gossip(
            self.table,
            state.clock,
            max_entry_bytes=700,
            fill_entry=lambda entry: None,
            apply_entry=lambda entry: None,
            forget_node=lambda name: None,
        )
        note_keeper = NoteKeeper(lambda note, source: None)
        note_keeper.submit_note(Note.model_validate(note_document(7)), "test")
        self.service = PeerService(
            state, gossip, note_keeper, on_newer_note=lambda peer, address: None
        )

    async def __aenter__(self):
        self.server = await start_peer_server(self.service, self.address, self.credentials, 60.0)
        return self

    async def __aexit__(self, *error):
        await self.server.stop(0)


async def _exchange_and_fetch(stub):
    """Sends a membership entry and fetches the note; returns its serial, 0 if there is none."""
    entry = NodeEntry(node_id="n2", incarnation=1, heartbeat=1)
    await stub.Exchange(ExchangeRequest(sender="n2", entries=[entry]), timeout=5)
    reply = await stub.FetchNote(FetchNoteRequest(sender="n2"), timeout=5)
    return reply.serial if reply.packed_note else 0


async def _exchange_as_peer(credentials, address):
    channels = PeerChannels(credentials)
    try:
        return await _exchange_and_fetch(channels.stub(address))
    finally:
        await channels.close()


async def _exchange_with_certificate(address, key, chain, authorities):
    options = [*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", NODE_NAME)]
    credentials = grpc.ssl_channel_credentials(authorities, key, chain)
    async with grpc.aio.secure_channel(address, credentials, options=options) as channel:
        return await _exchange_and_fetch(PeerExchangeStub(channel))


def test_only_nodes_of_the_fleet_are_served(tmp_path):
    """Guards against serving a peer with an untrusted, expired, unsuitable or no certificate."""
    fleet, foreign = CertificateAuthority(), CertificateAuthority()
    own = PeerCredentials(write_tls_files(tmp_path / "own", fleet.issue_certificate(), [fleet]))
    peer = PeerCredentials(write_tls_files(tmp_path / "peer", fleet.issue_certificate(), [fleet]))
    refused = {
        "foreign": foreign.issue_certificate(),
        "expired": fleet.issue_certificate(days=-1),
        "other purpose": fleet.issue_certificate(name="mail.example"),
        "absent": (None, None),
    }

    async def check():
        async with _Node(own) as node:
            for name, (key, chain) in refused.items():
                with pytest.raises(grpc.RpcError):
                    await _exchange_with_certificate(node.address, key, chain, fleet.pem)
                assert not node.table.members, name
            plain = PeerChannels(None)
            with pytest.raises(grpc.RpcError):
                await _exchange_and_fetch(plain.stub(node.address))
            await plain.close()
            assert not node.table.members
            assert await _exchange_as_peer(peer, node.address) == 7
            assert set(node.table.members) == {"n2"}

    asyncio.run(check())


@pytest.mark.parametrize("kind", ["foreign", "other purpose", "plain"])
def test_note_of_an_untrusted_server_is_refused(tmp_path, kind):
    """Guards against a node that accepts a note from a server that is no node of the fleet."""
    fleet, foreign = CertificateAuthority(), CertificateAuthority()
    own = PeerCredentials(write_tls_files(tmp_path / "own", fleet.issue_certificate(), [fleet]))
    untrusted = None
    if kind != "plain":
        issued = (
            foreign.issue_certificate()
            if kind == "foreign"
            else fleet.issue_certificate(name="mail.example")
        )
        untrusted = PeerCredentials(write_tls_files(tmp_path / "false", issued, [fleet, foreign]))

    async def check():
        async with _Node(untrusted) as node:
            with pytest.raises(grpc.RpcError):
                await _exchange_as_peer(own, node.address)
            assert not node.table.members

    asyncio.run(check())


def test_both_keys_are_valid_during_a_rotation(tmp_path):
    """Guards against a rotation that partitions nodes, and an old key that stays valid."""
    old, new = CertificateAuthority("old"), CertificateAuthority("new")
    files = write_tls_files(tmp_path / "own", old.issue_certificate(), [old])
    own = PeerCredentials(files)
    on_old = PeerCredentials(write_tls_files(tmp_path / "old", old.issue_certificate(), [old, new]))
    on_new = PeerCredentials(write_tls_files(tmp_path / "new", new.issue_certificate(), [old, new]))

    async def check():
        async with _Node(own) as node:
            assert await _exchange_as_peer(on_old, node.address) == 7
            with pytest.raises(grpc.RpcError):
                await _exchange_as_peer(on_new, node.address)
            write_tls_files(tmp_path / "own", old.issue_certificate(), [old, new])
            assert own.reload_if_changed()
            assert await _exchange_as_peer(on_old, node.address) == 7
            assert await _exchange_as_peer(on_new, node.address) == 7
            write_tls_files(tmp_path / "own", new.issue_certificate(), [new])
            assert own.reload_if_changed()
            with pytest.raises(grpc.RpcError):
                await _exchange_as_peer(on_old, node.address)
            assert await _exchange_as_peer(on_new, node.address) == 7

    asyncio.run(check())


def test_channels_are_renewed_with_new_key_material(tmp_path):
    """Guards against connections that continue to use a replaced key."""
    fleet = CertificateAuthority()
    own = PeerCredentials(write_tls_files(tmp_path / "own", fleet.issue_certificate(), [fleet]))
    peer = PeerCredentials(write_tls_files(tmp_path / "peer", fleet.issue_certificate(), [fleet]))

    async def check():
        async with _Node(own) as node:
            channels = PeerChannels(peer)
            assert await _exchange_and_fetch(channels.stub(node.address)) == 7
            before = channels.channels[node.address]
            channels.close_outdated_channels()
            assert channels.channels[node.address] is before
            write_tls_files(tmp_path / "peer", fleet.issue_certificate(), [fleet])
            assert peer.reload_if_changed()
            channels.close_outdated_channels()
            assert not channels.channels
            assert await _exchange_and_fetch(channels.stub(node.address)) == 7
            await channels.close()

    asyncio.run(check())


def test_files_that_do_not_match_are_refused(tmp_path):
    """Guards against using a key and a certificate that do not match.

    Files are replaced one after the other, so a process may start or reload in between.
    """
    fleet = CertificateAuthority()
    key, certificate = fleet.issue_certificate()
    good = write_tls_files(tmp_path / "own", (key, certificate), [fleet])
    credentials = PeerCredentials(good)
    for issued in (
        (fleet.issue_certificate()[0], certificate),
        (b"no key", certificate),
        (key, b"no certificate"),
        fleet.issue_certificate(days=-1),
    ):
        write_tls_files(tmp_path / "own", issued, [fleet])
        assert not credentials.reload_if_changed()
        with pytest.raises(TlsError):
            PeerCredentials(good)
    assert credentials.material.key == key
    write_tls_files(tmp_path / "own", fleet.issue_certificate(), [fleet])
    assert credentials.reload_if_changed()
