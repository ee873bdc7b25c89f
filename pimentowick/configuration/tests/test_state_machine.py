import json
import random

import hypothesis
import pytest
from hypothesis import strategies

from pimentowick import exception
from pimentowick.configuration import state_machine, tokens

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
TEMPLATE = {
    "parameters": {"size": {"type": "integer", "default": 2, "maximum": 9}},
    "workspace": {"max_jobs_open": "${size}"},
}
MALFORMED = [
    None,
    [],
    "text",
    {},
    {"type": "template"},
    {"id": "ab" * 8, "type": "lorry", "at": float("nan"), "name": "\ud800"},
    {"id": 7, "type": ["template"], "name": {}, "at": 10**400, "by": None},
    {"id": "cd" * 8, "type": "checkpoint"},
]


def make_record(number, kind, name, amends, body):
    return {
        "id": f"{number:016x}",
        "type": kind,
        "name": name,
        "amends": amends,
        "by": "ada",
        "at": 5.0,
        "body": body,
    }


def make_body(version, size=2, stored_tokens=()):
    return {
        "template": "small",
        "template_version": version,
        "parameters": {"size": size},
        "tokens": [stored_token.to_dict() for stored_token in stored_tokens],
    }


def apply_records(records, first=1):
    state = state_machine.ConfigurationStateMachine()
    for offset, record in enumerate(records, first):
        state.apply(offset, record)
    return state


def copy_state(state):
    copied = state_machine.ConfigurationStateMachine()
    copied.load(json.loads(json.dumps(state.dump())))
    return copied


def assert_equal(left, right):
    assert left.dump() == right.dump()
    for name in ("version", "templates", "workspaces", "fleet", "audit"):
        assert getattr(left, name) == getattr(right, name)
    for name in ("_outcomes", "_seen_ids", "_token_owners", "_template_uses"):
        assert getattr(left, name) == getattr(right, name)


@strategies.composite
def draw_records(draw):
    """A stream with concurrent changes, duplicates and malformed records."""
    records = []
    for number in range(draw(strategies.integers(0, 30))):
        amended_versions = strategies.integers(0, len(records) + 2)
        choice = draw(strategies.integers(0, 9))
        if choice == 0:
            record = draw(strategies.sampled_from(MALFORMED))
        elif choice == 1 and records:
            record = draw(strategies.sampled_from(records))
        elif choice <= 4:
            record = make_record(number, "template", "small", 0, TEMPLATE)
        elif choice == 5:
            body = {"operators": [], "shards": draw(strategies.integers(-1, 9))}
            record = make_record(number, "fleet", "fleet", draw(amended_versions), body)
        else:
            newest = apply_records(records).get_document("template", "small")
            if newest and draw(strategies.integers(0, 3)):
                amended_versions = strategies.just(newest.version)
            body = make_body(draw(amended_versions), draw(strategies.integers(1, 11)))
            name = draw(strategies.sampled_from(["one", "two"]))
            record = make_record(number, "workspace", name, 0, body)
        if choice > 1 and draw(strategies.integers(0, 3)):
            state = apply_records(records)
            current = state.get_document(record["type"], record["name"])
            record["amends"] = current.version if current else 0
        records.append(record)
    return records


@SETTINGS
@hypothesis.given(draw_records(), strategies.integers(0, 30))
def test_snapshot_at_any_offset_equals_full_replay(records, cut):
    """A replica that starts from a snapshot ends in the same state as one that replays
    the whole log. Otherwise hosts would serve a workspace with different settings.
    """
    whole = state_machine.ConfigurationStateMachine()
    other = state_machine.ConfigurationStateMachine()
    for offset, record in enumerate(records):
        if offset == cut:
            other = copy_state(other)
        whole.apply(offset, record)
        other.apply(offset, json.loads(json.dumps(record)))
        assert_equal(whole, other)


