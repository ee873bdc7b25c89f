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
    """Answers heartbeats in place of a client."""

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
        return http_client.Answer(200, orjson.dumps(answer), {})

    def distrust(self, address):
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
        known = fleet.Fleet(listed, agents, entry, "entry-0#1", lambda: True)
        await known.start()
        try:
            async with asyncio.timeout(20):
                await check(known, listed, agents)
        finally:
            await known.close()

    asyncio.run(run_check())


async def wait_for(predicate):
    while not predicate():
        await asyncio.sleep(0.005)


def count_peers(known):
    names = [peer.service for peer in known.peers.values()]
    return {name: names.count(name) for name in SERVICES}


def test_entry_talks_to_a_bounded_number_of_agents_of_each_service():
    async def check(known, listed, agents):
        await wait_for(lambda: count_peers(known) == {"lm": 3, "desk": 3})
        await wait_for(lambda: len({address for address, _ in agents.messages}) == 16)
        assert count_peers(known) == {"lm": 3, "desk": 3}

    run(check, peers_per_service=3)


def test_small_deployment_sees_all_agents():
    async def check(known, listed, agents):
        await wait_for(lambda: len(known.peers) == AGENTS)

    run(check)


def test_lost_agent_is_replaced():
    """Hosts of two agents are lost, and later fall off the host list.

    Callers of this entry would be left with fewer targets for good, while others of
    the same service stand idle.
    """

    async def check(known, listed, agents):
        await wait_for(lambda: count_peers(known) == {"lm": 3, "desk": 3})
        gone = [peer for peer in known.peers.values() if peer.service == "lm"][:2]
        agents.silent.update(peer.address for peer in gone)
        names = {peer.name for peer in gone}
        listed.listed = [host for host in listed.listed if host.name not in names]
        await wait_for(lambda: not names & set(known.peers))
        await wait_for(lambda: count_peers(known) == {"lm": 3, "desk": 3})

    run(check, peers_per_service=3)


def test_agent_that_is_silent_when_listed_is_found_later():
    """The host list shows an agent before its process listens.

    If its question were asked only once, its target would stay idle for good.
    """

    async def check(known, listed, agents):
        late = "127.0.0.1:1003"
        agents.silent.add(late)
        await wait_for(lambda: len(known.peers) == AGENTS - 1)
        agents.silent.clear()
        await wait_for(lambda: len(known.peers) == AGENTS)
        assert known.peers["agent-3"].service == "desk"

    run(check)


def list_lm(known):
    return [peer for peer in known.peers.values() if peer.service == "lm"]


def count_leases(known):
    return sum(peer.lease == 7 for peer in list_lm(known))


def test_only_entries_with_batch_work_hold_leases():
    """Only these, only of agents of the service, and no more than the work needs."""

    async def check(known, listed, agents):
        await wait_for(lambda: len(known.peers) == AGENTS)
        assert not any("renew" in body for _, body in agents.messages)
        lm = list_lm(known)
        known.set_batch_services({"lm"})
        await wait_for(lambda: count_leases(known) == fleet.LEASES_AT_FIRST)
        known.set_batch_services({"lm"})
        await asyncio.sleep(0.2)
        assert count_leases(known) == fleet.LEASES_AT_FIRST

        def has_all():
            known.record_backlog("lm", 10_000)
            return all(peer.lease == 7 for peer in lm)

        await wait_for(has_all)
        others = [peer for peer in known.peers.values() if peer.service == "desk"]
        assert others
        assert not any(peer.lease for peer in others)
        known.set_batch_services(())
        await wait_for(lambda: not any(peer.lease for peer in lm))

    run(check, idle_heartbeat_s=0.05)


def test_leases_that_are_not_needed_are_given_up(monkeypatch):
    """Each lease costs heartbeats; one under which items run must not lapse."""
    monkeypatch.setattr(fleet, "LEASES_UNUSED_S", 0.05)

    async def check(known, listed, agents):
        await wait_for(lambda: len(known.peers) == AGENTS)
        lm = list_lm(known)
        known.set_batch_services({"lm"})

        def has_all():
            known.record_backlog("lm", 10_000)
            return all(peer.lease == 7 for peer in lm)

        await wait_for(has_all)
        busy = lm[:3]
        for peer in busy:
            peer.batch = 1

        def has_few():
            known.set_batch_services({"lm"})
            return count_leases(known) <= 3

        await wait_for(has_few)
        assert all(peer.lease == 7 for peer in busy)

    run(check, idle_heartbeat_s=0.05)


def test_lease_is_renewed_well_before_it_lapses():
    """A renewal that is lost has to be repeated within the same lease."""
    settings = make_settings(heartbeat_s=0.5, heartbeats_per_s=0.01)
    known = fleet.Fleet(None, None, settings, "entry-0#1", None)
    peer = membership_peer.Peer(None, {"lease_s": 8.0}, batch=1)
    assert known._get_interval(peer) == 0.5
    peer.lease = 7
    peer.heartbeat_interval_s = known._get_interval(peer)
    # Rounded down to a turn, after the jitter.
    least = (
        peer.heartbeat_interval_s * (1 - fleet.RENEWAL_JITTER) - settings.heartbeat_s
    )
    for _ in range(100):
        assert least < known._get_pause(peer) <= 8.0 / fleet.RENEWALS_PER_LEASE


def test_lapsed_lease_is_asked_for_at_once():
    """Until the next renewal, seconds away, the agent would stand idle."""

    async def check(known, listed, agents):
        await wait_for(lambda: len(known.peers) == AGENTS)
        known.set_batch_services({"lm"})
        await wait_for(lambda: count_leases(known) == fleet.LEASES_AT_FIRST)
        peer = next(peer for peer in list_lm(known) if peer.lease)
        known.on_lease_expired(peer)
        assert not peer.lease
        async with asyncio.timeout(1):
            await wait_for(lambda: peer.lease == 7)

    run(check, heartbeat_s=3.0)


def test_figure_that_an_answer_leaves_out_is_reset():
    """The older one would make a target look busy for good."""

    async def check(known, listed, agents):
        await wait_for(lambda: len(known.peers) == AGENTS)
        peer = known.peers["agent-0"]
        full = {"online": 3, "demand": {"lm": 2}, "cache_life_s": 4.0}
        known._take_report(peer, full, 0.0)
        assert peer.report["demand"] == {"lm": 2}
        known._take_report(peer, {"state": "ready"}, 0.0)
        assert peer.report["online"] == 0
        assert peer.report["demand"] == {}
        assert peer.report["cache_life_s"] is None

    run(check, idle_heartbeat_s=10.0)


def test_idle_entry_learns_that_an_agent_drains():
    """A target is about to leave while this entry has no work for it.

    Its next requests would be refused there first, which costs callers time.
    """

    async def check():
        deployment = embedded.Embedded(entry_settings={"idle_heartbeat_s": 0.3})
        try:
            await deployment.start()
            agent = deployment.agents["agent-lm-0"]
            draining = asyncio.ensure_future(agent.drain())
            known = deployment.entries["entry-0"].fleet
            peer = known.peers["agent-lm-0"]
            await deployment.wait_for(lambda: not known.is_usable(peer))
            assert known.is_usable(known.peers["agent-lm-1"])
            await draining
        finally:
            await deployment.close()

    asyncio.run(check())
