"""Properties of the ledger, checked on generated streams of records."""

import json

import hypothesis
from hypothesis import strategies

from pimentowick.batch import ledger as batch_ledger
from pimentowick.batch import record as batch_record
from pimentowick.batch import state

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
JOBS = ["j0", "j1", "j2"]
MALFORMED = [None, -1, 1.5, True, "x", "\ud800", [], {}, float("nan"), 10**30, [[]]]

numbers = strategies.integers(0, 3)
jobs = strategies.sampled_from(JOBS)


def submit(job, items=4, submission=None, chunks=2):
    submission = submission or f"s-{job}"
    size = items // chunks
    records = [
        batch_record.make_chunk(submission, index, [{"n": index}] * size)
        for index in range(chunks)
    ]
    submitted = batch_record.make_submitted(
        job, submission, "a", "k", "d", items, chunks, model="lm", at=5.0
    )
    return [*records, submitted]


@strategies.composite
def draw_results(draw):
    rows = draw(
        strategies.lists(
            strategies.tuples(
                jobs, numbers, strategies.sampled_from(["succeeded", "failed"])
            ),
            max_size=4,
        )
    )
    epoch = draw(strategies.integers(0, 3))
    named = [[job, item, outcome, {}] for job, item, outcome in rows]
    return batch_record.make_results(epoch, named, 9.0)


records = strategies.one_of(
    strategies.builds(
        batch_record.make_claim,
        strategies.integers(1, 3),
        strategies.sampled_from(["a#1", "b#1"]),
        strategies.just(1.0),
    ),
    strategies.builds(batch_record.make_release, numbers),
    strategies.builds(batch_record.make_renew, numbers),
    strategies.builds(
        batch_record.make_cancelled, jobs, strategies.just("a"), strategies.just(8.0)
    ),
    strategies.builds(batch_record.make_suspect, numbers, jobs, numbers, numbers),
    strategies.builds(
        batch_record.make_expired, jobs, strategies.sampled_from(["s-j0", "s-j1"])
    ),
    draw_results(),
)


@strategies.composite
def streams(draw):
    """Generate submissions among other records, with duplicates and malformed ones."""
    stream = [batch_record.make_claim(1, "a#1", 0.0)]
    for job in draw(strategies.lists(jobs, max_size=4)):
        stream += submit(job, submission=draw(strategies.sampled_from([None, "s-j1"])))
        stream += draw(strategies.lists(records, max_size=5))
    stream += draw(strategies.lists(records, max_size=8))
    for _ in range(draw(strategies.integers(0, 4))):
        copied = dict(draw(strategies.sampled_from(stream)))
        if draw(strategies.booleans()):
            field = draw(strategies.sampled_from(sorted(copied)))
            copied[field] = draw(strategies.sampled_from(MALFORMED))
        stream.insert(draw(strategies.integers(0, len(stream))), copied)
    return stream


def apply_all(stream, ledger=None, first=0):
    ledger = batch_ledger.Ledger() if ledger is None else ledger
    for offset, record in enumerate(stream, first):
        ledger.apply(offset, record)
    return ledger


def reload_ledger(ledger):
    copied = batch_ledger.Ledger()
    copied.load(json.loads(json.dumps(ledger.dump())))
    return copied


def dump_without_audit_events(ledger):
    """Return the dump without the audit events, which also list void records."""
    return [part for part in ledger.dump() if "notes" not in part]


@SETTINGS
@hypothesis.given(streams(), strategies.data())
def test_state_from_any_dump_equals_state_from_the_start(stream, data):
    cut = data.draw(strategies.integers(0, len(stream)))
    resumed = reload_ledger(apply_all(stream[:cut]))
    apply_all(stream[cut:], resumed, cut)
    assert json.dumps(resumed.dump()) == json.dumps(apply_all(stream).dump())
    for each in (resumed, apply_all(stream)):
        for job in each.jobs.values():
            assert job.pending == job.outcomes.count(state.PENDING)
            assert all(ref is None or ref in each.results for ref in job.refs)
        each.list_needed_offsets()


@SETTINGS
@hypothesis.given(streams())
def test_first_valid_result_stays_and_nothing_completes_after_the_end(stream):
    ledger = batch_ledger.Ledger()
    for offset, record in enumerate(stream):
        before = {
            job.submission: (job.state, bytes(job.outcomes), list(job.refs))
            for job in ledger.jobs.values()
        }
        epoch = ledger.epoch
        ledger.apply(offset, record)
        assert ledger.epoch in (epoch, epoch + 1)
        for job in ledger.jobs.values():
            state, outcomes, refs = before.get(job.submission, ("open", b"", []))
            if state != "open":
                assert (job.state, bytes(job.outcomes), job.refs) == (
                    state,
                    outcomes,
                    refs,
                )
            for item, ref in enumerate(refs):
                assert ref is None or job.refs[item] == ref
                assert ref is None or job.outcomes[item] == outcomes[item]


