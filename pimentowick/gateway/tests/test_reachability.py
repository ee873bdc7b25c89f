import math

import pytest

from pimentowick.gateway.policy import reachability


class Entry:
    """A simulated entry that renews its lease each half second.

    Args:
        starts_at: Time of its first renewal attempt.
        get_latency: Function from the time of an attempt to the seconds until its
            answer; infinite if the answer is lost, negative if it is a refusal.
    """

    def __init__(self, starts_at, get_latency):
        self.renewed_at = -math.inf
        self.cut_off_at = None
        self.cancelled = 0
        self._get_latency = get_latency
        self._reachability = reachability.Reachability()
        self._next_at = starts_at
        self._attempt_started_at = None

    def step(self, now, peers_renewed_at):
        """Advance to a time, some milliseconds after the last step."""
        is_new = self._reachability.observe_peers(now, peers_renewed_at)
        if self._attempt_started_at is None:
            if is_new or now >= self._next_at:
                self._attempt_started_at = now
                self._reachability.start_attempt(now)
        else:
            self._check_attempt(now, is_new)
        if self.cut_off_at is None and self._reachability.is_cut_off(now, -math.inf):
            self.cut_off_at = now

    def _check_attempt(self, now, is_new):
        took_s = now - self._attempt_started_at
        latency_s = self._get_latency(self._attempt_started_at)
        if 0 <= latency_s <= took_s:
            self._reachability.record_success()
            self.renewed_at = now
            self._end(now + 0.45)
        elif is_new or took_s >= min(1.0, abs(latency_s)):
            self.cancelled += is_new
            self._reachability.record_failure()
            self._end(now if is_new else now + 0.45)

    def _end(self, next_at):
        self._reachability.end_attempt()
        self._attempt_started_at = None
        self._next_at = next_at


def replay(schedules, until=12.0):
    """Run entries side by side; reports of renewals arrive after 0.05 s."""
    entries = [Entry(0.11 * n, schedule) for n, schedule in enumerate(schedules)]
    reports = []
    now = 0.0
    while now < until:
        reports = [(at, times) for at, times in reports if at > now - 1.0]
        received = [times for at, times in reports if at <= now - 0.05]
        for index, entry in enumerate(entries):
            others = [row[m] for row in received for m in range(len(row)) if m != index]
            entry.step(now, max(others, default=-math.inf))
        reports.append((now, [entry.renewed_at for entry in entries]))
        now += 0.01
    return entries


def make_outage(begin, end, refused=None):
    """Return latencies of 4 ms, with lost answers or refusals from `begin` to `end`."""

    def get_latency(at):
        if not begin <= at < end:
            return 0.004
        return math.inf if refused is None else -refused

    return get_latency


@pytest.mark.parametrize("refused", [None, 0.004])
def test_no_entry_is_cut_off_while_the_store_is_away_for_all(refused):
    # Entries renew at different times, so in an outage most know peers that renewed
    # after they did but before the outage. If these renewals counted, all entries but
    # the last would stop their batch items. So would entries whose attempt still waits
    # when others renew after the outage.
    entries = replay([make_outage(3.0, 8.0, refused)] * 9)
    assert [entry.cut_off_at for entry in entries] == [None] * 9
    assert all(entry.renewed_at > 11.0 for entry in entries)


# Half of the time for which a submitted job is held.
MAX_DETECTION_S = 1.5


@pytest.mark.parametrize("refused", [None, 0.004])
def test_entry_that_alone_lost_the_store_detects_it_soon(refused):
    # A third of the entries loses the store while the others are served. Requests sent
    # to them time out until they detect it.
    schedules = [make_outage(3.0, 9.0, refused)] * 3 + [make_outage(0, 0)] * 6
    entries = replay(schedules)
    for entry in entries[:3]:
        assert 3.0 < entry.cut_off_at < 3.0 + MAX_DETECTION_S
    assert [entry.cut_off_at for entry in entries[3:]] == [None] * 6


def test_attempt_with_a_lost_answer_is_cancelled_when_the_store_recovers():
    # Attempts that start just after the outage succeed. Those that started just before
    # it ended would wait for another second.
    entries = replay([make_outage(3.0, 7.6)] * 9)
    assert sum(entry.cancelled for entry in entries) > 2
    assert [entry.cut_off_at for entry in entries] == [None] * 9


def test_store_that_answers_other_calls_is_reachable():
    tracker = reachability.Reachability()
    for now in (1.0, 2.0):
        tracker.start_attempt(now)
        tracker.record_failure()
        tracker.end_attempt()
        tracker.observe_peers(now + 0.5, now + 0.4)
    assert tracker.is_cut_off(3.0, served_at=1.2)
    assert not tracker.is_cut_off(3.0, served_at=1.8)
