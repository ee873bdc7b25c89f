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


class Placed(embedded.EmbeddedDeployment):
    """An embedded deployment with a weight store and placed models."""

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

    def find_decider(self):
        """Return the name of the entry that gives orders, or None."""
        for name, entry in self.entries.items():
            decider = entry.decider
            if decider.is_owner and decider._fence == decider.replica.fold.fence:
                return name
        return None

    def count_ready(self, model):
        return sum(model in each.loaded["model"] for each in self.targets.values())

    def is_settled(self):
        return not any(entry.decider.pending for entry in self.entries.values())

    def list_orders(self):
        return [order for each in self.targets.values() for order in each.orders]

    def count_orders(self):
        return collections.Counter(
            (order["action"], order["name"]) for order in self.list_orders()
        )

    async def claim_for(self, owner):
        """Let the log show a claim of somebody else, and return its number."""
        record = placement_claim.make_claim(owner)
        log = next(iter(self.entries.values())).decider.replica.log
        return 1 + await log.append(placement_claim.STREAM, [record])


@pytest.fixture
def run_placed():
    def run(check, **fields):
        async def start_and_check():
            fleet = Placed(**fields)
            try:
                await fleet.start()
                await check(fleet)
            finally:
                await fleet.close()

        asyncio.run(start_and_check())

    return run


async def freeze_decider(fleet):
    """Stop the reads of the decider, so that it goes on believing in its claim."""
    await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
    await fleet.wait_for(fleet.is_settled)
    name = fleet.find_decider()
    decider = fleet.entries[name].decider
    decider.replica._supervisor.stop_child("follow")
    return name, decider


def count_orders_of(fleet, decider):
    return sum(order["fence"] == decider._fence for order in fleet.list_orders())


def test_a_configured_model_is_loaded_and_found(run_placed):
    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        entry = next(iter(fleet.entries.values()))
        await fleet.wait_for(lambda: len(entry.fleet.get_pool(NEW, "engine")) == 1)
        assert fleet.count_orders() == {("load", NEW): 1}
        assert fleet.count_ready(embedded.MODEL) == 2

    run_placed(check)


def test_nothing_is_ordered_without_a_configuration(run_placed):
    async def check(fleet):
        await fleet.chat("hello")
        assert fleet.list_orders() == []
        assert not any(entry.decider.is_owner for entry in fleet.entries.values())

    run_placed(check)


def test_a_decider_that_is_killed_in_mid_change_is_replaced(run_placed):
    """The entry that decides is lost while an engine waits for weights. The model
    that the operator asked for must still come, once, and no user may miss the one
    that is there."""

    async def check(fleet):
        fleet.store.bytes_per_s = 1.0
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.store.transfer_count == 1)
        await fleet.crash(fleet.find_decider())
        # The transfer under way still has its old rate; the next decider ends it.
        fleet.store.bytes_per_s = 1e6
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        await fleet.wait_for(fleet.is_settled)
        assert fleet.count_orders() == {("load", NEW): 1}
        assert fleet.store.transfer_count == 2
        assert fleet.count_ready(embedded.MODEL) == 2

    run_placed(check)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_frozen_decider_orders_nothing_after_another_took_over(
    run_placed, check_fence
):
    """The entry that decides is frozen with orders in its hands, another one claims,
    and the first wakes up. What it still sends must reach no engine, whether the
    engine checks fencing numbers or not."""

    async def check(fleet):
        await fleet.place(MODELS)
        first, frozen = await freeze_decider(fleet)
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

    run_placed(check, engine_settings={"check_fence": check_fence})


def test_a_frozen_decider_can_not_use_an_agent_that_was_started_again(run_placed):
    """As before, and the agents are started again meanwhile, so none remembers the
    number. The frozen decider must not win over them by asking for their ids."""

    async def check(fleet):
        await fleet.place(MODELS)
        _, frozen = await freeze_decider(fleet)
        fence = await fleet.claim_for("nobody#1")
        # The claim of somebody who never acts: only the log knows of it.
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
        frozen._tried_at.clear()
        await frozen._fence_all([peers[name]])
        assert frozen.is_owner and frozen._fenced[name] != agent.orders.boot
        assert agent.orders.fence == 0 or agent.orders.fence >= fence
        assert count_orders_of(fleet, frozen) == before

    run_placed(check)


