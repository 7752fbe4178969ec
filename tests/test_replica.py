"""The copy of the published store never goes back, whatever order its sources come in."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerworks.published.replica import Change, Replica

KEYS = st.sampled_from(["config", "servers/a", "servers/b", "out/zone"])


class ReplicaMachine(RuleBasedStateMachine):
    """A store that changes, and a replica that hears of it late, twice and out of order."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.history = []
        self.replica = Replica()
        self.highest = 0

    def state_at(self, revision):
        state = {}
        for change in self.history:
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
    def hears_changes(self, data):
        """Changes after the replica's revision, perhaps some that it knows already."""
        known = self.replica.revision
        upto = data.draw(st.integers(known, max(known, self.revision)))
        since = data.draw(st.integers(0, known))
        changes = [c for c in self.history if since < c.revision <= upto]
        self.replica.apply_changes(changes, upto)

    @rule(data=st.data())
    def hears_listing(self, data):
        """A listing as of any revision, also one older than what is known (a slow peer)."""
        at = data.draw(st.integers(0, self.revision))
        self.replica.replace_items(list(self.state_at(at).values()), at)

    @rule(data=st.data())
    def follows_a_peer(self, data):
        """A peer at an older revision fetches the changes since, or the whole copy."""
        behind = Replica()
        at = data.draw(st.integers(0, self.replica.revision))
        behind.replace_items(list(self.state_at(at).values()), at)
        changes = self.replica.changes_after(at)
        if changes is None:
            behind.replace_items(list(self.replica.items.values()), self.replica.revision)
        else:
            behind.apply_changes(changes, self.replica.revision)
        assert behind.items == self.replica.items

    @invariant()
    def equals_the_store_at_its_revision(self):
        assert self.replica.items == self.state_at(self.replica.revision)

    @invariant()
    def never_goes_back(self):
        assert self.replica.revision >= self.highest
        self.highest = self.replica.revision


ReplicaMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestReplicaMachine = ReplicaMachine.TestCase


def test_news_names_what_changed():
    """Guards against a deletion or a write that the node never acts on."""
    replica = Replica()
    replica.replace_items([Change("a", 1, b"1"), Change("b", 2, b"2")], 2)
    news = replica.apply_changes([Change("a", 3, None), Change("c", 4, b"4")], 4)
    assert news == [Change("a", 3, None), Change("c", 4, b"4")]
    assert replica.replace_items([Change("c", 4, b"4")], 5) == [Change("b", 5, None)]
