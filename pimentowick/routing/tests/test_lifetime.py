import random

from pimentowick.external import engine
from pimentowick.routing import lifetime


def replay(drop, lag=0.0):
    """Replay events of blocks stored once a second and evicted 30 s later."""
    rng = random.Random(5)
    estimate = lifetime.CacheLifetimeEstimator()
    sequence = 0
    for second in range(200):
        events = [("stored", second)]
        events += [("evicted", second - 30)] if second >= 30 else []
        delivered = []
        for kind, block in events:
            if rng.random() >= drop:
                delivered.append(engine.CacheEvent(sequence, kind, str(block)))
            sequence += 1
        estimate.record_events(delivered, sequence, second + lag)
    return estimate


def test_late_and_lost_events_do_not_bias_the_estimate():
    """Guards against a biased lifetime estimate from delayed or lost events.

    An overestimate would route requests to caches that have evicted their prefix.
    """
    for drop in (0.0, 0.3, 0.7):
        for lag in (0.0, 20.0):
            assert replay(drop, lag).estimate() == 30.0


def test_engine_restart_is_detected():
    """Guards against discarding the events of a restarted engine as duplicates.

    A restarted engine has an empty cache and numbers its events from 0.
    """
    estimate = replay(0.0)
    assert estimate.resume_sequence > 100
    estimate.record_events([], 3, 500.0)
    assert estimate.estimate() is None
    estimate.record_events([engine.CacheEvent(3, "stored", "b")], 4, 501.0)
    estimate.record_events([engine.CacheEvent(4, "evicted", "b")], 5, 503.0)
    assert estimate.estimate() == 2.0


def test_event_read_twice_counts_once():
    estimate = lifetime.CacheLifetimeEstimator()
    stored = engine.CacheEvent(0, "stored", "b")
    estimate.record_events([stored], 1, 1.0)
    estimate.record_events([stored], 1, 9.0)
    estimate.record_events([engine.CacheEvent(1, "evicted", "b")], 2, 11.0)
    assert estimate.estimate() == 10.0
