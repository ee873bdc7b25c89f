import random

from pimentowick.gateway.policy import latency_quantile

MEDIAN_S = 0.5


def test_median_follows_a_wave_that_fills_the_targets():
    # Guards against an allowance that stays at its usual value while targets are full.
    rng = random.Random(1)
    latency = latency_quantile.LatencyQuantile(0.08)
    for _ in range(200):
        latency.record(rng.uniform(0.02, 0.04))
    usual_s = latency.estimate(0.5)
    assert 0.02 < usual_s < 0.04
    for _ in range(latency_quantile.MEMORY):
        latency.record(rng.uniform(0.2, 0.4))
    assert latency.estimate(0.5) > 5 * usual_s


def test_times_beyond_all_bins_are_counted():
    # Guards against a time that is lost because it is longer than any expected.
    latency = latency_quantile.LatencyQuantile(0.08)
    for seconds in (0.0, 1e9) * 10:
        latency.record(seconds)
    assert latency.estimate(0.9) > 1.0 > latency.estimate(0.1)