@SETTINGS
@hypothesis.given(draw_records())
def test_versions_increase_and_one_concurrent_change_is_accepted(records):
    """Among concurrent changes of one version exactly one is accepted, and versions
    never decrease. Otherwise an accepted change would be lost silently.
    """
    state = state_machine.ConfigurationStateMachine()
    accepted_changes = set()
    for offset, record in enumerate(records, 1):
        before = state.version
        documents = dict(state._documents)
        state.apply(offset, record)
        assert state.version in (before, offset)
        audit_entry = state.audit[-1] if state.audit else None
        if audit_entry is None or audit_entry.offset != offset:
            assert record["type"] == "checkpoint"
            continue
        assert audit_entry.accepted == (state.version == offset)
        if audit_entry.accepted:
            key = (audit_entry.kind, audit_entry.name, record["amends"])
            assert key not in accepted_changes
            accepted_changes.add(key)
            assert audit_entry.version_before == record["amends"]
        else:
            assert audit_entry.reason
            assert state._documents == documents


@SETTINGS
@hypothesis.given(draw_records(), strategies.randoms(use_true_random=False))
def test_repeated_offsets_change_nothing(records, rng):
    """Records that are delivered again after a reconnect are skipped; applying them
    twice would add false duplicates to the audit trail.
    """
    once = apply_records(records)
    again = state_machine.ConfigurationStateMachine()
    for offset, record in enumerate(records, 1):
        again.apply(offset, record)
        repeated_offset = rng.randint(1, offset)
        again.apply(repeated_offset, records[repeated_offset - 1])
    assert_equal(once, again)


def test_records_never_alias_the_callers_objects():
    record = make_record(1, "template", "small", 0, json.loads(json.dumps(TEMPLATE)))
    state = apply_records([record])
    record["body"]["workspace"]["max_jobs_open"] = "changed"
    assert state.get_document("template", "small").body == TEMPLATE


def test_conflict_names_the_winner():
    """Two operators amend the same version of a template. The second is rejected with
    the name of the operator whose change was accepted.
    """
    records = [make_record(n, "template", "small", 0, TEMPLATE) for n in (1, 2)]
    state = apply_records(records)
    found = state.find_audit_entry(records[1]["id"])
    assert not found.accepted
    assert found.reason.startswith("conflict: version 1 by ada")
    assert records[0]["id"] in found.reason
    assert state.find_audit_entry(records[0]["id"]).accepted
    assert state.find_audit_entry("unknown") is None


def test_duplicate_keeps_first_outcome_and_has_no_effect():
    """A rejected record is appended again when it would be valid. It must still have no
    effect, since the operator was told that the change was rejected.
    """
    early = make_record(1, "workspace", "one", 0, make_body(2))
    records = [early, make_record(2, "template", "small", 0, TEMPLATE), early]
    state = apply_records(records)
    assert state.workspaces == {}
    assert state.audit[-1].reason == state_machine.DUPLICATE_REASON
    assert "template small version 2" in state.find_audit_entry(early["id"]).reason


def test_offset_zero_is_rejected():
    state = apply_records([make_record(1, "template", "small", 0, TEMPLATE)], first=0)
    assert state.version == 0
    assert "offset 0" in state.audit[0].reason


def test_template_versions_stay_while_referred_to():
    records = [
        make_record(1, "template", "small", 0, TEMPLATE),
        make_record(2, "workspace", "one", 0, make_body(1)),
        make_record(3, "template", "small", 1, TEMPLATE),
        make_record(4, "template", "small", 3, TEMPLATE),
    ]
    state = apply_records(records)
    assert sorted(state.templates["small"]) == [1, 4]
    state.apply(5, make_record(5, "workspace", "one", 2, make_body(4, 9)))
    assert sorted(state.templates["small"]) == [4]
    assert state.workspaces["one"].max_jobs_open == 9
    state.apply(6, make_record(6, "workspace", "two", 0, make_body(1)))
    assert "expected one of the versions [4]" in state.audit[-1].reason
    assert [item.version for item in state.list_documents_since(4)] == [5]


