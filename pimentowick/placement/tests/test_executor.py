import pytest


def test_an_order_reaches_the_engine_once_however_often_it_is_sent(run_bench):
    """The agent's answers are lost and the decider repeats its order. If each
    repetition went to the engine, it would load the same weights over and over."""

    async def check(bench):
        order = bench.make_order(5)
        for _ in range(5):
            await bench.send(order)
        assert await bench.see_to(order) == "done"
        await bench.send(order)
        assert bench.list_orders() == [("load", "new")]
        assert bench.store.transfer_count == 1
        assert "new" in bench.agent.describe()["models"]

    run_bench(check)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_stale_decider_is_refused(run_bench, check_fence):
    """A decider is frozen, another one takes over, and the first wakes up and sends
    what it had decided. If it were obeyed, users would lose a model that the new
    decider counts on. Half of the engines would obey it."""

    async def check(bench):
        assert await bench.see_to(bench.make_order(7)) == "done"
        stale = bench.make_order(6, "unload", "old")
        assert (await bench.send(stale))[0] == 409
        assert bench.list_orders() == [("load", "new")]

    run_bench(check, check_fence=check_fence)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_stale_decider_is_refused_after_a_restart_of_the_agent(
    run_bench, check_fence
):
    """The agent has obeyed the new decider and is started again, so it remembers no
    number. The old decider wakes up and repeats its order. The engine may not check
    who asks, so a user would find the model gone."""

    async def check(bench):
        stale = bench.make_order(6, "unload", "old")
        assert await bench.see_to(bench.make_order(7)) == "done"
        await bench.restart_agent()
        assert bench.agent.orders.fence == 0
        assert (await bench.send(stale))[0] == 409
        assert bench.list_orders() == [("load", "new")]
        assert await bench.see_to(bench.make_order(7, name="other")) == "done"

    run_bench(check, check_fence=check_fence)


def test_a_new_agent_waits_until_orders_of_the_last_one_have_ended(run_bench):
    """The agent dies while the engine works on its order. A new agent that sent the
    next order at once could be overtaken, and the older one would come last."""

    async def check(bench):
        await bench.restart_agent(settle_s=0.5)
        assert not bench.agent.describe()["settled"]
        order = bench.make_order(5)
        await bench.send(order)
        await bench.wait_for(lambda: bench.list_orders())
        assert bench.agent.describe()["settled"]

    run_bench(check)


def test_a_lost_answer_of_the_engine_is_settled_by_repetition(run_bench):
    """The engine unloads a model and its answer is lost. If the agent took it for
    not done, users would be sent to a model that is gone."""

    async def check(bench):
        await bench.see_to(bench.make_order(5))
        bench.place_fault(bench.engine, "lose_answer", count=1, path="/orders")
        order = bench.make_order(5, "unload", "old")
        await bench.send(order)
        await bench.wait_for(lambda: len(bench.list_orders()) == 2)
        await bench.wait_for(lambda: bench.agent.orders._current is None)
        assert "old" not in bench.agent.describe()["models"]
        assert await bench.see_to(order) == "done"
        assert "old" not in bench.agent.describe()["models"]
        assert bench.list_orders() == [("load", "new")] + [("unload", "old")] * 2

    run_bench(check)


def test_a_repeated_load_does_not_transfer_the_weights_again(run_bench):
    """The engine's answer to a load is lost. A second transfer of the same weights
    would take the store's rate from loads that users wait for."""

    async def check(bench):
        bench.place_fault(bench.engine, "lose_answer", count=1, path="/orders")
        assert await bench.see_to(bench.make_order(5)) == "done"
        assert bench.list_orders() == [("load", "new")] * 2
        assert bench.store.transfer_count == 1

    run_bench(check)


def test_a_load_fails_while_the_weight_store_is_down(run_bench):
    """The weight store is down. The engine must not be told to load what is not
    there, and what it has must go on answering its users."""

    async def check(bench):
        bench.place_fault(bench.store, "down")
        assert await bench.see_to(bench.make_order(5)) == "failed"
        assert bench.list_orders() == []
        assert "old" in bench.agent.describe()["models"]
        bench.place_fault(bench.store, "clear")
        assert await bench.see_to(bench.make_order(5)) == "done"

    run_bench(check)


def test_a_newer_decider_ends_the_transfer_of_an_older_one(run_bench):
    """A decider dies in the middle of a long transfer. If the transfer went on, the
    next decider would wait for what it may not even want."""

    async def check(bench):
        bench.store.bytes_per_s = 100.0
        old = bench.make_order(5)
        await bench.send(old)
        await bench.wait_for(lambda: bench.store.transfer_count == 1)
        assert (await bench.send(bench.make_order(9, "fence", "")))[0] == 200
        assert (await bench.send(old))[0] == 409
        bench.store.bytes_per_s = 1e6
        assert await bench.see_to(bench.make_order(9, name="other")) == "done"
        assert bench.list_orders() == [("load", "other")]

    run_bench(check)


def test_malformed_orders_are_refused(run_bench):
    async def check(bench):
        body = {"id": "0" * 8, "fence": True, "boot": "b", "action": "load"}
        answer = await bench.client.fetch("POST", bench.agent.address, "/orders", body)
        assert answer.status == 400
        assert bench.agent.orders.fence == 0

    run_bench(check)
