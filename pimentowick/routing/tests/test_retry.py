from pimentowick.routing import retry


def count_allowed_retries(budget, count):
    """Return how many of `count` lost requests may be retried."""
    for _ in range(count):
        budget.record_request()
    return sum(budget.take() for _ in range(count))


def test_failures_seconds_apart_are_all_retried():
    # Guards against failing requests when connections are lost twice within seconds.
    # The fraction alone yields too few tokens on an entry with low load.
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    assert count_allowed_retries(budget, 11) == 11
    now[0] = 2.0
    assert count_allowed_retries(budget, 12) == 12


def test_retries_in_a_long_outage_stay_within_the_budget():
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    taken = 0
    for _ in range(100):
        now[0] += 0.1
        taken += count_allowed_retries(budget, 50)
    # Tokens of ten seconds and 5,000 requests, and the initial ones.
    assert taken <= 10 * 10 + 500 + retry.INITIAL_TOKENS + 1
    assert taken >= 0.9 * (10 * 10 + 500)


def test_budget_is_bounded_while_nothing_fails():
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    now[0] = 3600.0
    assert count_allowed_retries(budget, 200) <= retry.MAX_TOKENS + 20
