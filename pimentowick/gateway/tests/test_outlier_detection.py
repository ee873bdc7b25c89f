import random

import pytest

from pimentowick.gateway.policy import outlier_detection

TARGETS = [f"t{n}" for n in range(22)]


class Entries:
    """Entries that exchange their reports."""

    def __init__(self, count, domains=3):
        self.detections = [
            outlier_detection.OutlierDetection(f"d{n % domains}") for n in range(count)
        ]
        self.ejected = [set() for _ in self.detections]

    def exchange(self, now):
        for number, entry in enumerate(self.detections):
            report = entry.build_report(now)
            for other in self.detections:
                if other is not entry:
                    other.update_peer(number, entry.failure_domain, report)
        self.ejected = [
            set(entry.find_outliers(TARGETS, now)) for entry in self.detections
        ]


def replay(seed, is_failure, duration_s=8, requests_per_s=200, domains=3):
    """Return the failures, and the share of time that healthy targets are ejected."""
    draw = random.Random(seed)
    entries = Entries(12, domains)
    failures = 0
    ejected_count = 0
    for tick in range(duration_s * 10):
        now = tick / 10
        for _ in range(requests_per_s // 10):
            number = draw.randrange(12)
            usable = [t for t in TARGETS if t not in entries.ejected[number]]
            target = draw.choice(usable)
            failed = is_failure(target, number, draw)
            failures += failed
            entries.detections[number].record_outcome(target, not failed, now)
        entries.exchange(now)
        ejected_count += sum(len(ejected - {"t0", "t1"}) for ejected in entries.ejected)
    return failures, ejected_count / (duration_s * 10 * 12 * 20)


@pytest.mark.parametrize("share", [0.4, 1.0])
def test_failing_targets_soon_get_few_requests(share):
    # Two of 22 targets fail some or all requests while listed as healthy. Without
    # outlier detection they would keep their share of the requests.
    def is_failure(target, number, draw):
        return target in ("t0", "t1") and draw.random() < share

    for seed in range(5):
        failures, ejected_count = replay(seed, is_failure)
        baseline = 2 / 22 * 200 * 8 * share
        assert failures < baseline / 2
        assert ejected_count < 0.02


def test_packet_loss_ejects_no_healthy_target():
    # Half of the targets lose 3% of their answers.
    def is_failure(target, number, draw):
        return int(target[1:]) % 2 == 0 and draw.random() < 0.03

    assert max(replay(seed, is_failure)[1] for seed in range(5)) < 0.005


def test_target_failing_for_one_failure_domain_serves_the_others():
    # A target fails only for one failure domain. Ejected by all entries, its capacity
    # would be lost to the domains that it still serves.
    def is_failure(target, number, draw):
        return target == "t0" and number % 3 == 0 and draw.random() < 0.8

    entries = Entries(12)
    draw = random.Random(1)
    for tick in range(30):
        for number in range(12):
            for _ in range(3):
                failed = is_failure("t0", number, draw)
                entries.detections[number].record_outcome("t0", not failed, tick / 10)
        entries.exchange(tick / 10)
    near = [ejected for n, ejected in enumerate(entries.ejected) if n % 3 == 0]
    far = [ejected for n, ejected in enumerate(entries.ejected) if n % 3]
    assert all(near) and not any(far)


def test_partitioned_entry_does_not_eject_all_targets():
    detection = outlier_detection.OutlierDetection("a")
    for target in TARGETS:
        for _ in range(9):
            detection.record_outcome(target, False, 0.0)
    assert len(detection.find_outliers(TARGETS, 0.0)) == 4
    assert len(detection.find_outliers(TARGETS[:2], 0.0)) == 1
    assert not detection.find_outliers(TARGETS[:1], 0.0)


def test_target_is_readmitted_once_its_failures_have_decayed():
    detection = outlier_detection.OutlierDetection("a")
    for _ in range(6):
        detection.record_outcome("t0", False, 0.0)
    assert detection.find_outliers(TARGETS, 0.5) == {"t0": pytest.approx(6 * 0.5**0.25)}
    assert not detection.find_outliers(TARGETS, 2.5)
    assert detection.build_report(60.0) == {}


def test_ejection_takes_two_neighbours_and_ignores_removed_ones():
    detection = outlier_detection.OutlierDetection("a")
    detection.update_peer("p", "b", {"t0": [9.0, 1.0]})
    assert not detection.find_outliers(TARGETS)
    detection.update_peer("q", "b", {"t0": [2.0, 1.0]})
    assert list(detection.find_outliers(TARGETS)) == ["t0"]
    detection.update_peer("p", "b", {})
    assert not detection.find_outliers(TARGETS)
