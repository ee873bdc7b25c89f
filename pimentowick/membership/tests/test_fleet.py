import asyncio

import orjson

from pimentowick import client as http_client
from pimentowick import settings, verdict
from pimentowick.external import hosts
from pimentowick.fakes import embedded
from pimentowick.membership import fleet
from pimentowick.membership import peer as membership_peer

SERVICES = ("lm", "desk")
ENTRIES = 40
AGENTS = 16


class Hosts(hosts.HostList):
    def __init__(self):
        self.listed = [
            hosts.Host(f"entry-{i}", "entry", f"127.0.0.1:{i + 1}", "here")
            for i in range(ENTRIES)
        ]
        for i in range(AGENTS):
            address = f"127.0.0.1:{1000 + i}"
            self.listed.append(hosts.Host(f"agent-{i}", "agent", address, "here"))

    async def read(self):
        return list(self.listed)


class Agents:
    """Fake client that answers heartbeats in place of agents."""

    def __init__(self):
        self.silent = set()
        self.messages = []

    async def fetch(self, method, address, path, body, timeout_s):
        if address in self.silent:
            raise http_client.TransportError("silent", verdict.Verdict.MAY_HAVE_RUN)
        self.messages.append((address, body))
        number = int(address.partition(":")[2])
        answer = {"state": "ready", "online": 0}
        if body.get("have") is None:
            service = SERVICES[number % 2]
            answer.update(process="p", kind="engine", service=service)
        if "renew" in body:
            answer["lease"] = body["renew"] or 7
        return http_client.Response(200, orjson.dumps(answer), {})

    def retire_connections(self, address):
        pass


def make_settings(**fields):
    platform = {"log": "127.0.0.1:1", "hosts": "127.0.0.1:1"}
    return settings.EntrySettings(
        name="entry-0",
        failure_domain="here",
        platform=platform,
        host_poll_s=0.02,
        **fields,
    )


def run(check, **fields):
    async def run_check():
        listed, agents = Hosts(), Agents()
        entry = make_settings(**{"heartbeat_s": 0.02, **fields})
        tracked = fleet.Fleet(listed, agents, entry, "entry-0#1", lambda: True)
        await tracked.start()
        try:
            async with asyncio.timeout(20):
                await check(tracked, listed, agents)
        finally:
            await tracked.close()

    asyncio.run(run_check())


async def wait_for(predicate):
    while not predicate():
        await asyncio.sleep(0.005)


def count_peers(tracked):
    names = [peer.service for peer in tracked.peers.values()]
    return {name: names.count(name) for name in SERVICES}


def test_entry_talks_to_a_bounded_number_of_agents_of_each_service():
    async def check(tracked, listed, agents):
        await wait_for(lambda: count_peers(tracked) == {"lm": 3, "desk": 3})
        await wait_for(lambda: len({address for address, _ in agents.messages}) == 16)
        assert count_peers(tracked) == {"lm": 3, "desk": 3}

    run(check, peers_per_service=3)


def test_small_deployment_sees_all_agents():
    async def check(tracked, listed, agents):
        await wait_for(lambda: len(tracked.peers) == AGENTS)

    run(check)


def test_lost_agent_is_replaced():
    """Guards against a permanently smaller subset after agents are lost.

    The hosts of two peers are removed from the host list.
    """

    async def check(tracked, listed, agents):
        await wait_for(lambda: count_peers(tracked) == {"lm": 3, "desk": 3})
        gone = [peer for peer in tracked.peers.values() if peer.service == "lm"][:2]
        agents.silent.update(peer.address for peer in gone)
        names = {peer.name for peer in gone}
        listed.listed = [host for host in listed.listed if host.name not in names]
        await wait_for(lambda: not names & set(tracked.peers))
        await wait_for(lambda: count_peers(tracked) == {"lm": 3, "desk": 3})

    run(check, peers_per_service=3)


def test_agent_silent_when_listed_is_discovered_later():
    """Guards against probing an agent only once, before its process listens.

    Its target would never receive requests.
    """

    async def check(tracked, listed, agents):
        late = "127.0.0.1:1003"
        agents.silent.add(late)
        await wait_for(lambda: len(tracked.peers) == AGENTS - 1)
        agents.silent.clear()
        await wait_for(lambda: len(tracked.peers) == AGENTS)
        assert tracked.peers["agent-3"].service == "desk"

    run(check)


def list_lm(tracked):
    return [peer for peer in tracked.peers.values() if peer.service == "lm"]


def count_leases(tracked):
    return sum(peer.lease == 7 for peer in list_lm(tracked))


