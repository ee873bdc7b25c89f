import asyncio
import math
import time

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import neighbour, ownership
from pimentowick.platform import store


class Refusing:
    """A store that turns away as many tries as it is told to."""

    def __init__(self):
        self.refusals = 0
        self.refused = 0
        self.reached_at = float("-inf")

    async def join(self, group, member, topic, lease_s, generation):
        if self.refusals > 0:
            self.refusals -= 1
            self.refused += 1
            raise store.RejectedError("away")
        return store.Dealt(1, frozenset({1, 2}))


def run_cut_off(get_others_renewal, refusals, until):
    """Let the store turn an entry away; return its parts and how often they changed.

    Args:
        get_others_renewal: Function of the store that returns when the newest lease of
            another entry was renewed.
        refusals: Number of tries that are turned away.
        until: Function of the store and the `ownership.Ownership` that ends the test.
    """

    async def run():
        outside = Refusing()
        changes = []
        found = ownership.Ownership(
            outside,
            "me",
            0.01,
            lambda: changes.append(1),
            lambda: get_others_renewal(outside),
        )
        found._lease_s = 0.1
        task = asyncio.create_task(found.run())
        await wait.wait_for(lambda: found.parts, 5, 0.005)
        found.renewed_at = time.monotonic() - 60
        outside.refusals = refusals
        await wait.wait_for(lambda: until(outside, found), 5, 0.005)
        task.cancel()
        return found.parts, len(changes)

    return asyncio.run(run())


def renew_others_after_refusal(outside):
    return math.inf if outside.refused else -math.inf


def is_refused_often(outside, found):
    return outside.refused >= 4


def is_renewed(outside, found):
    return outside.refused and found.get_age() < 60


def test_entry_that_alone_lost_the_store_stops_its_part_of_the_batch_work():
    # The store turns one entry away and serves the others, and has dealt its parts
    # to them. Going on, it would run every item a second time.
    assert run_cut_off(lambda outside: math.inf, 1000, is_refused_often) == (
        frozenset(),
        2,
    )


def test_store_that_loses_answers_and_serves_reads_has_turned_nobody_away():
    # A third of the answers to writes are lost for some seconds, so that two renewals
    # in a row bring none. What runs here goes on: the store has renewed the lease.
    def get_others_renewal(outside):
        outside.reached_at = time.monotonic() + 60
        return math.inf

    found = run_cut_off(get_others_renewal, 1000, is_refused_often)
    assert found == (frozenset({1, 2}), 1)


def test_batch_work_goes_on_while_the_store_is_away_for_all():
    assert run_cut_off(lambda outside: -math.inf, 1000, is_refused_often) == (
        frozenset({1, 2}),
        1,
    )


def test_try_that_began_in_an_outage_gives_nothing_up():
    # The store is back and others have been renewed, while this entry's try still
    # waits for an answer that was lost in the outage. Given up for that, all that its
    # items have made and could not record would be lost a moment before it could be.
    found = run_cut_off(renew_others_after_refusal, 1, is_renewed)
    assert found == (frozenset({1, 2}), 1)


def test_try_that_waits_for_a_lost_answer_ends_once_others_reach_the_store():
    # Until its time is up nothing of what ended meanwhile is listed, and jobs that
    # come here would be sent on although the store is back.
    class Silent(Refusing):
        async def join(self, group, member, topic, lease_s, generation):
            if self.refusals > 0:
                self.refusals -= 1
                self.refused += 1
                await asyncio.Event().wait()
            return await super().join(group, member, topic, lease_s, generation)

    async def run():
        outside = Silent()
        found = ownership.Ownership(
            outside,
            "me",
            0.01,
            lambda: None,
            lambda: renew_others_after_refusal(outside),
        )
        task = asyncio.create_task(found.run())
        await wait.wait_for(lambda: found.parts, 5, 0.005)
        outside.refusals = 1
        await wait.wait_for(lambda: outside.refused, 5, 0.005)
        before = found.renewed_at
        await wait.wait_for(lambda: found.renewed_at > before, 5, 0.005)
        assert found.parts and not found.is_cut_off
        task.cancel()

    asyncio.run(run())


def test_neighbours_tell_when_they_reached_the_store():
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            one, other = site.gateways
            since = time.monotonic()

            def is_replaced():
                return one.neighbours.get_newest_renewal() > since

            await wait.wait_for(lambda: one.neighbours.peers, 10, 0.01)
            await wait.wait_for(is_replaced, 10, 0.01)
            since = time.monotonic()
            site.store.fault_injector.inject(faults.Fault("down"))
            await wait.wait_for(lambda: not is_replaced(), 10, 0.01)
            other.neighbours._transport.abort()
            other.neighbours._transport = None
            for peer in one.neighbours.peers.values():
                peer.heard_at -= neighbour.SILENT_S
            assert is_replaced()

    asyncio.run(run())


def test_entry_that_is_killed_goes_on_with_its_parts_at_once():
    # All hosts lose power for a second. To the store the members of before hold the
    # batch work until their leases end; entries that came back under other names
    # would leave all targets without batch items for as long.
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            first, other = site.gateways
            members = (first.ownership, other.ownership)
            await wait.wait_for(
                lambda: all(len(member.parts) == 4 for member in members), 10, 0.01
            )
            held = first.ownership.parts
            await first.close()
            # Its socket is closed in the next turn.
            await asyncio.sleep(0)
            site.gateways.remove(first)
            group = site.store.get_group(ownership.GROUP)
            generation = group.generation
            again = await site.start_entry(first.settings)
            await wait.wait_for(lambda: again.runner.owned, 10, 0.005)
            assert again.runner.owned == held
            assert group.generation == generation

    asyncio.run(run())