def test_record_of_an_owner_that_was_replaced_is_void():
    """A suspended owner resumes after a takeover and appends records of its epoch.

    Its results must not complete items that the new owner is running.
    """
    stream = [batch_record.make_claim(1, "a#1", 0.0), *submit("j0")]
    stream.append(batch_record.make_claim(2, "b#1", 0.0))
    before = dump_without_audit_events(apply_all(stream))
    stale = [
        batch_record.make_results(1, [["j0", 0, "succeeded", {}]], 9.0),
        batch_record.make_release(1),
        batch_record.make_suspect(1, "j0", 1, 2),
        batch_record.make_claim(2, "a#1", 0.0),
    ]
    assert dump_without_audit_events(apply_all(stream + stale)) == before


def test_broken_row_voids_the_whole_record():
    """A record of results is malformed after its first row.

    The item of the first row must not count as complete without a readable result.
    """
    rows = [["j0", 0, "succeeded", {}], ["j0", 1, "unheard of", {}]]
    malformed = batch_record.make_results(1, rows, 9.0)
    ledger = apply_all(
        [batch_record.make_claim(1, "a#1", 0.0), *submit("j0"), malformed]
    )
    assert ledger.jobs["j0"].pending == 4
    assert ledger.jobs["j0"].refs == [None] * 4


def test_record_appended_again_only_moves():
    """Needed records are appended again before the log drops them.

    The copies carry an old epoch. If they were void, items and results would be lost
    together with the first copies.
    """
    result = batch_record.make_results(1, [["j0", 0, "succeeded", {}]], 9.0)
    stream = [batch_record.make_claim(1, "a#1", 0.0), *submit("j0"), result]
    stream.append(batch_record.make_claim(2, "b#1", 0.0))
    state = apply_all(stream)
    assert state.list_needed_offsets() == [1, 2, 4]
    apply_all([stream[1], stream[2], result], state, 6)
    assert state.list_needed_offsets() == [6, 7, 8]
    assert state.jobs["j0"].pending == 3
    other = {**stream[1], "id": "other", "items": [{"n": 9}] * 2}
    apply_all([other, {**stream[1], "index": 7}], state, 9)
    assert state.list_needed_offsets() == [6, 7, 8]
    assert state.count_chunks(state.jobs["j0"]) == 2


def test_late_copy_of_an_expiry_drops_no_later_job():
    """The append that expires a job is duplicated, and one copy lands much later.

    The key has been used again by then, and the new job must stay.
    """
    stream = [batch_record.make_claim(1, "a#1", 0.0), *submit("j0", 2, "first")]
    stream.append(batch_record.make_cancelled("j0", "a", 8.0))
    expired = batch_record.make_expired("j0", "first")
    stream += [expired, *submit("j0", 2, "second")]
    stream += [batch_record.make_cancelled("j0", "a", 8.0), expired]
    ledger = apply_all(stream)
    assert ledger.jobs["j0"].submission == "second"
    assert list(ledger.chunks) == ["second"]


def test_empty_job_is_done_at_once():
    empty = batch_record.make_submitted(
        "j0", "s", "a", "k", "d", 0, 0, model=None, at=5.0
    )
    ledger = apply_all([empty])
    assert ledger.jobs["j0"].state == "done"
    assert reload_ledger(ledger).dump() == ledger.dump()


def make_call(name):
    """Return the records of a call's claim and its end."""
    claimed = batch_record.make_call_claimed(name, f"r-{name}", "a#1", "d", 1.0)
    return claimed, batch_record.make_call_ended(name, f"r-{name}", "ran", {})


def test_call_that_never_ends_keeps_no_ended_ones(monkeypatch):
    """An entry crashes during a call, and later calls end, some out of order.

    The table of calls and the checkpoints must stay bounded although the first call
    never ends.
    """
    monkeypatch.setattr(batch_ledger, "MAX_ENDED_CALLS", 3)
    stuck, _ = make_call("stuck")
    long, long_end = make_call("long")
    short = [record for n in range(9) for record in make_call(f"c{n}")]
    stream = [stuck, long, *short, long_end, stuck]
    ledger = apply_all(stream)
    assert list(ledger.calls) == ["stuck", "c7", "c8", "long"]
    for cut in range(len(stream)):
        resumed = reload_ledger(apply_all(stream[:cut]))
        assert apply_all(stream[cut:], resumed, cut).dump() == ledger.dump()


def test_call_that_ended_as_not_run_is_counted_once(monkeypatch):
    monkeypatch.setattr(batch_ledger, "MAX_ENDED_CALLS", 2)
    claimed, ended = make_call("again")
    not_run = {**ended, "verdict": "not_run"}
    malformed = [{**ended, "verdict": []}, {"type": ended["type"], "call": "again"}]
    ledger = apply_all(
        [claimed, *malformed, *[not_run, claimed] * 5, *make_call("b"), ended]
    )
    assert list(ledger.calls) == ["b", "again"]
    assert ledger.calls["again"].verdict == "ran"