def test_only_entries_with_batch_work_hold_leases():
    """Guards against leases of other services, and more of them than needed."""

    async def check(tracked, listed, agents):
        await wait_for(lambda: len(tracked.peers) == AGENTS)
        assert not any("renew" in body for _, body in agents.messages)
        lm = list_lm(tracked)
        tracked.set_batch_services({"lm"})
        await wait_for(lambda: count_leases(tracked) == fleet.MIN_LEASES_PER_SERVICE)
        tracked.set_batch_services({"lm"})
        await asyncio.sleep(0.2)
        assert count_leases(tracked) == fleet.MIN_LEASES_PER_SERVICE

        def has_all():
            tracked.record_backlog("lm", 10_000)
            return all(peer.lease == 7 for peer in lm)

        await wait_for(has_all)
        others = [peer for peer in tracked.peers.values() if peer.service == "desk"]
        assert others
        assert not any(peer.lease for peer in others)
        tracked.set_batch_services(())
        await wait_for(lambda: not any(peer.lease for peer in lm))

    run(check, idle_heartbeat_s=0.05)


def test_surplus_leases_are_released(monkeypatch):
    """Guards against heartbeats for unused leases, and expiry of leases in use."""
    monkeypatch.setattr(fleet, "SURPLUS_LEASE_S", 0.05)

    async def check(tracked, listed, agents):
        await wait_for(lambda: len(tracked.peers) == AGENTS)
        lm = list_lm(tracked)
        tracked.set_batch_services({"lm"})

        def has_all():
            tracked.record_backlog("lm", 10_000)
            return all(peer.lease == 7 for peer in lm)

        await wait_for(has_all)
        busy = lm[:3]
        for peer in busy:
            peer.batch = 1

        def has_few():
            tracked.set_batch_services({"lm"})
            return count_leases(tracked) <= 3

        await wait_for(has_few)
        assert all(peer.lease == 7 for peer in busy)

    run(check, idle_heartbeat_s=0.05)


def test_lease_is_renewed_well_before_it_expires():
    """Guards against renewing too late to retry a lost renewal before the expiry."""
    settings = make_settings(heartbeat_s=0.5, heartbeats_per_s=0.01)
    tracked = fleet.Fleet(None, None, settings, "entry-0#1", None)
    peer = membership_peer.Peer(None, {"lease_s": 8.0}, batch=1)
    assert tracked._get_heartbeat_interval(peer) == 0.5
    peer.lease = 7
    peer.heartbeat_interval_s = tracked._get_heartbeat_interval(peer)
    # The delay is rounded down to a heartbeat period after the jitter.
    min_delay_s = (
        peer.heartbeat_interval_s * (1 - fleet.RENEWAL_JITTER) - settings.heartbeat_s
    )
    for _ in range(100):
        assert (
            min_delay_s
            < tracked._get_heartbeat_delay(peer)
            <= 8.0 / fleet.RENEWALS_PER_LEASE
        )


def test_expired_lease_is_requested_immediately():
    """Guards against waiting for the next renewal, which leaves the agent idle."""

    async def check(tracked, listed, agents):
        await wait_for(lambda: len(tracked.peers) == AGENTS)
        tracked.set_batch_services({"lm"})
        await wait_for(lambda: count_leases(tracked) == fleet.MIN_LEASES_PER_SERVICE)
        peer = next(peer for peer in list_lm(tracked) if peer.lease)
        tracked.on_lease_expired(peer)
        assert not peer.lease
        async with asyncio.timeout(1):
            await wait_for(lambda: peer.lease == 7)

    run(check, heartbeat_s=3.0)


def test_field_omitted_from_an_answer_is_reset():
    """Guards against keeping an outdated load, which makes a target look busy."""

    async def check(tracked, listed, agents):
        await wait_for(lambda: len(tracked.peers) == AGENTS)
        peer = tracked.peers["agent-0"]
        full = {"online": 3, "demand": {"lm": 2}, "cache_life_s": 4.0}
        tracked._apply_report(peer, full, 0.0)
        assert peer.report["demand"] == {"lm": 2}
        tracked._apply_report(peer, {"state": "ready"}, 0.0)
        assert peer.report["online"] == 0
        assert peer.report["demand"] == {}
        assert peer.report["cache_life_s"] is None

    run(check, idle_heartbeat_s=10.0)


def test_idle_entry_learns_that_an_agent_drains():
    """Guards against routing to a draining agent after a period without requests.

    The agent would refuse the requests first, which adds latency.
    """

    async def check():
        deployment = embedded.EmbeddedDeployment(
            entry_settings={"idle_heartbeat_s": 0.3}
        )
        try:
            await deployment.start()
            agent = deployment.agents["agent-lm-0"]
            draining = asyncio.ensure_future(agent.drain())
            tracked = deployment.entries["entry-0"].fleet
            peer = tracked.peers["agent-lm-0"]
            await deployment.wait_for(lambda: not tracked.is_usable(peer))
            assert tracked.is_usable(tracked.peers["agent-lm-1"])
            await draining
        finally:
            await deployment.close()

    asyncio.run(check())
