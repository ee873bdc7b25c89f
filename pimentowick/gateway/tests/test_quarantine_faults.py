"""A request that crashes replicas, beside others, under random faults with a seed."""

import asyncio
import random

import pytest

from pimentowick import client as http_client
from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.routing import quarantine

STREAM = platform_site.make_route("/draft/", "stream", max_attempts=1)
RESUMABLE = platform_site.make_route("/chat/", "stream", resumable=True)
IDEMPOTENT = platform_site.make_route("/fetch/", "idempotent")
PATHS = ("/draft/1", "/chat/1", "/fetch/1")
POISON = b"poison"
POPULAR = b"popular"
ENTRIES = 3
REPLICAS = 5
ROUNDS = 4
REQUESTS = 12
WAIT_S = 20.0
POLL_S = 0.01
# A request that has crashed three replicas may reach three more.
MAX_CRASHES = 6
# An entry that starts knows of a crash only from the store; it may not have been
# recorded yet.
MAX_CRASHES_PER_START = 2


class Run:
    """One run: rounds of requests with a fault each, repaired after the round."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.starts = 0
        self.sent = 0

    async def run(self):
        for _ in range(ROUNDS):
            fault = self.random.choice(
                [self.stop_entry, self.lose_store, self.crash_replica, self.do_nothing]
            )
            requests = asyncio.gather(*(self.send_random() for _ in range(REQUESTS)))
            await fault()
            await requests
            self.site.store.fault_injector.inject(faults.Fault("clear"))
            await self.wait_until_ready()
        await self.check()

    async def stop_entry(self):
        gateway = self.site.gateways.pop(self.random.randrange(ENTRIES))
        await gateway.close()
        self.starts += 1
        await self.site.start_entry()

    async def lose_store(self):
        self.site.store.fault_injector.inject(faults.Fault("down"))

    async def crash_replica(self):
        self.random.choice(self.site.replicas).crash()

    async def do_nothing(self):
        pass

    async def send_random(self):
        body = self.random.choice([POISON, POPULAR, POPULAR, None])
        await asyncio.sleep(self.random.random())
        await self.send(self.random.choice(self.site.gateways), body)

    async def send(self, gateway, body):
        """Send a request to an entry; return its status, 0 without an answer."""
        self.sent += 1
        body = body or f"request {self.sent}".encode()
        path = PATHS[0] if body == POISON else self.random.choice(PATHS)
        try:
            answer = await self.site.client.fetch(
                "POST",
                gateway.settings.callers_address,
                path,
                body,
                {
                    "Host": platform_site.HOST,
                    "X-Pimentowick-Request-Id": f"r{self.sent}",
                    "X-Pimentowick-Deadline-Ms": "4000",
                },
                timeout_s=WAIT_S,
            )
        except http_client.TransportError:
            return 0
        return answer.status

    async def wait_until_ready(self):
        def is_ready(gateway):
            queue_state = gateway.admission.get_queue_state(platform_site.SERVICE)
            feed = gateway.crash_guard.feed
            return queue_state.free_slots and feed.unreachable_since is None

        await wait.wait_for(
            lambda: all(map(is_ready, self.site.gateways)), WAIT_S, POLL_S
        )

    async def check(self):
        """Check that others are served at each entry, and crashes are bounded."""
        for gateway in self.site.gateways:
            for body in (POPULAR, None):
                assert await self.send(gateway, body) == 200
        crashes = sum(server.poison_crashes for server in self.site.replicas)
        assert crashes <= MAX_CRASHES + MAX_CRASHES_PER_START * self.starts


class _Replica(replica.Replica):
    """Counts the crashes that the request caused."""

    poison_crashes = 0

    def crash_under_request(self):
        self.poison_crashes += 1
        self.crash()


async def run_faults(seed):
    """Run rounds of random requests and faults, and check the guarantees."""
    servers = [_Replica(f"i-{number}") for number in range(REPLICAS)]
    async with platform_site.open_site(
        servers, [STREAM, RESUMABLE, IDEMPOTENT], ENTRIES
    ) as site:
        for server in servers:
            server.crash_bodies.add(POISON)
            server.on_crash = lambda previous_id, server=server: _register(
                site, server, previous_id
            )
        await Run(site, seed).run()


def _register(site, server, previous_id):
    site.store.put("keyed.servers", previous_id, b"")
    site.register_replica(server)


@pytest.mark.parametrize("seed", range(3))
def test_others_are_served_beside_a_request_that_crashes_replicas(seed, monkeypatch):
    monkeypatch.setattr(quarantine, "TRIAL_DELAYS_S", (1.0, 600.0))
    asyncio.run(run_faults(seed))
