import asyncio
import collections

import pytest

from pimentowick.fakes import embedded, faults, weights
from pimentowick.placement import claim as placement_claim
from pimentowick.placement import plan

NEW = "new"
MODELS = {
    embedded.MODEL: {"replicas_min": 1, "replicas_max": 2},
    NEW: {"version": "1", "replicas_min": 1, "replicas_max": 2},
}


class PlacedFleet(embedded.EmbeddedDeployment):
    """An embedded deployment with a weight store and configured models."""

    def __init__(self, max_models=2, **fields):
        self.store = weights.WeightStore(
            bytes_per_s=1e6, weights={"new/1": 1000, "new/2": 1000, "lm/2": 1000}
        )
        agent_settings = {"order_settle_s": 0.0, "target": {"max_models": max_models}}
        engine_settings = {"load_lag_s": 0.1, **fields.pop("engine_settings", {})}
        super().__init__(
            services=0,
            agent_settings=agent_settings,
            engine_settings=engine_settings,
            **fields,
        )

    async def start(self):
        await self.store.start()
        self._agent_settings["weights"] = self.store.address
        await super().start()

    async def close(self):
        await super().close()
        await self.store.close()

    async def place(self, models, amends=0, **fields):
        body = {"models": models, **fields}
        return await self.change("fleet", "fleet", amends, body)

    def find_controller(self):
        """Return the name of the entry whose controller is active, or None."""
        for name, entry in self.entries.items():
            controller = entry.placement_controller
            if (
                controller.is_owner
                and controller._fence == controller.replica.state_machine.fence
            ):
                return name
        return None

    def count_ready(self, model):
        return sum(model in each.loaded["model"] for each in self.targets.values())

    def is_settled(self):
        return not any(
            entry.placement_controller.pending for entry in self.entries.values()
        )

    def list_orders(self):
        return [order for each in self.targets.values() for order in each.orders]

    def count_orders(self):
        return collections.Counter(
            (order["action"], order["name"]) for order in self.list_orders()
        )

    async def append_claim(self, owner):
        """Append a claim by another owner to the log, and return its fencing token."""
        record = placement_claim.make_claim(owner)
        log = next(iter(self.entries.values())).placement_controller.replica.log
        return 1 + await log.append(placement_claim.STREAM, [record])


@pytest.fixture
def run_placed_fleet():
    def run(check, **fields):
        async def start_and_check():
            fleet = PlacedFleet(**fields)
            try:
                await fleet.start()
                await check(fleet)
            finally:
                await fleet.close()

        asyncio.run(start_and_check())

    return run


async def freeze_controller(fleet):
    """Stop the reads of the active controller, so that it doesn't see later claims."""
    await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
    await fleet.wait_for(fleet.is_settled)
    name = fleet.find_controller()
    controller = fleet.entries[name].placement_controller
    controller.replica._supervisor.stop_child("follow")
    return name, controller


def count_orders_of(fleet, controller):
    return sum(order["fence"] == controller._fence for order in fleet.list_orders())


def test_a_configured_model_is_loaded_and_found(run_placed_fleet):
    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        entry = next(iter(fleet.entries.values()))
        await fleet.wait_for(lambda: len(entry.fleet.get_pool(NEW, "engine")) == 1)
        assert fleet.count_orders() == {("load", NEW): 1}
        assert fleet.count_ready(embedded.MODEL) == 2

    run_placed_fleet(check)


def test_nothing_is_ordered_without_a_configuration(run_placed_fleet):
    async def check(fleet):
        await fleet.chat("hello")
        assert fleet.list_orders() == []
        assert not any(
            entry.placement_controller.is_owner for entry in fleet.entries.values()
        )

    run_placed_fleet(check)


