import random

import pytest

from pimentowick.gateway.policy import outlier_detection

TARGETS = [f"t{n}" for n in range(22)]


class Entries:
    """Entries that tell each other all their counts every 0.1 s."""

    def __init__(self, count, domains=3):
        self.found = [
            outlier_detection.OutlierDetection(f"d{n % domains}") for n in range(count)
        ]
        self.resting = [set() for _ in self.found]

    def exchange(self, now):
        for number, entry in enumerate(self.found):
            told = entry.build_report(now)
            for other in self.found:
                if other is not entry:
                    other.update_peer(number, entry.failure_domain, told)
        self.resting = [set(entry.find_outliers(TARGETS, now)) for entry in self.found]


def replay(seed, is_bad, seconds=8, per_second=200, domains=3):
    """Return (bad outcomes, share of time that sound targets rest)."""
    draw = random.Random(seed)
    entries = Entries(12, domains)
    bad = 0
    rests = 0
    for tick in range(seconds * 10):
        now = tick / 10
        for _ in range(per_second // 10):
            number = draw.randrange(12)
            usable = [t for t in TARGETS if t not in entries.resting[number]]
            target = draw.choice(usable)
            failed = is_bad(target, number, draw)
            bad += failed
            entries.found[number].record_outcome(target, not failed, now)
        entries.exchange(now)
        rests += sum(len(resting - {"t0", "t1"}) for resting in entries.resting)
    return bad, rests / (seconds * 10 * 12 * 20)


@pytest.mark.parametrize("share", [0.4, 1.0])
def test_target_that_fails_its_requests_soon_gets_few(share):
    # Two of 22 targets fail a part or all of what they are sent, and are listed as
    # sound. Without this each gets its share of the requests until it recovers.
    def is_bad(target, number, draw):
        return target in ("t0", "t1") and draw.random() < share

    for seed in range(5):
        bad, rests = replay(seed, is_bad)
        baseline = 2 / 22 * 200 * 8 * share
        assert bad < baseline / 2
        assert rests < 0.02


def test_lost_answers_of_sound_targets_make_none_rest():
    # Half of the targets lose 3 in 100 of their answers.
    def is_bad(target, number, draw):
        return int(target[1:]) % 2 == 0 and draw.random() < 0.03

    assert max(replay(seed, is_bad)[1] for seed in range(5)) < 0.005


def test_target_that_fails_one_failure_domain_serves_the_others():
    # A target fails the callers of one failure domain only. The entries there leave
    # it alone; resting for all, it would be lost to those whom it serves.
    def is_bad(target, number, draw):
        return target == "t0" and number % 3 == 0 and draw.random() < 0.8

    entries = Entries(12)
    draw = random.Random(1)
    for tick in range(30):
        for number in range(12):
            for _ in range(3):
                failed = is_bad("t0", number, draw)
                entries.found[number].record_outcome("t0", not failed, tick / 10)
        entries.exchange(tick / 10)
    near = [resting for n, resting in enumerate(entries.resting) if n % 3 == 0]
    far = [resting for n, resting in enumerate(entries.resting) if n % 3]
    assert all(near) and not any(far)


def test_entry_that_is_cut_off_does_not_take_all_targets_for_unsound():
    found = outlier_detection.OutlierDetection("a")
    for target in TARGETS:
        for _ in range(9):
            found.record_outcome(target, False, 0.0)
    assert len(found.find_outliers(TARGETS, 0.0)) == 4
    assert len(found.find_outliers(TARGETS[:2], 0.0)) == 1
    assert not found.find_outliers(TARGETS[:1], 0.0)


def test_target_gets_requests_again_once_its_failures_have_faded():
    found = outlier_detection.OutlierDetection("a")
    for _ in range(6):
        found.record_outcome("t0", False, 0.0)
    assert found.find_outliers(TARGETS, 0.5) == {"t0": pytest.approx(6 * 0.5**0.25)}
    assert not found.find_outliers(TARGETS, 2.5)
    assert found.build_report(60.0) == {}


def test_two_neighbours_have_to_agree_and_one_that_is_gone_is_not_counted():
    found = outlier_detection.OutlierDetection("a")
    found.update_peer("p", "b", {"t0": [9.0, 1.0]})
    assert not found.find_outliers(TARGETS)
    found.update_peer("q", "b", {"t0": [2.0, 1.0]})
    assert list(found.find_outliers(TARGETS)) == ["t0"]
    found.update_peer("p", "b", {})
    assert not found.find_outliers(TARGETS)
