from pimentowick.routing import retry


def lose(budget, count):
    """Return how many of some lost requests may be tried again."""
    for _ in range(count):
        budget.record_request()
    return sum(budget.take() for _ in range(count))


def test_losses_some_time_apart_are_all_tried_again():
    # Twelve requests are on connections that fall silent, and two seconds later twelve
    # more. An entry with few requests has no share of them to make up for that.
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    assert lose(budget, 11) == 11
    now[0] = 2.0
    assert lose(budget, 12) == 12


def test_outage_that_lasts_gets_no_more_than_the_share_and_the_least():
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    taken = 0
    for _ in range(100):
        now[0] += 0.1
        taken += lose(budget, 50)
    # Ten seconds, 5,000 requests, and what was there at the begin.
    assert taken <= 10 * 10 + 500 + retry.FIRST_TOKENS + 1
    assert taken >= 0.9 * (10 * 10 + 500)


def test_budget_does_not_grow_without_end_while_nothing_is_lost():
    now = [0.0]
    budget = retry.RetryBudget(0.1, min_per_s=10.0, clock=lambda: now[0])
    now[0] = 3600.0
    assert lose(budget, 200) <= retry.MAX_TOKENS + 20
