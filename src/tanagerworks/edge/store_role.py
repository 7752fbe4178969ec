"""Decides whether a node reads the published store itself or relies on its peers.

Some nodes of each availability zone follow the store for the others. Peers that say that they
follow it may have lost it without noticing: a read that waits for a change looks the same as one
whose answer is lost. So a node relies on the age of its copy, not on what peers say they do, and
reads the store itself once the copy is too old.
"""

import asyncio

from tanagerworks.edge.follower import StoreView
from tanagerworks.membership.peer_table import PeerTable

# Shares of the time within which nodes must stop sending requests to a leaving server. A follower
# waits at the store for the first share, so its copy is confirmed at least that often. The second
# is the age at which a copy is too old; what is left is for one read of the store.
_READ_WAIT_SHARE = 0.25
_MAX_COPY_AGE_SHARE = 0.6


class StoreRole:
    """The part that one node has in following the store; `leaving_notice_s` may be changed."""

    def __init__(
        self,
        node: str,
        zone: str,
        peer_table: PeerTable,
        store_view: StoreView,
        leaving_notice_s: float,
    ) -> None:
        """`leaving_notice_s` is for how many seconds a server that says it leaves still serves."""
        self.node = node
        self.zone = zone
        self.peer_table = peer_table
        self.store_view = store_view
        self.leaving_notice_s = leaving_notice_s

    @property
    def read_wait_s(self) -> float:
        """Longest time in seconds that a read may wait at the store for a change."""
        return _READ_WAIT_SHARE * self.leaving_notice_s

    @property
    def max_copy_age_s(self) -> float:
        """Age in seconds from which a copy of the store is too old to rely on."""
        return _MAX_COPY_AGE_SHARE * self.leaving_notice_s

    def is_copy_outdated(self) -> bool:
        """Whether neither this node's reads nor its peers have confirmed its copy lately."""
        now_s = asyncio.get_running_loop().time()
        return self.store_view.age_s(now_s) > self.max_copy_age_s

    def must_follow_store(self) -> bool:
        """Whether this node has to read the store now."""
        now_s = asyncio.get_running_loop().time()
        return (
            self.peer_table.must_follow_store(self.node, self.zone, now_s)
            or self.is_copy_outdated()
        )
