import asyncio
import contextlib
import dataclasses

import pytest

from pimentowick import client as http_client
from pimentowick import settings as process_settings
from pimentowick.agent import daemon
from pimentowick.external import log as external_log
from pimentowick.fakes import engine, faults, weights
from pimentowick.placement import order as placement_order

WAIT_S = 10.0


class Bench:
    """A fake engine, a weight store, and an agent that can be restarted."""

    def __init__(self, **engine_settings):
        self.engine = engine.Engine(models=["old"], load_lag_s=0.0, **engine_settings)
        sizes = {f"{name}/1": 1000 for name in ("new", "other")}
        self.store = weights.WeightStore(bytes_per_s=1e6, weights=sizes)
        self.client = http_client.Client()
        self.agent = None

    async def start(self):
        await self.client.start()
        await self.engine.start()
        await self.store.start()
        await self.restart_agent()

    async def close(self):
        await self.agent.close()
        await self.store.close()
        await self.engine.close()
        await self.client.close()

    async def restart_agent(self, settle_s=0.0):
        if self.agent is not None:
            await self.agent.close()
        target = {"name": "t", "address": self.engine.address, "kind": "engine"}
        self.agent = daemon.Agent(
            process_settings.AgentSettings(
                name="agent",
                failure_domain="here",
                target={**target, "service": "old", "max_models": 2},
                weights=self.store.address,
                order_settle_s=settle_s,
                drain_s=1.0,
            )
        )
        await self.agent.start()
        await self.wait_for(lambda: self.agent.load.models)

    def make_order(self, fence, action="load", name="new", version="1", boot=None):
        boot = boot or self.agent.orders.boot
        order_id = external_log.make_id()
        return placement_order.Order(
            order_id, fence, boot, action, "model", name, version
        )

    async def send(self, order):
        """Return the status code and the body of the answer."""
        body = dataclasses.asdict(order)
        answer = await self.client.fetch("POST", self.agent.address, "/orders", body)
        return answer.status, answer.decode()

    async def wait_until_ended(self, order):
        """Retry an order until it has ended, and return its final state."""
        async with asyncio.timeout(WAIT_S):
            while True:
                status, answer = await self.send(order)
                if status != 200:
                    return status
                if answer["state"] not in ("running", "busy", "unknown"):
                    return answer["state"]
                await asyncio.sleep(0.01)

    async def wait_for(self, predicate):
        async with asyncio.timeout(WAIT_S):
            while not predicate():
                await asyncio.sleep(0.01)

    def place_fault(self, server, kind, **fields):
        server.fault_injector.inject(faults.Fault(kind, **fields))

    def list_orders(self):
        """Return the orders that the engine has executed."""
        return [(each["action"], each["name"]) for each in self.engine.orders]


@pytest.fixture
def run_bench():
    def run(check, **engine_settings):
        async def start_and_check():
            bench = Bench(**engine_settings)
            async with contextlib.aclosing(_Closing(bench)):
                await bench.start()
                await check(bench)

        asyncio.run(start_and_check())

    return run


class _Closing:
    def __init__(self, bench):
        self.aclose = bench.close
