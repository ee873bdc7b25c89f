"""What the runs of an item have made, and what of it is recorded.

Notes:
    An item may run at two entries at once. Each piece of text that is recorded has a
    name of its own and names the one that it goes on after, so that pieces of two runs
    are never joined. Whoever takes over goes on after the longest such chain. A result
    refers to one whole text, written by one run; the first result of an item counts.
"""

import uuid

import orjson

from pimentowick import exception
from pimentowick.gateway import content, decision, record

__all__ = ["Transcript", "find_longest"]


class Transcript:
    """The text of one item as this entry has it.

    Args:
        storage: The `pimentowick.gateway.job_storage.JobStorage` of the job.
        job: The `pimentowick.gateway.job.Job`.
        number: Number of the item.

    Attributes:
        item: The `pimentowick.gateway.job.Item`.
        number: Number of the item.
        body: Its body, or None before it was read.
        texts: Data of all events so far.
        last_event: Identifier of the last event, or None.
        made: Number of events made here.
    """

    def __init__(self, storage, job, number):
        self._storage = storage
        self._job = job
        self._run = uuid.uuid4().hex
        self._pieces = []
        self._recorded = 0
        self.item = job.items[number]
        self.number = number
        self.body = None
        self.texts = []
        self.last_event = None
        self.made = 0

    @property
    def is_wanted(self):
        """Whether the item still has to run."""
        known = self._storage.job_table.jobs.get(self._job.id)
        return known is self._job and self._job.needs_run(self.number)

    @property
    def failures(self):
        """How many runs of the item have failed."""
        return self._job.count_failures(self.number)

    def count_events(self):
        """Return how many events there are so far, made here or elsewhere."""
        return len(self.texts)

    def take_contents(self, named):
        """Take the body, and the text that others have recorded.

        Args:
            named: Contents of the job, bytes by name.

        Raises:
            MissingError: The body is not among them.
        """
        name = self.item.body.name
        if name not in named or len(named[name]) != self.item.body.size:
            raise content.MissingError(f"{self.item.id} has no whole body.")
        self.body = named[name]
        self._pieces, self.texts, self.last_event = find_longest(named, self.number)
        self._recorded = len(self.texts)

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

        Args:
            timeout_s: How long to try, in seconds.

        Raises:
            LogError: It is not known to be recorded.
        """
        if len(self.texts) == self._recorded or not self.is_wanted:
            return
        count = len(self.texts)
        name = record.name_piece(self.number, uuid.uuid4().hex)
        piece = {
            "after": self._pieces[-1].name if self._pieces else None,
            "texts": self.texts[self._recorded :],
            "last": self.last_event,
        }
        found = await self._storage.contents.put(
            self._job.id, {name: orjson.dumps(piece)}, timeout_s
        )
        self._pieces.append(found[name])
        self._recorded = count

    async def finish(self, timeout_s):
        """List the item as done with the whole text.

        Raises:
            LogError: It is not known to be listed.
        """
        if not self.is_wanted:
            return
        name = record.name_text(self.number, self._run)
        text = "\n".join(self.texts).encode()
        found = await self._storage.contents.put(self._job.id, {name: text}, timeout_s)
        await self._list(True, found[name], timeout_s)
        await self._drop_needless()

    async def give_up(self, timeout_s):
        """List the item as one that was not done.

        Raises:
            LogError: It is not known to be listed.
        """
        await self._list(False, None, timeout_s)
        await self._drop_needless()

    async def _list(self, done, text, timeout_s):
        def build():
            if not self.is_wanted:
                return []
            writer = uuid.uuid4().hex
            return [
                record.make_result(self._job.id, self.number, writer, done, text),
            ]

        await self._storage.outcomes.put(build, timeout_s)

    async def _drop_needless(self):
        """Drop what nobody asks for once the item is listed."""
        try:
            references = [self.item.body, *self._pieces]
            await self._storage.contents.drop(self._job.id, references)
        except exception.LogError as error:
            # They go with the job.
            decision.note_request("item.contents_kept", self.item.id, why=str(error))

    async def note_failure(self, timeout_s):
        """Record that a target said the run has failed.

        Raises:
            LogError: It is not known to be recorded.
        """
        run = uuid.uuid4().hex
        index = self.failures

        def build():
            if not self.is_wanted or self.failures > index:
                return []
            return [record.make_failure(self._job.id, self.number, run)]

        await self._storage.outcomes.put(build, timeout_s)


def find_longest(named, number):
    """Return (references, texts, last event) of the longest recorded text of an item.

    Args:
        named: Contents of the job, bytes by name.
        number: Number of the item.

    Examples:
        >>> one = {"after": None, "texts": ["a", "b"], "last": "2"}
        >>> two = {"after": "t/0/one", "texts": ["c"], "last": "3"}
        >>> other = {"after": None, "texts": ["x"], "last": "1"}
        >>> named = {"t/0/one": one, "t/0/two": two, "t/0/other": other}
        >>> named = {name: orjson.dumps(piece) for name, piece in named.items()}
        >>> find_longest(named, 0)[1:]
        (['a', 'b', 'c'], '3')
    """
    prefix = record.name_piece(number, "")
    pieces = {}
    for name, value in named.items():
        if name.startswith(prefix):
            try:
                pieces[name] = orjson.loads(value)
            except ValueError:
                decision.note_belief("item.piece_garbled", piece=name)
    best = ([], [], None)
    for name in pieces:
        chain = _follow_back(pieces, name)
        if chain is None:
            continue
        texts = [text for link in chain for text in pieces[link]["texts"]]
        if len(texts) > len(best[1]):
            best = (chain, texts, pieces[name]["last"])
    references = [content.Reference(name, -1, 1, len(named[name])) for name in best[0]]
    return references, best[1], best[2]


def _follow_back(pieces, name):
    """Return the names of a chain from its first piece, or None if one is missing."""
    chain = []
    while name is not None:
        if name not in pieces or name in chain:
            return None
        chain.append(name)
        name = pieces[name]["after"]
    return chain[::-1]


def _follows(last, event_id):
    try:
        return int(event_id) == int(last) + 1
    except ValueError:
        return False
