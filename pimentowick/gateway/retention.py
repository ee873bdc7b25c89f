"""Dropping from the store the jobs that nobody may read any more."""

import time

from pimentowick import exception
from pimentowick.gateway import decision, ownership, record

__all__ = ["Retention"]

# Clocks of hosts differ; a job stays somewhat longer than it has to.
REMOVE_MARGIN_S = 30.0
REMOVE_TIMEOUT_S = 5.0


class Retention:
    """Drops old jobs of the parts that this entry holds.

    Args:
        settings: `pimentowick.platform.node.NodeSettings`.
        ownership: `pimentowick.gateway.ownership.Ownership`.
    """

    def __init__(self, settings, ownership):
        self._settings = settings
        self._ownership = ownership

    async def remove_old(self, book):
        """Drop the jobs that nobody may read any more from the store.

        The store takes no appends once it is full, and keeps the newest record of
        each key for good.
        """
        oldest = time.time() - self._settings.result_retention_s - REMOVE_MARGIN_S
        for found in list(book.book.jobs.values()):
            part = ownership.find_part(found.id, self._settings.parts)
            if found.is_open or found.submitted_s > oldest:
                continue
            if part not in self._ownership.parts:
                continue

            def build(view, wanted=found):
                if view.jobs.get(wanted.id) is not wanted:
                    return []
                return record.make_removal(wanted)

            try:
                await book.commit(build, REMOVE_TIMEOUT_S)
            except exception.LogError as error:
                decision.note_belief("job.not_removed", job=found.id, why=str(error))
                return
            decision.note_request("job.removed", found.id, outcome="too_old")
