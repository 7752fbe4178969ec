"""Decides whether a request may be sent despite the evidence against it or parts of its prompt."""

from dataclasses import dataclass

from tanagerworks.dispatch.crash_evidence import CrashEvidence
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.routing.ranking import rank_equally

# After the end of a quarantine, each node in the ranking for the suspect waits this much longer
# than the one before it until it sends a request. The first result then reaches the others in time.
_PROBE_STAGGER_S = 1.0
# Shortest Retry-After of a refusal, also while the result of a probe is awaited.
_MIN_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class QuarantineRefusal:
    """A request that must not be sent: what is quarantined and when to try again."""

    # Id of a part of the prompt, or the identity of the request.
    suspect_id: str
    is_request: bool
    crashes: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _Probe:
    call_id: str
    until_s: float


class QuarantineGate:
    """Refuses requests in quarantine; after a quarantine, sends one request as a probe.

    If the probe crashes its server, the quarantine is extended; if its answer gets under way, the
    suspect is cleared.
    """

    def __init__(self, node: str, peer_table: PeerTable, evidence: CrashEvidence) -> None:
        self.node = node
        self.peer_table = peer_table
        self.evidence = evidence
        # By id of the suspect.
        self.probes: dict[str, _Probe] = {}

    def check_request(
        self, call_id: str, suspect_ids: tuple[str, ...], deadline_s: float, now_s: float
    ) -> QuarantineRefusal | None:
        """Returns the refusal of a request with these identities, or None if it may be sent.

        A request that is sent as a probe holds this place until `end_probe` or its deadline.
        """
        refusal = self.find_refusal(call_id, suspect_ids, now_s)
        if refusal is None:
            for suspect_id in self.evidence.find_quarantines(suspect_ids):
                self.probes[suspect_id] = _Probe(call_id, deadline_s)
        return refusal

    def find_refusal(
        self, call_id: str, suspect_ids: tuple[str, ...], now_s: float
    ) -> QuarantineRefusal | None:
        """Returns what `check_request` returns, without making the request a probe."""
        for suspect_id, quarantine in self.evidence.find_quarantines(suspect_ids).items():
            wait_s = quarantine.until_s + self._probe_delay_s(suspect_id, now_s) - now_s
            probe = self.probes.get(suspect_id)
            awaited = probe is not None and probe.call_id != call_id and now_s < probe.until_s
            if wait_s > 0.0 or awaited:
                return QuarantineRefusal(
                    suspect_id,
                    quarantine.is_request,
                    quarantine.crashes,
                    max(_MIN_RETRY_AFTER_S, wait_s),
                )
        return None

    def _probe_delay_s(self, suspect_id: str, now_s: float) -> float:
        names = [peer.name for peer in self.peer_table.live_peers(now_s)]
        names.append(self.node)
        return _PROBE_STAGGER_S * rank_equally(suspect_id, names, len(names)).index(self.node)

    def end_probe(self, call_id: str) -> None:
        """Ends the probes of a request whose attempt has ended."""
        for suspect_id, probe in list(self.probes.items()):
            if probe.call_id == call_id:
                del self.probes[suspect_id]
