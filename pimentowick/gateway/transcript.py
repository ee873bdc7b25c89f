"""Text of an item: the events generated so far, and its checkpoints in the store.

Notes:
    An item may run at two entries at once. Each checkpoint has a unique name and links
    to its predecessor, so that checkpoints of different runs are never mixed. A new
    owner resumes from the longest chain. The events of a text are all of one software
    version; if its targets are gone, the item begins anew. A result refers to one
    complete text; if an item has several results, the first one counts.
"""

import uuid

import orjson

from pimentowick import exception
from pimentowick.gateway import content, decision_log, record
from pimentowick.gateway.policy import stream_origin

__all__ = ["Transcript", "find_longest_text"]


class Transcript:
    """The text of one item as known to this entry.

    Args:
        storage: The `pimentowick.gateway.job_storage.JobStorage` of the job.
        job: The `pimentowick.gateway.job.Job`.
        number: Number of the item.

    Attributes:
        item: The `pimentowick.gateway.job.Item`.
        number: Number of the item.
        body: Its body, or None until it is read.
        texts: Data of the events so far.
        last_event: Identifier of the last event, or None.
        origin: The `stream_origin.Origin` of the text (`gateway.policy`), or None if it
            is unknown.
        events_generated: Number of events received from targets at this entry.
    """

    def __init__(self, storage, job, number):
        self._storage = storage
        self._job = job
        self._checkpoints = []
        self._recorded_count = 0
        self.item = job.items[number]
        self.number = number
        self.body = None
        self.texts = []
        self.last_event = None
        self.origin = None
        self._discarded = []
        self.events_generated = 0

    @property
    def needs_run(self):
        """Whether the item still has to run."""
        current_job = self._storage.job_table.jobs.get(self._job.id)
        return current_job is self._job and self._job.needs_run(self.number)

    @property
    def failures(self):
        """Number of failed runs of the item."""
        return self._job.count_failures(self.number)

    def count_events(self):
        """Return the number of events so far, including those of other entries."""
        return len(self.texts)

    def load(self, contents, can_continue=lambda origin: True):
        """Load the body and the longest chain of checkpoints.

        Args:
            contents: Contents of the job, bytes by name.
            can_continue: Function that returns whether a target may continue a text
                of an `stream_origin.Origin`. Such texts are preferred.

        Raises:
            MissingError: The body is missing or incomplete.
        """
        name = self.item.body.name
        if name not in contents or len(contents[name]) != self.item.body.size:
            raise content.MissingError(
                f"{self.item.id}: the body is missing or incomplete."
            )
        self.body = contents[name]
        found = find_longest_text(contents, self.number, can_continue)
        self._checkpoints, self.texts, self.last_event, self.origin = found
        self._recorded_count = len(self.texts)

    def restart(self):
        """Discard the text, so that the item begins anew."""
        self._discarded += self._checkpoints
        self._checkpoints = []
        self._recorded_count = 0
        self.texts = []
        self.last_event = None
        self.origin = None

    def add(self, event):
        """Append an event; return False if it does not follow the last one."""
        if self.last_event is not None and not _follows(self.last_event, event.id):
            return False
        self.texts.append(event.data)
        self.last_event = event.id
        self.events_generated += 1
        return True

    async def save(self, timeout_s):
        """Write a checkpoint of the text, so that another entry can resume from it.

        Args:
            timeout_s: Timeout, in seconds.

        Raises:
            LogError: The checkpoint may not be written.
        """
        if len(self.texts) == self._recorded_count or not self.needs_run:
            return
        count = len(self.texts)
        name = record.name_checkpoint(self.number, uuid.uuid4().hex)
        checkpoint = {
            "after": self._checkpoints[-1].name if self._checkpoints else None,
            "texts": self.texts[self._recorded_count :],
            "last": self.last_event,
            "origin": None
            if self.origin is None
            else [self.origin.service, self.origin.software_version],
        }
        checkpoints = self._checkpoints
        references = await self._storage.contents.put(
            self._job.id, {name: orjson.dumps(checkpoint)}, timeout_s
        )
        if checkpoints is not self._checkpoints:
            # The text was discarded meanwhile.
            self._discarded.append(references[name])
            return
        self._checkpoints.append(references[name])
        self._recorded_count = count

    async def finish(self, timeout_s):
        """Store the complete text and record the item as done.

        Raises:
            LogError: The result may not be recorded.
        """
        if not self.needs_run:
            return
        # The record of an earlier text may still land, and refers to it by name.
        name = record.name_text(self.number, uuid.uuid4().hex)
        text = "\n".join(self.texts).encode()
        references = await self._storage.contents.put(
            self._job.id, {name: text}, timeout_s
        )
        await self._record_result(True, references[name], timeout_s)
        await self._delete_unneeded()

    async def abandon(self, timeout_s):
        """Record the item as not done.

        Raises:
            LogError: The result may not be recorded.
        """
        await self._record_result(False, None, timeout_s)
        await self._delete_unneeded()

    async def _record_result(self, done, text, timeout_s):
        def build():
            if not self.needs_run:
                return []
            writer = uuid.uuid4().hex
            return [
                record.make_result(self._job.id, self.number, writer, done, text),
            ]

        await self._storage.outcomes.put(build, timeout_s)

    async def _delete_unneeded(self):
        """Delete the body and the checkpoints of an item that need not run any more."""
        current_job = self._storage.job_table.jobs.get(self._job.id)
        if current_job is None or current_job.needs_run(self.number):
            return
        try:
            references = [self.item.body, *self._checkpoints, *self._discarded]
            await self._storage.contents.delete(self._job.id, references)
        except exception.LogError as error:
            # They are deleted together with the job.
            decision_log.log_request_event(
                "item.contents_kept", self.item.id, why=str(error)
            )

    async def record_failure(self, timeout_s):
        """Record that the target reported a run as failed.

        Raises:
            LogError: The failure may not be recorded.
        """
        failure_id = uuid.uuid4().hex
        index = self.failures

        def build():
            if not self.needs_run or self.failures > index:
                return []
            return [record.make_failure(self._job.id, self.number, failure_id)]

        await self._storage.outcomes.put(build, timeout_s)


