"""Release notes: parsing, deltas, and acceptance by serial."""

import json
from contextlib import suppress

import pytest
import yaml
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tanagerworks.errors import (
    NoteBaseMissingError,
    NoteError,
    NoteInvalidError,
    SerialConflictError,
    StaleSerialError,
)
from tanagerworks.note.acceptance import NoteInForce
from tanagerworks.note.delta import Delta, apply_delta, merge_fields
from tanagerworks.note.model import MAX_NOTE_BYTES, Note
from tanagerworks.note.parsing import parse_canonical_note, parse_note
from tests.builders import note_document


def _build_note(serial=1, **sections):
    return Note.model_validate(note_document(serial, **sections))


def _parse_faults(content):
    with pytest.raises(NoteInvalidError) as caught:
        parse_note(content if isinstance(content, bytes) else content.encode())
    return {fault.place: (fault.reason, fault.remedy) for fault in caught.value.faults}


def test_yaml_and_json_give_the_same_note():
    """Guards against a note whose meaning depends on the format it is written in."""
    document = note_document()
    from_yaml = parse_note(yaml.safe_dump(document).encode())
    from_json = parse_note(json.dumps(document).encode())
    assert from_yaml == from_json == parse_canonical_note(from_json.canonical_json())


@pytest.mark.parametrize(
    ("content", "place"),
    [
        (b"\xff", ""),
        (b"x" * MAX_NOTE_BYTES, ""),
        (b"- 1", ""),
        (b"{" * 100_000, "line 1, column 1001"),
        (b'{"a":' * 100_000 + b"1" + b"}" * 100_000, ""),
        (b"a: " + b"[" * 30, "line 1, column 27"),
        (b"serial: 1\nserial: 2", "line 2, column 1"),
        (b'{"serial": 1, "serial": 2}', ""),
        (b"serial: &a [1]\nbase: *a", "line 2, column 7"),
        (b"serial: 1\nbase: !!python/object:os.system {}", "line 2, column 7"),
        (b"serial: 2026-01-01\nbase: 1", "serial"),
        (b"serial: .inf\nbase: 1", "serial"),
        (b"serial: " + b"9" * 5000, ""),
        (b"serial: 2", "base"),
        (b"serial: 0\nbase: 1", "serial"),
        (b"serial: 2\nbase: 1\nremoved: {}", "removed"),
        (b"serial: 2\nbase: 1\nadded: {1: {}}", "line 3, column 9"),
    ],
)
def test_bad_content_gives_a_fault_with_its_place(content, place):
    """Guards against hostile or mistyped input that crashes the parser or is accepted."""
    faults = _parse_faults(content)
    assert list(faults) == [place]
    assert all(faults[place])


def test_alias_bomb_is_refused_unexpanded():
    """Guards against YAML aliases with which a few hundred bytes expand to gigabytes."""
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x]"]
    lines += [f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]" for n in range(1, 30)]
    assert "aliases" in next(iter(_parse_faults("\n".join(lines)).values()))[0]


def test_every_fault_is_reported_at_once():
    """Guards against operators who see only one fault of a note with every publication."""
    document = note_document()
    engine = document["statement"]["engines"]["m1"]
    engine.update(zone="mars", version="v9")
    document["statement"]["customers"]["club-carthage"]["request_class"] = "royal"
    assert set(_parse_faults(json.dumps(document))) == {
        "statement.engines.m1.zone",
        "statement.engines.m1.version",
        "statement.customers.club-carthage.request_class",
    }
    engine.update(slots=0, address="300.1.1.1:80", colour="red")
    assert set(_parse_faults(json.dumps(document))) == {
        "statement.engines.m1.slots",
        "statement.engines.m1.address",
        "statement.engines.m1.colour",
    }