def test_an_agent_that_is_started_again_is_not_loaded_again(run_placed):
    """An agent is replaced while its engine goes on. To load its models elsewhere,
    or again, would take the store's rate from what users wait for."""

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

    run_placed(check)


def test_a_lost_order_answer_is_repeated_under_the_same_number(run_placed):
    """An engine loads a model and its answer is lost. The order is repeated with the
    same number, and the operator sees one replica, not two."""

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

    run_placed(check)


def test_a_weight_store_that_is_down_takes_nothing_away(run_placed):
    """The weight store is down when the operator asks for another model. What is
    loaded stays, and the model comes once the store is back."""

    async def check(fleet):
        fleet.store.fault_injector.inject(faults.Fault("down"))
        await fleet.place(MODELS)
        await fleet.wait_for(
            lambda: any(e.decider._failed_at for e in fleet.entries.values())
        )
        assert fleet.list_orders() == []
        assert (await fleet.chat("hello")).status == 200
        fleet.store.fault_injector.inject(faults.Fault("clear"))
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)

    run_placed(check)


def test_a_model_is_never_without_a_replica_while_others_come(run_placed):
    """Engines hold one model each and the operator asks for a second one. Requests
    for the first are sent all the time; none may find it gone."""

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

    run_placed(check, max_models=1, engines=3)


def test_loads_are_paced_by_the_configuration(run_placed):
    """Every engine is to load a model at once. If all transfers ran together, the
    weight store would serve each so slowly that no user got the model for long."""

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

    run_placed(check, engines=5)


def test_a_log_outage_stops_no_order_under_way(run_placed):
    """The log is down when the decider needs it not. A load that was decided on must
    still end, and no other entry may think itself the decider."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.store.transfer_count == 1)
        fleet.log.fault_injector.inject(faults.Fault("down"))
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        owners = [e for e in fleet.entries.values() if e.decider.is_owner]
        assert len(owners) == 1
        fleet.log.fault_injector.inject(faults.Fault("clear"))

    run_placed(check)


def test_a_new_decider_moves_nothing_that_is_in_place(run_placed):
    """The entry that decides is lost with nothing to do. The next one hears of the
    engines one by one; if it took the first ones for all, it would load again what
    the others hold, and take room from what users need."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        await fleet.wait_for(fleet.is_settled)
        await fleet.crash(fleet.find_decider())
        await fleet.wait_for(fleet.find_decider)
        decider = fleet.entries[fleet.find_decider()].decider
        await fleet.wait_for(
            lambda: all(map(decider._is_reliable, decider._list_peers()))
        )
        await fleet.wait_for(fleet.is_settled)
        assert fleet.count_orders() == {("load", NEW): 1}
        # The engine that holds the model is heard of last.
        peers = decider._list_peers()
        holder = next(peer for peer in peers if NEW in peer.report["models"])
        holder.report = {**holder.report, "fence": 0}
        engines = decider._list_engines(peers)
        wanted = decider._list_wanted(decider._get_fleet(), peers)
        assert plan.make_plan(wanted, engines, 2) == []

    run_placed(check, engines=5)


def test_a_report_from_before_the_number_was_known_is_not_relied_on(run_placed):
    """An agent answers a heartbeat, then carries out an order of the old decider, and
    then hears of the new one. That answer must not count as a replica: the other one
    would go, and users would find none."""

    async def check(fleet):
        await fleet.place(MODELS)
        await fleet.wait_for(lambda: fleet.count_ready(NEW) == 1)
        decider = fleet.entries[fleet.find_decider()].decider
        await fleet.wait_for(
            lambda: all(map(decider._is_reliable, decider._list_peers()))
        )
        peer = decider._list_peers()[0]
        peer.report = {**peer.report, "fence": decider._fence - 1}
        assert not decider._is_reliable(peer)
        engines = decider._list_engines([peer])
        assert all(not engine.models and engine.busy for engine in engines)

    run_placed(check)
