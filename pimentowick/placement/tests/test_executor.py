import pytest


def test_an_order_reaches_the_engine_once_however_often_it_is_sent(run_bench):
    """The agent's answers are lost and the controller retries its order. The engine
    must not load the same weights for each retry."""

    async def check(bench):
        order = bench.make_order(5)
        for _ in range(5):
            await bench.send(order)
        assert await bench.wait_until_ended(order) == "done"
        await bench.send(order)
        assert bench.list_orders() == [("load", "new")]
        assert bench.store.transfer_count == 1
        assert "new" in bench.agent.describe()["models"]

    run_bench(check)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_stale_controller_is_refused(run_bench, check_fence):
    """A controller is suspended, another one takes over, and the first one resumes and
    sends an old order. The agent must refuse it, also for engines that ignore fencing
    tokens, or a model would be lost on which the new controller relies."""

    async def check(bench):
        assert await bench.wait_until_ended(bench.make_order(7)) == "done"
        stale = bench.make_order(6, "unload", "old")
        assert (await bench.send(stale))[0] == 409
        assert bench.list_orders() == [("load", "new")]

    run_bench(check, check_fence=check_fence)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_stale_controller_is_refused_after_a_restart_of_the_agent(
    run_bench, check_fence
):
    """The agent restarts after an order of the new controller and forgets the fencing
    token. It must still refuse a retry by the old controller, also for engines that
    ignore fencing tokens."""

    async def check(bench):
        stale = bench.make_order(6, "unload", "old")
        assert await bench.wait_until_ended(bench.make_order(7)) == "done"
        await bench.restart_agent()
        assert bench.agent.orders.fence == 0
        assert (await bench.send(stale))[0] == 409
        assert bench.list_orders() == [("load", "new")]
        assert await bench.wait_until_ended(bench.make_order(7, name="other")) == "done"

    run_bench(check, check_fence=check_fence)


def test_a_new_agent_waits_until_orders_of_the_last_one_have_ended(run_bench):
    """The agent crashes while the engine executes its order. An order that the new
    agent sends at once could be overtaken by the older one."""

    async def check(bench):
        await bench.restart_agent(settle_s=0.5)
        assert not bench.agent.describe()["settled"]
        order = bench.make_order(5)
        await bench.send(order)
        await bench.wait_for(lambda: bench.list_orders())
        assert bench.agent.describe()["settled"]

    run_bench(check)


def test_a_lost_answer_of_the_engine_is_settled_by_repetition(run_bench):
    """The engine unloads a model and the answer is lost. If the agent still reported
    the model as loaded, requests would be routed to it."""

    async def check(bench):
        await bench.wait_until_ended(bench.make_order(5))
        bench.place_fault(bench.engine, "lose_answer", count=1, path="/orders")
        order = bench.make_order(5, "unload", "old")
        await bench.send(order)
        await bench.wait_for(lambda: len(bench.list_orders()) == 2)
        await bench.wait_for(lambda: bench.agent.orders._current is None)
        assert "old" not in bench.agent.describe()["models"]
        assert await bench.wait_until_ended(order) == "done"
        assert "old" not in bench.agent.describe()["models"]
        assert bench.list_orders() == [("load", "new")] + [("unload", "old")] * 2

    run_bench(check)


def test_a_repeated_load_does_not_transfer_the_weights_again(run_bench):
    """The engine's answer to a load is lost. A second transfer of the same weights
    would take bandwidth of the weight store from other loads."""

    async def check(bench):
        bench.place_fault(bench.engine, "lose_answer", count=1, path="/orders")
        assert await bench.wait_until_ended(bench.make_order(5)) == "done"
        assert bench.list_orders() == [("load", "new")] * 2
        assert bench.store.transfer_count == 1

    run_bench(check)


def test_a_load_fails_while_the_weight_store_is_down(run_bench):
    """The weight store is down. The engine must not be told to load missing weights,
    and must keep serving its loaded models."""

    async def check(bench):
        bench.place_fault(bench.store, "down")
        assert await bench.wait_until_ended(bench.make_order(5)) == "failed"
        assert bench.list_orders() == []
        assert "old" in bench.agent.describe()["models"]
        bench.place_fault(bench.store, "clear")
        assert await bench.wait_until_ended(bench.make_order(5)) == "done"

    run_bench(check)


def test_a_newer_controller_cancels_the_transfer_of_an_older_one(run_bench):
    """A controller crashes during a long transfer. The next one must not have to wait
    for a transfer that it may not need."""

    async def check(bench):
        bench.store.bytes_per_s = 100.0
        old = bench.make_order(5)
        await bench.send(old)
        await bench.wait_for(lambda: bench.store.transfer_count == 1)
        assert (await bench.send(bench.make_order(9, "fence", "")))[0] == 200
        assert (await bench.send(old))[0] == 409
        bench.store.bytes_per_s = 1e6
        assert await bench.wait_until_ended(bench.make_order(9, name="other")) == "done"
        assert bench.list_orders() == [("load", "other")]

    run_bench(check)


def test_malformed_orders_are_refused(run_bench):
    async def check(bench):
        body = {"id": "0" * 8, "fence": True, "boot": "b", "action": "load"}
        answer = await bench.client.fetch("POST", bench.agent.address, "/orders", body)
        assert answer.status == 400
        assert bench.agent.orders.fence == 0

    run_bench(check)
