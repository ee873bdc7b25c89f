"""When the parts of the batch work that this entry was dealt begin to run here.

Notes:
    The store deals parts anew while their holder still runs them: after an outage in
    which all leases have lapsed, the first entry that renews is dealt all of them, and
    now and then all are dealt anew at once. The holder learns it with its next
    renewal, up to a third of a lease later. Begun before that, each item would run
    twice, from a text that is some seconds old, in places that others need.

    So a part is left to a neighbour for as long as that says that it has it: it learns
    soon that the part is not its own any more, records what its items have made, and
    says so. One that is silent is not waited for, nor are the texts of one that alone
    does not reach the store: they can't be recorded. An entry that was just started
    listens first, since it knows nothing of what others hold.
"""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import decision

__all__ = ["Handover"]

# A holder that hears nothing of the store for a second, and tries again half a second
# later, has let go by then.
LONGEST_WAIT_S = 3.0
# Well below the time that neighbours need to tell each other something.
CHECK_S = 0.02


class Handover:
    """Gives the runner the parts that are dealt to this entry.

    Args:
        ownership: `pimentowick.gateway.ownership.Ownership`.
        runner: `pimentowick.gateway.runner.Runner`.
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        neighbours: `pimentowick.gateway.neighbour.Neighbours`.
    """

    def __init__(self, ownership, runner, storage, neighbours):
        self._ownership = ownership
        self._runner = runner
        self._storage = storage
        self._neighbours = neighbours

    def list_held_partitions(self):
        """Return the parts that nobody else should run yet."""
        if self._ownership.is_alone:
            return self._runner.owned
        return self._runner.owned | self._runner.recording

    async def take_over(self):
        """Give up the parts that are lost, and take each new one once it is free."""
        wanted = self._ownership.parts
        self._runner.own(self._runner.owned & wanted)
        while not self._neighbours.has_listened:
            await asyncio.sleep(CHECK_S)
        began_at = time.monotonic()
        left = wanted - self._runner.owned
        while left:
            held = frozenset()
            if time.monotonic() - began_at < LONGEST_WAIT_S:
                held = left & self._neighbours.list_held_parts()
            if left - held:
                await self._refresh()
                self._runner.own(self._runner.owned | (left - held))
                left = held
                decision.note_belief(
                    "ownership.taken",
                    parts=sorted(self._runner.owned),
                    waits_for=sorted(held),
                    waited_s=time.monotonic() - began_at,
                )
                continue
            await asyncio.sleep(CHECK_S)

    async def _refresh(self):
        """Read what the last holders recorded."""
        try:
            await self._storage.refresh()
        except exception.LogError as error:
            decision.note_belief("ownership.not_refreshed", why=str(error))