def test_a_controller_that_is_killed_during_a_change_is_replaced(run_placed_fleet):
    """The leading entry crashes while an engine waits for weights. The new model must
    still be loaded, exactly once, and the other model must stay available."""

    async def check(fleet):
        fleet.store.bytes_per_s = 1.0
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.store.transfer_count == 1)
        await fleet.crash(fleet.find_controller())
        # The transfer in progress keeps its rate; the next controller cancels it.
        fleet.store.bytes_per_s = 1e6
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        await fleet.wait_for(fleet.is_settled)
        assert fleet.count_orders() == {("load", NEW): 1}
        assert fleet.store.transfer_count == 2
        assert fleet.count_ready(embedded.MODEL) == 2

    run_placed_fleet(check)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_frozen_controller_orders_nothing_after_a_takeover(
    run_placed_fleet, check_fence
):
    """The leader is suspended with pending orders, another entry claims, and the first
    one resumes. Its orders must reach no engine, whether the engine checks fencing
    tokens or not."""

    async def check(fleet):
        await fleet.place(MODELS)
        first, frozen = await freeze_controller(fleet)
        fence = frozen._fence
        other = next(name for name in fleet.entries if name != first)
        claim = placement_claim.make_claim(fleet.entries[other].owner)
        await frozen.replica.log.append(placement_claim.STREAM, [claim])
        await fleet.wait_for(
            lambda: all(a.orders.fence > fence for a in fleet.agents.values())
        )
        before = count_orders_of(fleet, frozen)
        assert frozen.is_owner and frozen._fence == fence
        for agent in fleet.agents.values():
            peer = fleet.entries[first].fleet.peers[agent.settings.name]
            for model in (NEW, embedded.MODEL):
                order = frozen._make_order(
                    agent.orders.boot, "unload", kind="model", name=model
                )
                assert await frozen._send(peer, order) is None
        assert count_orders_of(fleet, frozen) == before

    run_placed_fleet(check, engine_settings={"check_fence": check_fence})


def test_a_frozen_controller_can_not_use_a_restarted_agent(run_placed_fleet):
    """As above, but the agents restart and forget the fencing token. The suspended
    controller must not gain control of them by learning their new boot ids."""

    async def check(fleet):
        await fleet.place(MODELS)
        _, frozen = await freeze_controller(fleet)
        fence = await fleet.append_claim("nobody#1")
        # The new claim's owner never acts, so only the log shows the claim.
        before = count_orders_of(fleet, frozen)
        name = next(iter(fleet.agents))
        await fleet.crash(name)
        await fleet.add_agent(
            name, name.removeprefix("agent-"), "engine", embedded.MODEL
        )
        agent = fleet.agents[name]
        peers = frozen._fleet.peers
        await fleet.wait_for(
            lambda: peers[name].report.get("boot") == agent.orders.boot
        )
        frozen._fence_sent_at.clear()
        await frozen._fence_all([peers[name]])
        assert frozen.is_owner and frozen._fenced[name] != agent.orders.boot
        assert agent.orders.fence == 0 or agent.orders.fence >= fence
        assert count_orders_of(fleet, frozen) == before

    run_placed_fleet(check)