def test_tokens_rotate_without_a_gap_and_belong_to_one_workspace():
    """A workspace rotates its token while another one claims the same token id. Callers
    stay authenticated throughout, and only as their own workspace.
    """
    old_text, old = tokens.make_token()
    new_text, new = tokens.make_token()
    state = apply_records(
        [
            make_record(1, "template", "small", 0, TEMPLATE),
            make_record(2, "workspace", "one", 0, make_body(1, stored_tokens=[old])),
            make_record(3, "workspace", "two", 0, make_body(1, stored_tokens=[old])),
            make_record(
                4, "workspace", "one", 2, make_body(1, stored_tokens=[old, new])
            ),
        ]
    )
    assert "belongs to another workspace" in state.audit[2].reason
    assert state.find_workspace_by_token(old_text).name == "one"
    assert state.find_workspace_by_token(new_text).name == "one"
    state.apply(
        5, make_record(5, "workspace", "one", 4, make_body(1, stored_tokens=[new]))
    )
    assert state.find_workspace_by_token(old_text) is None
    assert state.find_workspace_by_token(new_text).version == 5
    assert_equal(state, copy_state(state))
    state.apply(
        6, make_record(6, "workspace", "two", 0, make_body(1, stored_tokens=[old]))
    )
    assert state.find_workspace_by_token(old_text).name == "two"
    for wrong in (None, "", ".", new.id, new_text + "\ud800", new_text[:-1]):
        assert state.find_workspace_by_token(wrong) is None


def test_operator_tokens():
    text, stored_token = tokens.make_token("ada")
    body = {"operators": [stored_token.to_dict()]}
    state = apply_records([make_record(1, "fleet", "fleet", 0, body)])
    assert state.find_operator_by_token(text).name == "ada"
    assert state.fleet.shards == 8
    twice = {"operators": [stored_token.to_dict(), stored_token.to_dict()]}
    state.apply(2, make_record(2, "fleet", "fleet", 1, twice))
    assert "occurs twice" in state.audit[-1].reason
    state.apply(3, make_record(3, "fleet", "other", 0, body))
    assert not state.audit[-1].accepted


def test_audit_entries_and_snapshots_are_bounded(monkeypatch):
    """A faulty writer fills the log with rejected records. Memory and snapshots stay
    bounded, and replicas stay identical.
    """
    monkeypatch.setattr(state_machine, "MAX_SEEN_IDS", 3000)
    wide = make_record(0, "template", "wide", 0, {"workspace": {"a": "x" * 140_000}})
    records = [wide]
    rng = random.Random(3)
    for number in range(1, 4000):
        repeated = rng.randint(0, number)
        records.append(make_record(repeated, "workspace", "one", 0, make_body(1)))
    state = apply_records(records)
    assert len(state.audit) == state_machine.MAX_AUDIT_ENTRIES
    assert len(state._seen_ids) <= 3000
    assert max(len(json.dumps(part)) for part in state.dump()) < 210_000
    assert_equal(state, copy_state(state))


@pytest.mark.parametrize(
    "body",
    [
        {"workspace": {"a": "x" * 200_000}},
        {"workspace": {"a": 2**60}},
        {"workspace": {"a": float("inf")}},
        {"workspace": {"a": "\ud800"}},
        {"workspace": {"a": json.loads("[" * 200 + "]" * 200)}},
        {"workspace": {"a": "${lost}"}},
    ],
)
def test_invalid_bodies_are_audited(body):
    state = apply_records([make_record(1, "template", "small", 0, body)])
    assert state.version == 0
    assert state.audit[0].reason


@pytest.mark.parametrize(
    "parts",
    [
        [],
        [{"part": "head", "items": []}],
        [{"part": "documents", "items": [{"kind": "template"}]}],
        [3],
    ],
)
def test_malformed_snapshot_leaves_state_unchanged(parts):
    state = apply_records([make_record(1, "template", "small", 0, TEMPLATE)])
    before = state.dump()
    with pytest.raises(exception.ValidationError):
        state.load(parts)
    assert state.dump() == before


def test_hashes_stay_out_of_reprs_and_reasons():
    _, stored_token = tokens.make_token()
    broken = {**stored_token.to_dict(), "hash": "not-a-hash", "secret": "hidden-value"}
    body = {**make_body(1), "tokens": [broken]}
    records = [
        make_record(1, "template", "small", 0, TEMPLATE),
        make_record(2, "workspace", "one", 0, body),
        make_record(
            3, "workspace", "one", 0, make_body(1, stored_tokens=[stored_token])
        ),
    ]
    state = apply_records(records)
    shown = repr(
        (state.audit, state.workspaces, state.get_document("workspace", "one"))
    )
    assert "tokens.0.hash" in shown
    for hidden in (stored_token.hash, stored_token.salt, "not-a-hash", "hidden-value"):
        assert hidden not in shown
