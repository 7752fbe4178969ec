"""Client of the peer exchange: survey of peers at the start, gossip, announcement of the stop."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import grpc

from tanagerworks.agent.gossip import Gossip
from tanagerworks.agent.note_keeper import NoteKeeper
from tanagerworks.agent.peer_channels import PeerChannels, status_name
from tanagerworks.errors import PeerError
from tanagerworks.membership.entries import Liveness, next_incarnation
from tanagerworks.membership.peer_selection import PeerRotation, select_peers
from tanagerworks.rpc.tanager_pb2 import ExchangeReply, ExchangeRequest, FetchNoteRequest

_LOGGER = logging.getLogger(__name__)

_MAX_EXCHANGES = 4
_MAX_SURVEYS = 4
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 5.0
# Waits for the platform's delta first, which is smaller than the full note of a peer.
_PEER_FETCH_DELAY_S = 1.0
_FETCH_TIMEOUT_S = 5.0
_FORGET_PERIOD_S = 60.0


@dataclass(frozen=True)
class SurveyAnswer:
    """A peer's record of this node's earlier processes."""

    peer: str
    highest_incarnation: int
    unclean_predecessor: bool


class PeerExchangeClient:
    """Starts exchanges with peers; used on the event loop only.

    `on_contact` is called after every answered exchange. `platform_is_reachable` returns whether
    the platform answered this node recently.
    """

    def __init__(
        self,
        gossip: Gossip,
        note_keeper: NoteKeeper,
        peer_channels: PeerChannels,
        random: Random,
        *,
        own_address: str,
        seeds: Sequence[str],
        period_s: float,
        timeout_s: float,
        on_contact: Callable[[], None],
        platform_is_reachable: Callable[[], bool],
    ) -> None:
        self.gossip = gossip
        self.note_keeper = note_keeper
        self.peer_channels = peer_channels
        self.random = random
        self.own_address = own_address
        self.seeds = seeds
        self.period_s = period_s
        self.timeout_s = timeout_s
        self.on_contact = on_contact
        self.platform_is_reachable = platform_is_reachable
        self.rotation = PeerRotation(random)
        # Peers whose last reply showed that they have no note.
        self.peers_without_note: set[str] = set()
        self.exchange_tasks: set[asyncio.Task[None]] = set()
        self.fetch_task: asyncio.Task[None] | None = None
        self.exchanges = 0
        self.failures = 0

    # Start.

    async def survey_seeds(self, timeout_s: float) -> list[SurveyAnswer]:
        """Surveys all seed peers, fetches their newest note and sets this node's incarnation.

        The incarnation is raised above the highest one of this node that the seed peers report.
        Returns the answers that arrived within `timeout_s`.
        """
        tasks = [asyncio.create_task(self._survey_seed_until_answered(seed)) for seed in self.seeds]
        if not tasks:
            return []
        done, late = await asyncio.wait(tasks, timeout=timeout_s)
        for task in late:
            task.cancel()
        answers = [task.result() for task in done]
        if late:
            _LOGGER.warning("seed peers did not answer", extra={"missing": len(late)})
        own = self.gossip.table.own_entry.incarnation
        highest = max((answer.highest_incarnation for answer in answers), default=0)
        self.gossip.table.raise_incarnation(next_incarnation(own, highest))
        return answers

    async def _survey_seed_until_answered(self, seed: str) -> SurveyAnswer:
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                return await self._survey_seed(seed)
            except PeerError:
                await asyncio.sleep(retry_s * self.random.uniform(0.5, 1.0))
                retry_s = min(2 * retry_s, 1.0)

    async def _survey_seed(self, seed: str) -> SurveyAnswer:
        answer, serial = await self._survey_peer(seed)
        if serial > self.note_keeper.serial:
            await self._fetch_note_from(seed)
        return answer

    async def confirm_clean_predecessors(self, answers: Iterable[SurveyAnswer]) -> bool:
        """Surveys every node of the note until all have answered or one reports an unclean stop.

        Returns whether no node knows of a process of this node that ended without a clean stop.
        """
        answers_by_node = {answer.peer: answer for answer in answers}
        limit = asyncio.Semaphore(_MAX_SURVEYS)
        retry_s = _FIRST_RETRY_S

        async def survey_node(name: str) -> None:
            async with limit:
                address = self.gossip.addresses.get(name)
                if address is None:
                    return
                was_connected = address in self.peer_channels.channels
                try:
                    answers_by_node[name], _serial = await self._survey_peer(address)
                except PeerError:
                    return
                finally:
                    # The survey contacts every node once, but the gossip needs few connections.
                    if not was_connected and name not in self.rotation.peers:
                        self.peer_channels.close_if_open(address)

        while True:
            if any(answer.unclean_predecessor for answer in answers_by_node.values()):
                _LOGGER.warning("an earlier process of this node did not stop cleanly")
                return False
            missing = [name for name in self._other_nodes() if name not in answers_by_node]
            if not missing:
                return True
            await asyncio.gather(*(survey_node(name) for name in missing))
            if any(name not in answers_by_node for name in self._other_nodes()):
                await asyncio.sleep(retry_s * self.random.uniform(0.5, 1.0))
                retry_s = min(2 * retry_s, _MAX_RETRY_S)

    def _other_nodes(self) -> list[str]:
        return [name for name in self.gossip.roster if name != self.gossip.table.node_id]

    async def _survey_peer(self, address: str) -> tuple[SurveyAnswer, int]:
        table = self.gossip.table
        request = ExchangeRequest(
            sender=table.node_id, incarnation=table.own_entry.incarnation, survey=True
        )
        reply = await self._send_exchange(address, request)
        answer = SurveyAnswer(reply.sender, reply.highest_incarnation, reply.unclean_predecessor)
        return answer, reply.note_serial

    # Gossip.

    async def run(self) -> None:
        """Starts a gossip round and an exchange with one peer once a period, until cancelled."""
        loop = asyncio.get_running_loop()
        next_round_s = loop.time()
        next_forget_s = next_round_s + _FORGET_PERIOD_S
        while True:
            self.gossip.advance_round()
            self.rotation.set_peers(select_peers(self.gossip.table.node_id, self.gossip.roster))
            if len(self.exchange_tasks) < _MAX_EXCHANGES:
                self._spawn_task(self._exchange_with_next_peer())
            if loop.time() > next_forget_s:
                next_forget_s = loop.time() + _FORGET_PERIOD_S
                self.gossip.table.remove_expired_nodes(self.gossip.roster, self.gossip.clock())
            next_round_s = max(
                next_round_s + self.period_s * self.random.uniform(0.9, 1.1), loop.time()
            )
            await asyncio.sleep(next_round_s - loop.time())

    def _spawn_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.exchange_tasks.add(task)
        task.add_done_callback(self.exchange_tasks.discard)

    def _is_dead_or_stopped(self, peer: str) -> bool:
        state = self.gossip.table.liveness(peer, self.gossip.clock())
        return state in (Liveness.DEAD, Liveness.STOPPED)

    async def _exchange_with_next_peer(self) -> None:
        peer = self.rotation.next_peer(self._is_dead_or_stopped)
        if peer is not None:
            await self.exchange_with(peer)
        elif self.seeds and not self.note_keeper.serial:
            # Without a note only the seeds are known; one of them may have received it by now.
            try:
                await self._survey_seed(self.random.choice(self.seeds))
            except PeerError as error:
                _LOGGER.debug("seed peer did not answer", extra={"error": error.message})

    async def exchange_with(self, peer: str) -> bool:
        """Exchanges entries with one node of the note; returns whether it answered."""
        address = self.gossip.addresses.get(peer)
        if address is None:
            return False
        request, entries = self.gossip.build_request(peer)
        if peer in self.peers_without_note:
            request.sender_address = self.own_address
        try:
            reply = await self._send_exchange(address, request)
        except PeerError as error:
            self.failures += 1
            self.gossip.table.mark_undelivered(peer, entries)
            _LOGGER.debug("exchange failed", extra={"peer": peer, "error": error.message})
            return False
        self.exchanges += 1
        self.on_contact()
        self.gossip.apply_reply(peer, reply)
        if reply.note_serial:
            self.peers_without_note.discard(peer)
        else:
            self.peers_without_note.add(peer)
        if reply.note_serial > self.note_keeper.serial:
            self.fetch_note(peer)
        return True

    async def _send_exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        try:
            return await self.peer_channels.stub(address).Exchange(request, timeout=self.timeout_s)
        except grpc.RpcError as error:
            raise PeerError(f"{address}: {status_name(error)}") from error

    async def refresh_from_peers(self) -> bool:
        """Exchanges entries with several peers at the same time; returns whether one answered."""
        peers = [peer for peer in self.rotation.peers if not self._is_dead_or_stopped(peer)]
        chosen = self.random.sample(peers, min(len(peers), _MAX_EXCHANGES))
        if not chosen:
            return False
        return any(await asyncio.gather(*(self.exchange_with(peer) for peer in chosen)))

    async def announce_stop(self, *, clean: bool) -> None:
        """Announces the stop of this node to its peers; `clean` if all its work has ended."""
        self.gossip.leaving = True
        self.gossip.clean_stop = clean
        self.gossip.advance_round()
        self.gossip.renew_own_entry()
        peers = [peer for peer in self.rotation.peers if not self._is_dead_or_stopped(peer)]
        await asyncio.gather(*(self.exchange_with(peer) for peer in peers))

    # Notes.

    def fetch_note(self, peer: str, announced_address: str = "") -> None:
        """Starts to fetch the newer note of a peer, unless a fetch is in progress.

        `announced_address` is used for a peer that this node's note does not contain.
        """
        address = self.gossip.addresses.get(peer, announced_address)
        if not address or (self.fetch_task is not None and not self.fetch_task.done()):
            return
        self.fetch_task = asyncio.get_running_loop().create_task(self._fetch_note_delayed(address))

    async def _fetch_note_delayed(self, address: str) -> None:
        serial_before = self.note_keeper.serial
        if self.platform_is_reachable():
            await asyncio.sleep(_PEER_FETCH_DELAY_S)
            if self.note_keeper.serial > serial_before:
                return
        try:
            await self._fetch_note_from(address)
        except PeerError as error:
            _LOGGER.info("cannot fetch a note from a peer", extra={"error": error.message})

    async def _fetch_note_from(self, address: str) -> None:
        request = FetchNoteRequest(
            sender=self.gossip.table.node_id, above_serial=self.note_keeper.serial
        )
        try:
            reply = await self.peer_channels.stub(address).FetchNote(
                request, timeout=_FETCH_TIMEOUT_S
            )
        except grpc.RpcError as error:
            raise PeerError(f"{address}: {status_name(error)}") from error
        if reply.packed_note:
            await self.note_keeper.submit_packed_note(reply.packed_note, f"peer {address}")

    async def stop(self) -> None:
        """Cancels exchanges in progress and closes the connections."""
        pending = [*self.exchange_tasks, *([self.fetch_task] if self.fetch_task else [])]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        await self.peer_channels.close()
