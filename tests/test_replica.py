"""A replica of the published store never returns to an older state, however its inputs arrive."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerworks.published.replica import Change, Replica

KEYS = st.sampled_from(["config", "servers/a", "servers/b", "out/zone"])


class ReplicaMachine(RuleBasedStateMachine):
    """A store that changes, and a replica that gets its changes and listings late or repeatedly."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.revision = 0
        self.history = []
        # The history of each era; one that was restored begins with that of the copy.
        self.histories = {1: self.history}
        self.replica = Replica()
        self.highest = (0, 0)

    def state_at(self, revision, era=None):
        state = {}
        for change in self.histories[era or self.era]:
            if change.revision > revision:
                break
            if change.value is None:
                state.pop(change.key, None)
            else:
                state[change.key] = change
        return state

    @rule(key=KEYS, deleted=st.booleans())
    def store_changes(self, key, deleted):
        self.revision += 1
        value = None if deleted else str(self.revision).encode()
        self.history.append(Change(key, self.revision, value))

    @rule(data=st.data())
    def store_is_restored(self, data):
        """Goes back to a copy; the revisions after it are given out again in the next era."""
        self.revision = data.draw(st.integers(0, self.revision))
        self.history = [change for change in self.history if change.revision <= self.revision]
        self.era += 1
        self.histories[self.era] = self.history

    @rule(data=st.data())
    def replica_applies_changes(self, data):
        """Applies changes after the replica's revision in any order, some of them again.

        They are of the store's era, which may be later than that of the replica.
        """
        known = self.replica.revision
        until_revision = data.draw(st.integers(known, max(known, self.revision)))
        since = data.draw(st.integers(0, known))
        changes = [c for c in self.history if since < c.revision <= until_revision]
        changes = data.draw(st.permutations(changes))
        self.replica.apply_changes(changes, until_revision, self.era)

    @rule(data=st.data())
    def replica_applies_listing(self, data):
        """Applies a listing as of any revision, also one older than the replica (a slow peer).

        It may be of an earlier era.
        """
        era = data.draw(st.integers(1, self.era))
        newest = self.histories[era][-1].revision if self.histories[era] else 0
        at = data.draw(st.integers(0, newest))
        self.replica.replace_items(list(self.state_at(at, era).values()), at, era)

    @rule(data=st.data())
    def peer_catches_up(self, data):
        """A peer at an older revision or era fetches the changes since then, or all items."""
        if not self.replica.era:
            return
        behind = Replica()
        era = data.draw(st.integers(1, self.replica.era))
        newest = self.histories[era][-1].revision if self.histories[era] else 0
        at = data.draw(st.integers(0, self.replica.revision if era == self.replica.era else newest))
        behind.replace_items(list(self.state_at(at, era).values()), at, era)
        changes = self.replica.changes_after(at, era)
        if changes is None:
            items = list(self.replica.items.values())
            behind.replace_items(items, self.replica.revision, self.replica.era)
        else:
            behind.apply_changes(changes, self.replica.revision, self.replica.era)
        assert behind.items == self.replica.items

    @invariant()
    def equals_the_store_at_its_revision(self):
        if self.replica.era:
            assert self.replica.items == self.state_at(self.replica.revision, self.replica.era)

    @invariant()
    def never_returns_to_an_older_state(self):
        position = (self.replica.era, self.replica.revision)
        assert position >= self.highest
        self.highest = position


ReplicaMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestReplicaMachine = ReplicaMachine.TestCase


def test_changed_items_are_returned():
    """Guards against a deletion or a write that the node never applies to its servers."""
    replica = Replica()
    replica.replace_items([Change("a", 1, b"1"), Change("b", 2, b"2")], 2)
    applied = replica.apply_changes([Change("a", 3, None), Change("c", 4, b"4")], 4)
    assert applied == [Change("a", 3, None), Change("c", 4, b"4")]
    assert replica.replace_items([Change("c", 4, b"4")], 5) == [Change("b", 5, None)]


def test_deletion_before_an_older_write_in_one_batch():
    """Guards against a deleted key that comes back with an older write of the same batch."""
    replica = Replica()
    replica.apply_changes([Change("a", 2, None), Change("a", 1, b"1")], 2)
    assert replica.items == {}


def test_replaced_configurations_are_not_kept_for_peers():
    """Guards against a process that holds every configuration of a storm of changes."""
    replica, behind = Replica(), Replica()
    first = [Change("config", 1, b"c" * 20_000), Change("servers/a", 2, b"v1")]
    for copy in (replica, behind):
        copy.replace_items(first, 2)
    for revision in range(3, 40, 2):
        later = [
            Change("config", revision, bytes([revision]) * 20_000),
            Change("servers/a", revision + 1, b"v%d" % revision),
        ]
        replica.apply_changes(later, revision + 1)
    changes = replica.changes_after(2)
    assert sum(len(change.value) for change in changes) < 2 * 20_000
    assert len([change for change in changes if change.key == "servers/a"]) == 19
    behind.apply_changes(changes, replica.revision)
    assert behind.items == replica.items