def find_longest_text(contents, number, can_continue=lambda origin: True):
    """Return (references, texts, last event, origin) of the best chain of checkpoints.

    The best chain is the longest one that can be continued, or else the longest.

    Args:
        contents: Contents of the job, bytes by name.
        number: Number of the item.
        can_continue: Function from an `stream_origin.Origin` or None to whether a
            target may continue its text.

    Examples:
        >>> one = {"after": None, "texts": ["a", "b"], "last": "2"}
        >>> two = {"after": "t/0/one", "texts": ["c"], "last": "3"}
        >>> other = {"after": None, "texts": ["x"], "last": "1", "origin": ["s", "v1"]}
        >>> contents = {"t/0/one": one, "t/0/two": two, "t/0/other": other}
        >>> contents = {name: orjson.dumps(value) for name, value in contents.items()}
        >>> find_longest_text(contents, 0)[1:]
        (['a', 'b', 'c'], '3', None)
        >>> find_longest_text(contents, 0, lambda origin: origin is not None)[1:3]
        (['x'], '1')
    """
    prefix = record.name_checkpoint(number, "")
    checkpoints = {}
    for name, value in contents.items():
        if name.startswith(prefix):
            try:
                checkpoints[name] = _decode_checkpoint(value)
            except (ValueError, TypeError, LookupError) as error:
                decision_log.log_event("item.piece_garbled", piece=name, why=str(error))
    best, best_rank = ([], [], None, None), (False, 0)
    for name, checkpoint in checkpoints.items():
        chain = _build_chain(checkpoints, name)
        if chain is None:
            continue
        texts = [text for link in chain for text in checkpoints[link]["texts"]]
        origin = checkpoint["origin"]
        rank = (can_continue(origin), len(texts))
        if texts and rank > best_rank:
            best, best_rank = (chain, texts, checkpoint["last"], origin), rank
    references = [
        content.Reference(name, -1, 1, len(contents[name])) for name in best[0]
    ]
    return references, *best[1:]


def _decode_checkpoint(value):
    """Return the fields of a checkpoint, with its `stream_origin.Origin` or None.

    Raises:
        ValueError, TypeError or LookupError: It is malformed.
    """
    fields = orjson.loads(value)
    after, texts, last = fields["after"], fields["texts"], fields["last"]
    names = [last] if after is None else [last, after]
    if not isinstance(texts, list):
        raise TypeError("The texts are no list.")
    if not all(isinstance(each, str) for each in (*names, *texts)):
        raise TypeError("A text or a name is no string.")
    row = fields.get("origin")
    origin = None if row is None else stream_origin.Origin(*row)
    return {"after": after, "texts": texts, "last": last, "origin": origin}


def _build_chain(checkpoints, name):
    """Return the names of a chain in order, or None if a checkpoint is missing."""
    chain = []
    while name is not None:
        if name not in checkpoints or name in chain:
            return None
        chain.append(name)
        name = checkpoints[name]["after"]
    return chain[::-1]


def _follows(last, event_id):
    try:
        return int(event_id) == int(last) + 1
    except ValueError:
        return False
