"""One run of a batch item at a target: what is sent, and what of it is kept."""

import asyncio
import dataclasses
import time

from pimentowick import exception
from pimentowick.gateway import decision, event, upstream
from pimentowick.platform import message

__all__ = ["Run", "Sink", "save_last", "send"]

# Text that was generated is recorded this often, so that an entry that takes over
# goes on there; a run of some seconds is lost otherwise.
RECORD_EVERY_S = 1.0
# How long a record of some text is tried; a later one holds all of it.
RECORD_TIMEOUT_S = 2.0
# A target stops at this time by itself, should this entry vanish.
RUN_LIMIT_S = 30.0
# An item whose run brings no event for so long has lost its target.
SILENT_S = 4.0


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One item that this entry has to run.

    Attributes:
        job: The `pimentowick.gateway.job.Job`.
        route: The `pimentowick.gateway.route.Route` of the job.
        service: Name of the service that the item goes to.
        transcript: The `pimentowick.gateway.transcript.Transcript`.
        service_time: The `service_time.ServiceTime` of the route (`gateway.policy`).
        is_whole: Whether all of its text is here and only has to be listed.
        not_before: Monotonic time of the next try.
        failures: Tries in a row without an event.
        target: The `pimentowick.gateway.target.Target`, while it runs.
        task: The task, while it runs.
    """

    job: object
    route: object
    service: str
    transcript: object
    service_time: object
    is_whole: bool = False
    not_before: float = 0.0
    failures: int = 0
    target: object = None
    task: object = None

    @property
    def item(self):
        """The `pimentowick.gateway.job.Item`."""
        return self.transcript.item

    @property
    def due_at(self):
        """Unix time at which the item is due."""
        return self.job.submitted_s + self.route.due_s

    @property
    def steps_done(self):
        """Events made here."""
        return self.transcript.made

    @property
    def left_s(self):
        """Seconds that the item still has to run."""
        return self.service_time.estimate_left(self.transcript.count_events())


class Sink(upstream.Sink):
    """Collects the events of one run."""

    def __init__(self, transcript):
        self._transcript = transcript
        self._splitter = event.EventSplitter()
        self.status = 0
        self.events = 0
        self.in_order = True
        self.heard_at = time.monotonic()

    async def take_head(self, status, headers, answer):
        """Take the head; see `upstream.Sink`."""
        self.status = status
        self.heard_at = time.monotonic()
        if not answer.is_signed or answer.has_encoding:
            self.in_order = False

    async def take_chunk(self, chunk):
        """Take some bytes; see `upstream.Sink`."""
        if self.status != 200:
            return
        self.heard_at = time.monotonic()
        for entry in self._splitter.feed(chunk):
            self._take(entry)

    def _take(self, entry):
        if entry.id is None or not self.in_order:
            return
        self.in_order = self._transcript.add(entry)
        self.events += self.in_order

    def is_whole(self):
        """Return whether the stream ended between two events, all in order."""
        return self._splitter.is_empty() and self.in_order


async def send(run, target, pool):
    """Send an item to a target, recording its text from time to time.

    Args:
        run: The `Run`.
        target: The `pimentowick.gateway.target.Target`.
        pool: The `upstream.Pool` of the target.

    Returns:
        The `upstream.Outcome` and the `Sink`.
    """
    made = run.transcript
    sink = Sink(made)
    headers = message.encode_item_headers(
        run.item, len(made.body), run.job, RUN_LIMIT_S, target.id, made.last_event
    )
    request = upstream.Request(run.item.id, "POST", run.item.path, headers, made.body)
    saver = asyncio.create_task(_save_often(made))
    sending = asyncio.ensure_future(pool.send(request, sink))
    try:
        outcome = await _watch(sending, sink)
    finally:
        sending.cancel()
        saver.cancel()
        await asyncio.gather(saver, sending, return_exceptions=True)
    return outcome, sink


async def _save_often(made):
    """Record the text of a run from time to time until cancelled."""
    while True:
        await asyncio.sleep(RECORD_EVERY_S)
        try:
            await made.save(RECORD_TIMEOUT_S)
        except exception.LogError as error:
            decision.note_request("item.unrecorded", made.item.id, why=str(error))


async def save_last(made, timeout_s):
    """Record the text of a run that has ended here; a failure is logged only."""
    try:
        await made.save(timeout_s)
    except exception.LogError as error:
        decision.note_request("item.unrecorded", made.item.id, why=str(error))


async def _watch(sending, sink):
    """Return the outcome of a run, or give it up once nothing comes any more."""
    while True:
        left_s = sink.heard_at + SILENT_S - time.monotonic()
        done, _ = await asyncio.wait({sending}, timeout=max(0.0, left_s))
        if done:
            return sending.result()
        if time.monotonic() - sink.heard_at >= SILENT_S:
            return upstream.Outcome(upstream.End.CUT, "silent")
