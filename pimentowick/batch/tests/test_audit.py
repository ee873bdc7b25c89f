"""Audit events of a ledger: included in its dump, and bounded for any record."""

import orjson

from pimentowick.batch import audit, ledger, record


def test_notes_survive_a_dump_and_stay_bounded():
    book = ledger.Ledger()
    for number in range(2 * audit.MAX_AUDIT_EVENTS):
        book.apply(number, record.make_claim(number + 1, "x" * 10_000, 1.0))
    assert len(book.audit_events) == audit.MAX_AUDIT_EVENTS
    parts = book.dump()
    assert all(len(orjson.dumps(part)) < 65_536 for part in parts)
    loaded = ledger.Ledger()
    loaded.load(orjson.loads(orjson.dumps(parts)))
    assert list(loaded.audit_events) == list(book.audit_events)


def test_claim_with_a_malformed_time_is_judged_like_any_other():
    book = ledger.Ledger()
    claim = record.make_claim(1, "a", "yesterday")
    book.apply(0, claim)
    assert book.owner == "a"
    assert [each.at for each in book.audit_events] == [0.0]
