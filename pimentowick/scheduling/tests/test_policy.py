import random

from pimentowick.scheduling import fairness, model, step, token_accounting


def train(limiter, per_stream_ms=0.4, prefill_ms=0.02, steps=400):
    """Train a limiter with steps of an engine whose base step time is 20 ms."""
    rng = random.Random(1)
    for _ in range(steps):
        online, batch = rng.randrange(1, 8), rng.randrange(8)
        prompt_chars = 400 * (rng.random() < 0.2)
        duration_ms = 20 + per_stream_ms * (online + batch) + prefill_ms * prompt_chars
        limiter.observe_step(step.Step(duration_ms, online, batch, prompt_chars))
        limiter.observe_step(step.Step(duration_ms, online, batch, 0, prompt_chars))


def test_limits_follow_the_engine():
    averse = model.make_limiter("averse", 32)
    throughput = model.make_limiter("throughput", 32)
    for each in (averse, throughput):
        train(each)
    assert [averse.get_limit(online) for online in (0, 1, 8)] == [32, 2, 2]
    assert [throughput.get_limit(online) for online in (0, 1, 8)] == [32, 6, 6]


def test_limit_falls_with_a_slower_engine():
    limiter = model.make_limiter("throughput", 32)
    train(limiter)
    before = limiter.get_limit(4)
    train(limiter, per_stream_ms=2.0, steps=4000)
    assert limiter.get_limit(4) < before


def test_stall_does_not_change_the_model():
    """Guards against fitting the model to a stall of the agent's process.

    A step that appears to take a second would raise the estimated base time and with
    it the limit, and batch items would slow down online requests.
    """
    limiter = model.make_limiter("averse", 32)
    train(limiter)
    limiter.observe_step(step.Step(1000.0, online=4, batch=2))
    assert limiter.predict(0) < 21


def test_prompts_are_prefilled_one_at_a_time():
    """Guards against prefilling many long prompts in one step of an idle engine.

    A burst of online requests would have to wait until all of them are prefilled.
    """
    limiter = model.make_limiter("averse", 32)
    train(limiter)
    assert limiter.can_start(4000, prefilling=0, online=0, batch=0)
    assert not limiter.can_start(4000, prefilling=4000, online=0, batch=1)
    assert not limiter.can_start(40_000, prefilling=400, online=4, batch=1)


def test_idle_time_is_not_counted_as_a_step():
    """Guards against counting the idle time between two streams as a slow step."""
    now = [0.0]
    steps = []
    step_tracker = step.StepTracker(steps.append, clock=lambda: now[0])
    for name in ("a", "b"):
        for _ in range(3):
            now[0] += 0.02
            step_tracker.observe_token(name, is_batch=False)
        step_tracker.observe_end(name)
        now[0] += 5.0
    assert [round(each.duration_ms) for each in steps] == [20, 20, 20]


def test_equal_workspaces_get_equal_tokens():
    queue = fairness.FairQueue()
    for number in range(1000):
        queue.push("flood", ("flood", number), cost=10)
    for number in range(100):
        queue.push("calm", ("calm", number), cost=10)
    names = [queue.pop()[0] for _ in range(180)]
    assert abs(names.count("calm") - names.count("flood")) <= 1


def test_preempted_request_goes_first():
    queue = fairness.FairQueue()
    for name in ("a", "b"):
        queue.push(name, f"{name}-new", cost=10)
    queue.push("a", "a-preempted", cost=10, charged=True)
    queue.pop()
    queue.push("b", "b-preempted", cost=10, charged=True)
    assert queue.pop() in ("a-preempted", "b-preempted", "b-new")
    assert len(queue) == 2


def test_idle_workspace_gains_no_credit():
    """Guards against crediting a workspace for the time in which it was idle.

    With such a credit the other workspaces would starve until it has caught up.
    """
    accounting = token_accounting.TokenAccounting()
    accounting.sort(["busy", "back"])
    accounting.record_report("agent", {"busy": 0.0, "back": 0.0})
    accounting.sort(["busy"])
    accounting.record_report("agent", {"busy": 10_000.0, "back": 0.0})
    assert accounting.sort(["back", "busy"]) == ["back", "busy"]
    accounting.begin("back", weight=1.0)
    assert accounting.sort(["back", "busy"]) == ["busy", "back"]
