"""What the runs of an item at this entry have made, and what of it is recorded.

Notes:
    An item may run at two entries at once, each for about the same time, so that
    their texts reach the same event. They are still texts of two runs. Each recorded
    piece names its writer; a text goes on only after the very piece that it began
    after, and is dropped otherwise.
"""

import uuid

from pimentowick.gateway import record

__all__ = ["Transcript"]


class Transcript:
    """The text of one item as this entry has it.

    Args:
        book: The `pimentowick.gateway.ledger.Ledger` of the job.
        job: The `pimentowick.gateway.job.Job`.
        number: Number of the item.

    Attributes:
        item: The `pimentowick.gateway.job.Item`.
        texts: Data of the events behind the recorded piece that it goes on after.
        last_event: Identifier of the last event, or None.
        made: Number of events made here.
    """

    def __init__(self, book, job, number):
        self._book = book
        self._job = job
        self._number = number
        self._begins_after = None
        self.item = job.items[number]
        self.texts = []
        self.last_event = None
        self.made = 0

    @property
    def is_wanted(self):
        """Whether the item still has to run."""
        known = self._book.book.jobs.get(self._job.id)
        return known is self._job and not self._job.ended and self.item.result is None

    @property
    def is_current(self):
        """Whether the text goes on after what is recorded."""
        return self.item.last_piece == self._begins_after

    def count_events(self):
        """Return how many events there are so far, made here or elsewhere."""
        last = self.last_event or self.item.last_event
        return int(last) if last is not None and last.isdecimal() else len(self.texts)

    def sync(self):
        """Take over what another entry has recorded; what was made here is dropped."""
        if not self.is_current:
            self._begins_after = self.item.last_piece
            self.texts = []
            self.last_event = self.item.last_event

    def add(self, event):
        """Add an event; return whether it follows the one before."""
        if self.last_event is not None and not _follows(self.last_event, event.id):
            return False
        self.texts.append(event.data)
        self.last_event = event.id
        self.made += 1
        return True

    async def save(self, timeout_s):
        """Record the text so far, so that another entry can go on after it.

        Raises:
            LogError: It is not known to be recorded.
        """
        if not self.texts:
            return
        texts = list(self.texts)
        writer = uuid.uuid4().hex
        piece = record.make_piece(
            self._job.id,
            self._number,
            len(self.item.pieces),
            writer,
            texts,
            self.last_event,
        )

        def build(view):
            if not self.is_wanted or not self.is_current:
                return []
            return [piece]

        await self._book.commit(build, timeout_s)
        if self.item.last_piece == writer:
            self._begins_after = writer
            self.texts = self.texts[len(texts) :]

    async def finish(self, timeout_s):
        """List the item as done with the whole text.

        Raises:
            LogError: It is not known to be listed.
        """
        texts = list(self.texts)
        after = len(self.item.pieces)

        def build(view):
            if not self.is_wanted or not self.is_current:
                return []
            return self._make_result(True, after, texts)

        await self._book.commit(build, timeout_s)

    def _make_result(self, done, after, texts):
        job_id, number = self._job.id, self._number
        return [
            record.make_result(job_id, number, done, after, texts),
            *record.make_drops(job_id, number, self.item),
        ]

    async def give_up(self, timeout_s):
        """List the item as one that was not done.

        Raises:
            LogError: It is not known to be listed.
        """

        def build(view):
            if not self.is_wanted:
                return []
            return self._make_result(False, 0, [])

        await self._book.commit(build, timeout_s)

    async def note_failure(self, timeout_s):
        """Record that a target said the run has failed.

        Raises:
            LogError: It is not known to be recorded.
        """
        index = self.item.failures

        def build(view):
            if not self.is_wanted or self.item.failures != index:
                return []
            return [record.make_failure(self._job.id, self._number, index)]

        await self._book.commit(build, timeout_s)


def _follows(last, event_id):
    try:
        return int(event_id) == int(last) + 1
    except ValueError:
        return False
