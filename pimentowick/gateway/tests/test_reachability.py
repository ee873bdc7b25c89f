import math

import pytest

from pimentowick.gateway.policy import reachability


class Entry:
    """An entry in a replay: it renews each half second, told by a schedule of answers.

    Args:
        begins_at: Time of its first renewal.
        answer: Function from the time of a try to the seconds until its answer;
            infinite if none comes, negative if the store refuses after so long.
    """

    def __init__(self, begins_at, answer):
        self.renewed_at = -math.inf
        self.cut_off_at = None
        self.broken_off = 0
        self._answer = answer
        self._found = reachability.Reachability()
        self._next_at = begins_at
        self._began_at = None

    def step(self, now, others_renewed_at):
        """Do what is due at a time, some milliseconds after the step before."""
        sees = self._found.observe_peers(now, others_renewed_at)
        if self._began_at is None:
            if sees or now >= self._next_at:
                self._began_at = now
                self._found.start_attempt(now)
        else:
            self._look_at_try(now, sees)
        if self.cut_off_at is None and self._found.is_cut_off(now, -math.inf):
            self.cut_off_at = now

    def _look_at_try(self, now, sees):
        took_s = now - self._began_at
        answer_s = self._answer(self._began_at)
        if 0 <= answer_s <= took_s:
            self._found.record_success()
            self.renewed_at = now
            self._end(now + 0.45)
        elif sees or took_s >= min(1.0, abs(answer_s)):
            self.broken_off += sees
            self._found.record_failure()
            self._end(now if sees else now + 0.45)

    def _end(self, next_at):
        self._found.end_attempt()
        self._began_at = None
        self._next_at = next_at


def replay(answers, until=12.0):
    """Let entries renew side by side; news of a renewal takes 0.05 s."""
    entries = [Entry(0.11 * n, answer) for n, answer in enumerate(answers)]
    told = []
    now = 0.0
    while now < until:
        told = [(at, what) for at, what in told if at > now - 1.0]
        heard = [what for at, what in told if at <= now - 0.05]
        for index, entry in enumerate(entries):
            others = [row[m] for row in heard for m in range(len(row)) if m != index]
            entry.step(now, max(others, default=-math.inf))
        told.append((now, [entry.renewed_at for entry in entries]))
        now += 0.01
    return entries


def make_outage(begin, end, refused=None):
    """Return answers that take 4 ms, and none or a refusal from `begin` to `end`."""

    def answer(at):
        if not begin <= at < end:
            return 0.004
        return math.inf if refused is None else -refused

    return answer


@pytest.mark.parametrize("refused", [None, 0.004])
def test_no_entry_is_cut_off_while_the_store_is_away_for_all(refused):
    # The store goes down for some seconds. Entries renew at different moments, so that
    # each finds others that were renewed after it, and before the store went away.
    # Taking these for its successors, all but the last would stop their batch items
    # until the store is back, and at its return those whose try still waits would.
    entries = replay([make_outage(3.0, 8.0, refused)] * 9)
    assert [entry.cut_off_at for entry in entries] == [None] * 9
    assert all(entry.renewed_at > 11.0 for entry in entries)


# Half of the time that a caller's job would be held.
SOON_S = 1.5


@pytest.mark.parametrize("refused", [None, 0.004])
def test_entry_that_the_store_turns_away_alone_knows_it_soon(refused):
    # A third of the entries loses the store, the others are served. The callers that
    # come to these would wait until their time is up.
    answers = [make_outage(3.0, 9.0, refused)] * 3 + [make_outage(0, 0)] * 6
    entries = replay(answers)
    for entry in entries[:3]:
        assert 3.0 < entry.cut_off_at < 3.0 + SOON_S
    assert [entry.cut_off_at for entry in entries[3:]] == [None] * 6


def test_try_that_waits_for_a_lost_answer_is_broken_off_as_the_store_is_back():
    # Some entries begin a try just after the end of the outage and are renewed; others
    # began theirs just before, and would wait for it for a second.
    entries = replay([make_outage(3.0, 7.6)] * 9)
    assert sum(entry.broken_off for entry in entries) > 2
    assert [entry.cut_off_at for entry in entries] == [None] * 9


def test_store_that_serves_other_calls_has_turned_nobody_away():
    found = reachability.Reachability()
    for now in (1.0, 2.0):
        found.start_attempt(now)
        found.record_failure()
        found.end_attempt()
        found.observe_peers(now + 0.5, now + 0.4)
    assert found.is_cut_off(3.0, served_at=1.2)
    assert not found.is_cut_off(3.0, served_at=1.8)
