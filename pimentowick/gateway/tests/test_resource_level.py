import random

import pytest

from pimentowick.fakes import platform_site
from pimentowick.gateway import resource_use, traffic
from pimentowick.gateway.policy import memory_budget, resource_level

STEP_S = 0.3


def count_changes(shares, rise_s=0.0):
    tracker = resource_level.ResourceLevel(rise_s)
    levels = [tracker.update(share, n * STEP_S) for n, share in enumerate(shares)]
    pairs = zip([resource_level.Level.NORMAL, *levels], levels, strict=False)
    return sum(before != after for before, after in pairs), levels


@pytest.mark.parametrize("seed", range(5))
def test_use_that_flaps_around_a_threshold_changes_the_level_once(seed):
    # Guards against a level that is taken back and forth with each observation.
    rng = random.Random(seed)
    changes, levels = count_changes([rng.uniform(0.68, 0.82) for _ in range(400)])
    assert changes == 1
    assert levels[-1] == resource_level.Level.HIGH


@pytest.mark.parametrize("period", [2, 4, 6])
def test_waves_shorter_than_the_release_time_keep_the_level(period):
    # Guards against a level that falls in each trough between two waves.
    shares = [0.95 if n // period % 2 else 0.3 for n in range(200)]
    changes, _ = count_changes(shares)
    assert changes == 1


def test_level_returns_to_normal_after_the_load_has_ended():
    # Guards against a host that restricts callers for ever after one burst.
    changes, levels = count_changes([0.95] * 5 + [0.2] * 30)
    assert levels[4] == resource_level.Level.CRITICAL
    assert levels[-1] == resource_level.Level.NORMAL
    assert changes == 3


def test_short_peak_of_processor_use_does_not_raise_its_level():
    # Guards against a restriction for each parse of a large configuration.
    rise_s = resource_level.RISE_S[resource_level.Resource.PROCESSOR]
    assert count_changes([0.2, 1.0, 1.0, 0.2] * 20, rise_s)[0] == 0
    assert count_changes([1.0] * 10, rise_s)[0] > 0


def make_monitor(**limits):
    settings = platform_site.make_settings("127.0.0.1:1", **limits)
    counted = traffic.Traffic()
    budget = memory_budget.MemoryBudget()
    sockets = []
    monitor = resource_use.ResourceMonitor(
        settings, budget, lambda: len(sockets), counted
    )
    return monitor, budget, sockets, counted


def test_levels_follow_what_is_used(monkeypatch):
    # Guards against a limit that is read and never compared with the use.
    resident = [50e6]
    monkeypatch.setattr(resource_use, "read_resident_bytes", lambda: resident[0])
    monkeypatch.setattr(resource_use, "trim_heap", lambda: None)
    monitor, budget, sockets, counted = make_monitor(
        memory_mb=160.0, max_descriptors=300, link_mbps=8.0, processor_cores=1000.0
    )
    assert budget.capacity == pytest.approx(47e6)
    sockets += [None] * 95
    resident[0] = 125e6
    now = monitor._counters.observed_at
    for step in range(1, 8):
        counted.sent += 950_000 * 0.3
        monitor.observe(now + step * 0.3)
    resource = resource_level.Resource
    assert monitor.get_level(resource.MEMORY) == resource_level.Level.HIGH
    assert monitor.get_level(resource.DESCRIPTORS) == resource_level.Level.CRITICAL
    assert monitor.get_level(resource.LINK_OUT) == resource_level.Level.CRITICAL
    assert monitor.get_level(resource.LINK_IN) == resource_level.Level.NORMAL
    assert monitor.get_level(resource.PROCESSOR) == resource_level.Level.NORMAL
    assert budget.capacity == pytest.approx(9.5e6)


def test_host_without_limits_is_not_watched():
    # Guards against a change for hosts whose settings give no limits.
    monitor, budget, _, _ = make_monitor()
    assert not monitor.is_limited
    assert not budget.is_limited
    limited, _, _, _ = make_monitor(memory_mb=160.0)
    assert limited.is_limited


def test_changed_limits_take_effect():
    # Guards against limits that hold until the next start.
    monitor, budget, _, _ = make_monitor(memory_mb=1000.0)
    monitor.settings = platform_site.make_settings("127.0.0.1:1", memory_mb=2000.0)
    before = budget.capacity
    monitor.observe(monitor._counters.observed_at + 1.0)
    assert budget.capacity > before
    monitor.settings = platform_site.make_settings("127.0.0.1:1")
    monitor.observe(monitor._counters.observed_at + 1.0)
    assert budget.capacity is None
