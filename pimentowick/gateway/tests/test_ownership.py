import asyncio
import math
import time

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import load_report, ownership
from pimentowick.platform import store


class RejectingStore:
    """A store that rejects a given number of renewals."""

    def __init__(self):
        self.rejections_left = 0
        self.rejected_count = 0
        self.last_contact_at = float("-inf")

    async def join(self, group, member, topic, lease_s, generation):
        if self.rejections_left > 0:
            self.rejections_left -= 1
            self.rejected_count += 1
            raise store.RejectedError("store unavailable")
        return store.PartitionAssignment(1, frozenset({1, 2}))


def run_rejected(get_peer_renewal, rejections_left, until):
    """Return the partitions of a rejected entry and the number of assignment changes.

    Args:
        get_peer_renewal: Function from the store to the monotonic time of the latest
            lease renewal of any other entry.
        rejections_left: Number of renewals that the store rejects.
        until: Function of the store and the `ownership.Ownership` that ends the test.
    """

    async def run():
        fake_store = RejectingStore()
        changes = []
        membership = ownership.Ownership(
            fake_store,
            "me",
            0.01,
            lambda: changes.append(1),
            lambda: get_peer_renewal(fake_store),
        )
        membership._lease_s = 0.1
        task = asyncio.create_task(membership.run())
        await wait.wait_for(lambda: membership.partitions, 5, 0.005)
        membership.renewed_at = time.monotonic() - 60
        fake_store.rejections_left = rejections_left
        await wait.wait_for(lambda: until(fake_store, membership), 5, 0.005)
        task.cancel()
        return membership.partitions, len(changes)

    return asyncio.run(run())


def renew_peers_after_rejection(fake_store):
    return math.inf if fake_store.rejected_count else -math.inf


def is_rejected_often(fake_store, membership):
    return fake_store.rejected_count >= 4


def is_renewed(fake_store, membership):
    return fake_store.rejected_count and membership.get_lease_age() < 60


def test_cut_off_entry_releases_its_partitions():
    # The store rejects only this entry and has reassigned its partitions. If it went
    # on, every item would run twice.
    assert run_rejected(lambda fake_store: math.inf, 1000, is_rejected_often) == (
        frozenset(),
        2,
    )


def test_lost_answers_release_no_partitions_while_reads_succeed():
    # Two renewals in a row get no answer, but reads do. The lease has been renewed, so
    # the items keep running.
    def get_peer_renewal(fake_store):
        fake_store.last_contact_at = time.monotonic() + 60
        return math.inf

    result = run_rejected(get_peer_renewal, 1000, is_rejected_often)
    assert result == (frozenset({1, 2}), 1)


def test_partitions_are_kept_in_an_outage_for_all_entries():
    assert run_rejected(lambda fake_store: -math.inf, 1000, is_rejected_often) == (
        frozenset({1, 2}),
        1,
    )


def test_renewal_begun_in_an_outage_releases_nothing():
    # The store is back and peers have renewed, while a renewal here still waits for an
    # answer lost in the outage. Releasing the partitions would discard unsaved text.
    result = run_rejected(renew_peers_after_rejection, 1, is_renewed)
    assert result == (frozenset({1, 2}), 1)


def test_unanswered_renewal_is_aborted_once_peers_renew():
    # Waiting for the full timeout would delay results and refuse jobs needlessly.
    class HangingStore(RejectingStore):
        async def join(self, group, member, topic, lease_s, generation):
            if self.rejections_left > 0:
                self.rejections_left -= 1
                self.rejected_count += 1
                await asyncio.Event().wait()
            return await super().join(group, member, topic, lease_s, generation)

    async def run():
        fake_store = HangingStore()
        membership = ownership.Ownership(
            fake_store,
            "me",
            0.01,
            lambda: None,
            lambda: renew_peers_after_rejection(fake_store),
        )
        task = asyncio.create_task(membership.run())
        await wait.wait_for(lambda: membership.partitions, 5, 0.005)
        fake_store.rejections_left = 1
        await wait.wait_for(lambda: fake_store.rejected_count, 5, 0.005)
        before = membership.renewed_at
        await wait.wait_for(lambda: membership.renewed_at > before, 5, 0.005)
        assert membership.partitions and not membership.is_cut_off
        task.cancel()

    asyncio.run(run())


def test_peers_report_their_latest_renewal():
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            one, other = site.gateways
            since = time.monotonic()

            def is_replaced():
                return one.load_reporter.get_latest_peer_renewal() > since

            await wait.wait_for(lambda: one.load_reporter.peers, 10, 0.01)
            await wait.wait_for(is_replaced, 10, 0.01)
            since = time.monotonic()
            site.store.fault_injector.inject(faults.Fault("down"))
            await wait.wait_for(lambda: not is_replaced(), 10, 0.01)
            other.load_reporter._transport.abort()
            other.load_reporter._transport = None
            for peer in one.load_reporter.peers.values():
                peer.last_heard_at -= load_report.PEER_HEARTBEAT_TIMEOUT_S
            assert is_replaced()

    asyncio.run(run())


def test_restarted_entry_keeps_its_partitions():
    # After a crash, the store assigns the partitions to the old members until their
    # leases expire. Under new names, the entries would own none of them until then.
    server = replica.Replica()

    async def run():
        async with platform_site.open_site([server], entries=2) as site:
            first, other = site.gateways
            members = (first.ownership, other.ownership)
            await wait.wait_for(
                lambda: all(len(member.partitions) == 4 for member in members), 10, 0.01
            )
            held = first.ownership.partitions
            await first.close()
            # The socket is closed in the next iteration of the event loop.
            await asyncio.sleep(0)
            site.gateways.remove(first)
            group = site.store.get_group(ownership.GROUP)
            generation = group.generation
            again = await site.start_entry(first.settings)
            await wait.wait_for(lambda: again.runner.owned_partitions, 10, 0.005)
            assert again.runner.owned_partitions == held
            assert group.generation == generation

    asyncio.run(run())