def test_an_agent_that_is_started_again_is_not_loaded_again(run_placed_fleet):
    """An agent restarts while its engine keeps running. Loading its models again, or
    elsewhere, would take bandwidth of the weight store from other loads."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        await fleet.wait_for(fleet.is_settled)
        name = next(n for n, e in fleet.targets.items() if NEW not in e.loaded["model"])
        await fleet.crash(f"agent-{name}")
        await fleet.add_agent(f"agent-{name}", name, "engine", embedded.MODEL)
        agent = fleet.agents[f"agent-{name}"]
        await fleet.wait_for(lambda: agent.orders.fence > 0)
        assert fleet.count_orders() == {("load", NEW): 1}

    run_placed_fleet(check)


def test_a_lost_order_answer_is_retried_with_the_same_fence(run_placed_fleet):
    """An engine loads a model and the answer is lost. The order must be retried with
    the same fencing token, and only one replica must be loaded."""

    async def check(fleet):
        for target in fleet.targets.values():
            target.fault_injector.inject(
                faults.Fault("lose_answer", count=1, path="/orders")
            )
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: len(fleet.list_orders()) == 2)
        await fleet.wait_for(fleet.is_settled)
        assert fleet.count_ready(NEW) == 1
        assert len({order["fence"] for order in fleet.list_orders()}) == 1
        assert fleet.store.transfer_count == 1

    run_placed_fleet(check)


def test_a_weight_store_that_is_down_takes_nothing_away(run_placed_fleet):
    """The weight store is down when a new model is configured. Loaded models must stay,
    and the new one must be loaded once the store is back."""

    async def check(fleet):
        fleet.store.fault_injector.inject(faults.Fault("down"))
        await fleet.place(MODELS)
        await fleet.wait_for(
            lambda: any(
                e.placement_controller._failed_at for e in fleet.entries.values()
            )
        )
        assert fleet.list_orders() == []
        assert (await fleet.chat("hello")).status == 200
        fleet.store.fault_injector.inject(faults.Fault("clear"))
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)

    run_placed_fleet(check)


def test_a_model_is_never_without_a_replica_while_others_come(run_placed_fleet):
    """Engines hold one model each, and a second model is configured. No request for the
    first one may be refused meanwhile."""

    async def check(fleet):
        statuses = collections.Counter()
        stop = asyncio.Event()

        async def ask():
            while not stop.is_set():
                statuses[(await fleet.chat("hello", max_tokens=4)).status] += 1

        asking = [asyncio.ensure_future(ask()) for _ in range(3)]
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) >= 1)
        await fleet.wait_for(fleet.is_settled)
        stop.set()
        await asyncio.gather(*asking)
        assert fleet.count_ready(embedded.MODEL) >= 1
        assert set(statuses) == {200}

    run_placed_fleet(check, max_models=1, engines=3)


def test_loads_are_paced_by_the_configuration(run_placed_fleet):
    """All engines are to load a model. Without a limit on concurrent transfers, the
    weight store's bandwidth would be shared and every load would be slow."""

    async def check(fleet):
        fleet.store.bytes_per_s = 2000.0
        peak = 0
        models = {NEW: {"version": "1", "replicas_min": 5, "replicas_max": 5}}
        await fleet.place(models, max_loads=2)

        def is_loaded():
            nonlocal peak
            peak = max(peak, len(fleet.store.running_transfers))
            return fleet.count_ready(NEW) == 5

        await fleet.wait_for(is_loaded)
        assert 1 <= peak <= 2
        assert fleet.store.transfer_count == 5

    run_placed_fleet(check, engines=5)


def test_a_log_outage_stops_no_order_under_way(run_placed_fleet):
    """The log is down while a load is in progress. The load must finish, and no other
    entry may act as the leader."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.store.transfer_count == 1)
        fleet.log.fault_injector.inject(faults.Fault("down"))
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        owners = [e for e in fleet.entries.values() if e.placement_controller.is_owner]
        assert len(owners) == 1
        fleet.log.fault_injector.inject(faults.Fault("clear"))

    run_placed_fleet(check)


def test_a_new_controller_moves_nothing_that_is_in_place(run_placed_fleet):
    """The leader crashes with no change pending, and the next one receives the engines'
    reports one by one. It must not load models again that are on engines whose reports
    are still missing."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        await fleet.wait_for(fleet.is_settled)
        await fleet.crash(fleet.find_controller())
        await fleet.wait_for(fleet.find_controller)
        controller = fleet.entries[fleet.find_controller()].placement_controller
        await fleet.wait_for(
            lambda: all(
                map(
                    controller._is_reliable,
                    controller._list_peers(),
                )
            )
        )
        await fleet.wait_for(fleet.is_settled)
        assert fleet.count_orders() == {("load", NEW): 1}
        # The report of the engine that holds the model arrives last.
        peers = controller._list_peers()
        holder = next(peer for peer in peers if NEW in peer.report["models"])
        holder.report = {**holder.report, "fence": 0}
        engines = controller._list_engines(peers)
        desired = controller._list_desired_models(controller._get_fleet(), peers)
        assert plan.make_plan(desired, engines, 2) == []

    run_placed_fleet(check, engines=5)


def test_a_report_from_before_the_fence_was_known_is_not_relied_on(run_placed_fleet):
    """An agent answers a heartbeat, executes an order of the old controller, and then
    learns the new fencing token. The outdated answer must not count as a replica, or
    the last real one could be unloaded."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        controller = fleet.entries[fleet.find_controller()].placement_controller
        await fleet.wait_for(
            lambda: all(
                map(
                    controller._is_reliable,
                    controller._list_peers(),
                )
            )
        )
        peer = controller._list_peers()[0]
        peer.report = {**peer.report, "fence": controller._fence - 1}
        assert not controller._is_reliable(peer)
        engines = controller._list_engines([peer])
        assert all(not engine.models and engine.busy for engine in engines)

    run_placed_fleet(check)