def test_delta_adds_changes_and_withdraws():
    """Guards against a delta that drops fields which it does not name."""
    base = _build_note(1)
    engine = base.statement.engines["m1"].model_dump(mode="json")
    delta = Delta(
        serial=2,
        base=1,
        added={"zones": {"sfax-thyna": {}}, "engines": {"m2": {**engine, "slots": 4}}},
        changed={
            "zones": {"sfax-medina": {"state": "out"}},
            "models": {"wax": {"versions": {"v1": 0.5, "v2": 0.5}}},
            "rules": {"load_multiple": 1.5},
        },
        withdrawn={"engines": ("m1",)},
    )
    after = apply_delta(base, delta).statement
    assert set(after.engines) == {"m2"}
    assert after.zones["sfax-medina"].state.value == "out"
    assert after.models["wax"].versions == {"v1": 0.5, "v2": 0.5}
    assert after.rules.load_multiple == 1.5
    assert after.rules.warm_answers == base.statement.rules.warm_answers
    restored = Delta(serial=3, base=2, changed={"rules": {"load_multiple": None}})
    assert apply_delta(Note(serial=2, statement=after), restored).statement.rules == (
        base.statement.rules
    )


@pytest.mark.parametrize(
    ("parts", "place"),
    [
        ({"added": {"engines": {"m1": {}}}}, "added.engines.m1"),
        ({"added": {"engines": {"m2": {}}}}, "added.engines.m2.address"),
        ({"added": {"rules": {"warm_answers": {}}}}, "added.rules"),
        ({"changed": {"engines": {"m9": {}}}}, "changed.engines.m9"),
        ({"changed": {"engines": {"m1": 3}}}, "changed.engines.m1"),
        ({"changed": {"engines": {"m1": {"slots": 0}}}}, "changed.engines.m1.slots"),
        ({"changed": {"engines": {"m1": {"zone": "mars"}}}}, "changed.engines.m1.zone"),
        ({"withdrawn": {"engines": ["m9"]}}, "withdrawn.engines.m9"),
        ({"withdrawn": {"zones": ["sfax-medina"]}}, "statement.zones"),
        ({"withdrawn": {"colours": ["red"]}}, "withdrawn.colours"),
        ({"base": 2}, "base"),
    ],
)
def test_bad_delta_names_its_place_and_changes_nothing(parts, place):
    """Guards against an invalid delta of which a part is applied before the fault is found."""
    in_force = NoteInForce()
    in_force.accept_note(_build_note(1))
    before = in_force.note.canonical_json()
    delta = Delta.model_validate({"serial": 2, "base": 1, **parts})
    with pytest.raises(NoteError) as caught:
        in_force.accept_note(delta) if delta.base == 1 else apply_delta(in_force.note, delta)
    assert place in [fault.place for fault in caught.value.faults]
    assert in_force.note.canonical_json() == before
    assert in_force.digest == in_force.note.digest()


def test_serial_rules():
    """Guards against a lower serial, two notes with one serial, and a delta on another base."""
    in_force = NoteInForce()
    with pytest.raises(NoteBaseMissingError):
        in_force.accept_note(Delta(serial=2, base=1))
    assert in_force.accept_note(_build_note(5))
    assert not in_force.accept_note(_build_note(5))
    with pytest.raises(StaleSerialError):
        in_force.accept_note(_build_note(4))
    with pytest.raises(SerialConflictError):
        in_force.accept_note(_build_note(5, zones={"sfax-medina": {"state": "out"}}))
    with pytest.raises(NoteBaseMissingError):
        in_force.accept_note(Delta(serial=9, base=8))
    with pytest.raises(NoteBaseMissingError):
        in_force.accept_note(Delta(serial=6, base=5, base_digest="0" * 64))
    delta = Delta(serial=6, base=5, changed={"rules": {"warm_answers": 8}})
    assert in_force.accept_note(delta)
    assert not in_force.accept_note(delta)
    with pytest.raises(SerialConflictError):
        in_force.accept_note(Delta(serial=6, base=5))


_FIELDS = st.recursive(
    st.integers(0, 9) | st.none(),
    lambda inner: st.dictionaries(st.sampled_from("abcd"), inner, max_size=4),
    max_leaves=12,
)
_MAPPINGS = st.dictionaries(st.sampled_from("abcd"), _FIELDS, max_size=4)


@given(_MAPPINGS, _MAPPINGS)
def test_merge_is_idempotent_and_keeps_other_fields(old, new):
    """Guards against a merge that differs when it is repeated, or that changes unnamed fields."""
    merged = merge_fields(old, new)
    assert merge_fields(merged, new) == merged
    for key, value in old.items():
        if key not in new:
            assert merged[key] == value


