"""One run of a batch item on a target, with periodic checkpoints."""

import asyncio
import dataclasses
import time

from pimentowick import exception, fingerprint, response_head
from pimentowick.gateway import (
    decision_log,
    event_stream,
    performance,
    upstream,
)
from pimentowick.gateway.policy import stream_origin
from pimentowick.platform import message
from pimentowick.routing import quarantine

__all__ = ["MAX_UNCONFIRMED", "Run", "Sink", "save_final", "send"]

METHOD = "POST"
# Bounds the generated text that is lost when another entry takes over.
CHECKPOINT_INTERVAL_S = 1.0
# A failed checkpoint is covered by the next one.
CHECKPOINT_TIMEOUT_S = 2.0
# The target aborts the run after this time, for example if the entry crashes.
MAX_RUN_S = 30.0
# A text is begun anew, at any run of a target, once this many targets did not confirm
# which run they are.
MAX_UNCONFIRMED = 3
# A run that receives no event for this long is aborted.
IDLE_TIMEOUT_S = 4.0


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One item that is queued or running at this entry.

    Attributes:
        job: The `pimentowick.gateway.job.Job`.
        route: The `pimentowick.gateway.route.Route` of the job.
        service: Name of the service that runs the item.
        transcript: The `pimentowick.gateway.transcript.Transcript`.
        service_time: The `service_time.ServiceTimeEstimator` of the route
            (`gateway.policy`).
        is_complete: Whether the text is complete and only its result is unrecorded.
        not_before: Monotonic time before which the item is not started.
        failures: Number of consecutive runs without an event.
        unconfirmed: Number of times that no target confirmed which run it is, since the
            last event.
        blocked_since: Monotonic time since which no target that may continue its text
            took it while others had unused slots, or None.
        target: The `pimentowick.gateway.target.Target` while running, else None.
        task: The `asyncio.Task` while running, else None.
        is_held: Whether it waits because it is quarantined.
        connections: Numbers of the connections that carried it.
        confirmations: Number of consecutive continuations that ended, without framing,
            before any event.
        waits_since: Monotonic time since which it has been queued.
        unmet_targets: Identifiers of the targets that did not meet its condition, of
            those that are not all of its service.
    """

    job: object
    route: object
    service: str
    transcript: object
    service_time: object
    is_complete: bool = False
    not_before: float = 0.0
    failures: int = 0
    unconfirmed: int = 0
    blocked_since: float | None = None
    target: object = None
    task: object = None
    is_held: bool = False
    connections: set = dataclasses.field(default_factory=set)
    confirmations: int = 0
    waits_since: float = dataclasses.field(default_factory=time.monotonic)
    unmet_targets: set = dataclasses.field(default_factory=set)
    _fingerprint: str = ""
    _parts: tuple | None = None

    def record_block(self, now):
        """Record that no target took it which may continue its text."""
        if self.blocked_since is None and self.transcript.last_event is not None:
            self.blocked_since = now

    @property
    def fingerprint(self):
        """Fingerprint of the item, whose body must be loaded."""
        if not self._fingerprint:
            self._fingerprint = fingerprint.compute_fingerprint(
                self.job.workspace,
                self.job.host,
                METHOD,
                self.item.path,
                self.transcript.body,
            )
        return self._fingerprint

    @property
    def names(self):
        """Names under which the item may be quarantined."""
        return [self.fingerprint, *self.part_names]

    @property
    def part_names(self):
        """Names of the shared parts of its prompt."""
        return [quarantine.name_part(self.service, part) for part in self.parts]

    @property
    def parts(self):
        """Identifiers of the shared parts of its prompt."""
        if self._parts is None:
            self._parts = message.decode_item_parts(self.item)
        return self._parts

    @property
    def item(self):
        """The `pimentowick.gateway.job.Item`."""
        return self.transcript.item

    @property
    def due_at(self):
        """Unix time by which the item is due."""
        return self.job.submitted_s + self.route.due_s

    @property
    def events_generated(self):
        """Number of events generated at this entry."""
        return self.transcript.events_generated

    @property
    def remaining_s(self):
        """Estimated remaining run time, in seconds."""
        return self.service_time.estimate_remaining_s(self.transcript.count_events())


class Sink(upstream.Sink):
    """Adds the events of one run to a transcript.

    Args:
        transcript: The `pimentowick.gateway.transcript.Transcript`.
        on_began: Function called with the first event.
    """

    def __init__(self, transcript, on_began=lambda: None):
        self._transcript = transcript
        self._on_began = on_began
        self._splitter = event_stream.EventSplitter()
        self._received_bytes = 0
        self._is_framed = True
        self.status = 0
        self.events = 0
        self.event_times = performance.EventTimes()
        self.is_in_order = True
        self.last_received_at = time.monotonic()

    async def on_headers(self, status, headers, answer):
        """Check the response headers; see `upstream.Sink`."""
        self.status = status
        self._is_framed = response_head.is_framed(status, headers)
        self.last_received_at = time.monotonic()
        if not answer.is_signed or answer.has_encoding:
            self.is_in_order = False
        if status == 200 and message.has_event_field(headers):
            # Its first event would be missing.
            self.is_in_order = False

    async def on_chunk(self, chunk):
        """Parse events from a chunk of the body; see `upstream.Sink`."""
        if self.status != 200:
            return
        self._received_bytes += len(chunk)
        for received_event in self._splitter.feed(chunk):
            # Bytes that complete no event may come without end.
            self.last_received_at = time.monotonic()
            self._add_event(received_event)

    def needs_body(self, status):
        """Return whether the body has events; see `upstream.Sink`."""
        return status == 200

    @property
    def may_be_whole(self):
        """Whether the text may have ended before this run; see `upstream.Sink`.

        The end of a run with events is found by another one. A result stays for good,
        and nobody waits for its last milliseconds.
        """
        return not self._received_bytes

    @property
    def can_continue(self):
        """Whether more of the body may complete the item; see `upstream.Sink`."""
        return (
            self.is_in_order
            and not self._splitter.is_overlong
            and self._received_bytes <= upstream.MAX_RESPONSE_BYTES
        )

    def _add_event(self, received_event):
        if received_event.id is None or not self.is_in_order:
            return
        if not self._is_framed and not event_stream.has_only(
            received_event.raw, message.EVENT_FIELDS
        ):
            # The bytes of another framing, or of the rest of a head.
            self.is_in_order = False
            return
        self.is_in_order = self._transcript.add(received_event)
        if self.is_in_order and not self.events:
            self._on_began()
        self.events += self.is_in_order
        self.event_times.record(int(self.is_in_order), self.last_received_at)

    @property
    def ends_within_event(self):
        """Whether part of an event arrived after the last whole one."""
        return not self._splitter.is_empty()

    def is_complete(self):
        """Return whether the stream ended after a whole event, with none missing."""
        return self._splitter.is_empty() and self.is_in_order


async def send(run, target, pool, on_began=lambda: None):
    """Run an item on a target, with periodic checkpoints.

    Args:
        run: The `Run`.
        target: The `pimentowick.gateway.target.Target`.
        pool: The `connection_pool.Pool` of the target.
        on_began: Function called with the first event.

    Returns:
        The `upstream.Outcome` and the `Sink`.
    """
    item_transcript = run.transcript
    begins = item_transcript.last_event is None
    run_check = target.make_run_check(
        is_required=not begins,
        is_asked=run.unconfirmed < MAX_UNCONFIRMED or not begins,
    )

    def on_first_event():
        run.blocked_since = None
        run.unconfirmed = 0
        if begins:
            item_transcript.origin = stream_origin.Origin(
                run.service, run_check.confirmed_version
            )
        on_began()

    sink = Sink(item_transcript, on_first_event)
    headers = message.encode_item_headers(
        run.item,
        len(item_transcript.body),
        run.job,
        MAX_RUN_S,
        target.id,
        item_transcript.last_event,
    )
    request = upstream.Request(
        run.item.id,
        METHOD,
        run.item.path,
        headers,
        item_transcript.body,
        run.connections,
        run_check,
    )
    checkpoint_task = asyncio.create_task(_checkpoint_periodically(item_transcript))
    request_task = asyncio.ensure_future(pool.send(request, sink))
    try:
        outcome = await _wait_for_outcome(request_task, sink)
    finally:
        request_task.cancel()
        checkpoint_task.cancel()
        await asyncio.gather(checkpoint_task, request_task, return_exceptions=True)
    outcome = outcome.check_events(
        sink.events, sink.ends_within_event, is_continuation=not begins
    )
    return outcome, sink


async def _checkpoint_periodically(item_transcript):
    """Write a checkpoint at a fixed interval until cancelled."""
    while True:
        await asyncio.sleep(CHECKPOINT_INTERVAL_S)
        try:
            await item_transcript.save(CHECKPOINT_TIMEOUT_S)
        except exception.LogError as error:
            decision_log.log_request_event(
                "item.unrecorded", item_transcript.item.id, why=str(error)
            )


async def save_final(item_transcript, timeout_s):
    """Write the checkpoint of a stopped run; only log a failure."""
    try:
        await item_transcript.save(timeout_s)
    except exception.LogError as error:
        decision_log.log_request_event(
            "item.unrecorded", item_transcript.item.id, why=str(error)
        )


async def _wait_for_outcome(request_task, sink):
    """Return the outcome of a run, or `End.INCOMPLETE` if it stays silent too long."""
    while True:
        remaining_s = sink.last_received_at + IDLE_TIMEOUT_S - time.monotonic()
        done, _ = await asyncio.wait({request_task}, timeout=max(0.0, remaining_s))
        if done:
            return request_task.result()
        if time.monotonic() - sink.last_received_at >= IDLE_TIMEOUT_S:
            return upstream.Outcome(upstream.End.INCOMPLETE, "silent")
