import asyncio
import time

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import neighbour, ownership
from pimentowick.platform import store


class Refusing:
    """A store that takes leases until it is told not to."""

    def __init__(self):
        self.away = False

    async def join(self, group, member, topic, lease_s, generation):
        if self.away:
            raise store.RejectedError("away")
        return store.Dealt(1, frozenset({1, 2}))


def run_cut_off(replaced):
    async def run():
        outside = Refusing()
        changes = []
        found = ownership.Ownership(
            outside, "me", 0.2, lambda: changes.append(1), lambda: replaced
        )
        task = asyncio.create_task(found.run())
        await wait.wait_for(lambda: found.parts, 5, 0.005)
        outside.away = True
        found.renewed_at = time.monotonic() - 60
        for _ in range(3):
            found._check_lapsed()
        task.cancel()
        return found.parts, len(changes)

    return asyncio.run(run())


def test_entry_that_alone_lost_the_store_stops_its_part_of_the_batch_work():
    # The store turns one entry away and serves the others, and has dealt its parts
    # to them. Going on, it would run every item a second time.
    assert run_cut_off(replaced=True) == (frozenset(), 2)


def test_batch_work_goes_on_while_the_store_is_away_for_all():
    assert run_cut_off(replaced=False) == (frozenset({1, 2}), 1)


def test_neighbours_tell_whether_they_reach_the_store():
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            one, other = site.gateways
            await wait.wait_for(lambda: one.neighbours.peers, 10, 0.01)
            await wait.wait_for(one.neighbours.may_have_taken_over, 10, 0.01)
            site.store.board.place(faults.Order("down"))
            await wait.wait_for(
                lambda: not one.neighbours.may_have_taken_over(), 10, 0.01
            )
            other.neighbours._transport.abort()
            other.neighbours._transport = None
            for peer in one.neighbours.peers.values():
                peer.heard_at -= neighbour.SILENT_S
            assert one.neighbours.may_have_taken_over()

    asyncio.run(run())


def test_entry_that_is_killed_goes_on_with_its_parts_at_once():
    # All hosts lose power for a second. To the store the members of before hold the
    # batch work until their leases end; entries that came back under other names
    # would leave all targets without batch items for as long.
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            first, other = site.gateways
            for each in (first, other):
                await wait.wait_for(lambda: len(each.ownership.parts) == 4, 10, 0.01)
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