@given(st.binary(max_size=400) | st.text(max_size=400).map(str.encode))
def test_any_bytes_give_a_note_or_a_typed_error(content):
    """Guards against untyped exceptions, which the agent would not handle as a refused note."""
    with suppress(NoteInvalidError):
        parse_note(content)


class _LowerSerialAccepted(NoteInForce):
    """Faulty on purpose: accepts a full note with any serial."""

    def accept_note(self, submitted):
        if isinstance(submitted, Note):
            self._set_note(submitted, None)
            return True
        return super().accept_note(submitted)


class NoteMachine(RuleBasedStateMachine):
    """Nodes that read stale values, restart and receive notes of peers; two operators publish."""

    rule_class = NoteInForce

    @initialize()
    def start(self):
        first = _build_note(1, zones={"sfax-medina": {}, "z0": {}})
        self.publications = [first]
        # Digest of every note that an operator published, with all zones withdrawn before it.
        self.withdrawn = {first.digest(): frozenset()}
        self.notes = {first.digest(): first}
        self.next_zone = 1
        self.nodes = [self.rule_class() for _ in range(4)]
        self.last_seen = [(0, "")] * 4

    def _accept_note(self, number, submitted):
        with suppress(NoteError):
            self.nodes[number].accept_note(submitted)

    @rule(data=st.data(), full=st.booleans(), withdraw=st.booleans())
    def publish(self, data, full, withdraw):
        base = self.notes[data.draw(st.sampled_from(sorted(self.notes)))]
        zones = sorted(set(base.statement.zones) - {"sfax-medina"})
        withdrawn_zones = tuple(zones[:1]) if withdraw else ()
        added = f"z{self.next_zone}"
        self.next_zone += 1
        delta = Delta(
            serial=base.serial + data.draw(st.integers(1, 2)),
            base=base.serial,
            base_digest=base.digest(),
            added={"zones": {added: {}}},
            withdrawn={"zones": withdrawn_zones},
        )
        note = apply_delta(base, delta)
        self.notes[note.digest()] = note
        self.withdrawn[note.digest()] = self.withdrawn[base.digest()] | set(withdrawn_zones)
        self.publications.append(note if full else delta)

    @rule(data=st.data(), number=st.integers(0, 3))
    def read_a_possibly_stale_value(self, data, number):
        self._accept_note(number, data.draw(st.sampled_from(self.publications)))

    @rule(number=st.integers(0, 3), peer=st.integers(0, 3))
    def receive_from_peer(self, number, peer):
        note = self.nodes[peer].note
        if note is not None:
            self._accept_note(number, parse_canonical_note(note.canonical_json()))

    @rule(number=st.integers(0, 3))
    def restart(self, number):
        self.nodes[number] = self.rule_class()
        self.last_seen[number] = (0, "")

    @invariant()
    def no_serial_decreases(self):
        for number, node in enumerate(self.nodes):
            serial, digest = self.last_seen[number]
            assert node.serial >= serial
            if node.serial == serial:
                assert node.digest == digest
            self.last_seen[number] = (node.serial, node.digest)

    @invariant()
    def no_withdrawn_zone_returns(self):
        for node in self.nodes:
            if node.note is None:
                continue
            assert not self.withdrawn[node.digest] & set(node.note.statement.zones)


_MACHINE_SETTINGS = settings(max_examples=40, stateful_step_count=30, deadline=None)


def test_no_serial_decreases_and_no_withdrawn_item_returns():
    """Guards against a node that returns to an older note without a restart.

    Stale values of the platform and notes of peers arrive in any order.
    """
    run_state_machine_as_test(NoteMachine, settings=_MACHINE_SETTINGS)


def test_machine_detects_a_decreasing_serial():
    """Guards against a state machine that cannot detect the failure it is written for."""

    class FaultyMachine(NoteMachine):
        rule_class = _LowerSerialAccepted

    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            FaultyMachine,
            settings=settings(
                _MACHINE_SETTINGS,
                derandomize=True,
                report_multiple_bugs=False,
                phases=[Phase.generate],
            ),
        )
