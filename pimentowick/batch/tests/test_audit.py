"""Audit events of a ledger: included in its dump, and bounded for any record."""

import orjson

from pimentowick.batch import audit, ledger, record


def test_audit_events_survive_a_dump_and_stay_bounded():
    shard_ledger = ledger.Ledger()
    for number in range(2 * audit.MAX_AUDIT_EVENTS):
        shard_ledger.apply(number, record.make_claim(number + 1, "x" * 10_000, 1.0))
    assert len(shard_ledger.audit_events) == audit.MAX_AUDIT_EVENTS
    parts = shard_ledger.dump()
    assert all(len(orjson.dumps(part)) < 65_536 for part in parts)
    loaded = ledger.Ledger()
    loaded.load(orjson.loads(orjson.dumps(parts)))
    assert list(loaded.audit_events) == list(shard_ledger.audit_events)


def test_claim_with_a_malformed_time_is_applied_like_any_other():
    shard_ledger = ledger.Ledger()
    claim = record.make_claim(1, "a", "yesterday")
    shard_ledger.apply(0, claim)
    assert shard_ledger.owner == "a"
    assert [each.at for each in shard_ledger.audit_events] == [0.0]
