"""Execution of a request at the agent's target.

Each request is executed by a task of its connection's handler. It waits for admission,
forwards the request to the target and yields the lines of the response. A preempted
batch item is cancelled at the engine, waits for readmission and resumes after the
tokens that it has generated.
"""

import asyncio
import contextlib
import dataclasses

from pimentowick import exception, verdict
from pimentowick.agent import frame
from pimentowick.external import engine as external_engine
from pimentowick.external import service as external_service
from pimentowick.scheduling import admission as scheduling_admission

__all__ = [
    "Envelope",
    "GenerateWork",
    "ServiceWork",
    "parse_work",
]

ONLINE_PRIORITY = "online"
BATCH_PRIORITY = "batch"
# Status codes with which an engine refuses to resume a generation. They include those
# for an invalid prompt, which fails again when the generation is restarted.
RESUME_REFUSED_STATUSES = frozenset([400, 404, 409, 422])


@dataclasses.dataclass(slots=True)
class Envelope:
    """Metadata that an entry sends with a request."""

    request_id: str
    attempt: int
    entry: str
    workspace: str
    priority: str
    deadline_s: float
    weight: float = 1.0
    lease: int = 0
    cost: float = 1.0
    job: str | None = None


def parse_work(data):
    """Parse the body of an entry's request as `GenerateWork` or `ServiceWork`.

    Raises:
        RefusedError: The body is malformed.
    """
    try:
        envelope = Envelope(**data["envelope"])
        if "generate" in data:
            fields = data["generate"]
            return GenerateWork(
                envelope,
                external_engine.Generation(
                    request_id=envelope.request_id, attempt=envelope.attempt, **fields
                ),
            )
        fields = dict(data["call"])
        fields["body"] = fields["body"].encode("latin-1")
        call = external_service.ServiceCall(
            request_id=envelope.request_id, deadline_s=envelope.deadline_s, **fields
        )
        return ServiceWork(envelope, call)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise exception.RefusedError(
            verdict.Refusal(400, "bad_request", f"Malformed work: {error!r}.")
        ) from error


class _Work:
    """Base class of both kinds of work."""

    def __init__(self, envelope):
        self.envelope = envelope
        self.ticket = scheduling_admission.Ticket(
            workspace=envelope.workspace,
            weight=envelope.weight,
            cost=envelope.cost,
            entry=envelope.entry,
        )

    @property
    def is_batch(self):
        """Whether this is a batch item."""
        return self.envelope.priority == BATCH_PRIORITY

    def make_keepalive(self):
        """Return the keep-alive line for this request."""
        return frame.make_keepalive(self.envelope.request_id, self.envelope.attempt)

    def make_refusal(self, refusal):
        """Return the line that reports a refusal of this request."""
        return frame.make_refusal(
            self.envelope.request_id, self.envelope.attempt, refusal
        )


class GenerateWork(_Work):
    """A generation at the engine."""

    def __init__(self, envelope, generation):
        super().__init__(envelope)
        self.generation = generation
        self.ticket.prompt_chars = len(generation.prompt)

    async def run(self, target, admission):
        """Yield the lines of the response.

        Raises:
            RefusedError: The target did not respond completely.
        """
        if self.is_batch:
            lines = self._run_batch(target, admission)
        else:
            lines = self._run_online(target, admission)
        # Close the generator explicitly; otherwise the slot at the target is released
        # only on garbage collection.
        async with contextlib.aclosing(lines):
            async for line in lines:
                yield line

    async def _run_online(self, target, admission):
        await admission.admit_online(self.ticket, self.envelope.deadline_s)
        try:
            events = self._generate(target, admission, self.generation)
            async with contextlib.aclosing(events):
                async for event in events:
                    yield self._make_line(event)
        finally:
            admission.release_online(self.ticket)

    async def _run_batch(self, target, admission):
        produced = self.generation.resume_tokens
        try:
            await admission.admit_batch(self.ticket)
            while True:
                events = self._resume(target, admission, produced)
                async with contextlib.aclosing(events):
                    async for event in events:
                        if isinstance(event, external_engine.Tokens):
                            produced = event.index + len(event.texts)
                            self.ticket.prompt_chars = 0
                        yield self._make_line(event)
                        if isinstance(event, external_engine.End):
                            return
                await admission.readmit_batch(self.ticket)
        finally:
            admission.release_batch(self.ticket)

    async def _resume(self, target, admission, produced):
        """Yield the events after the first `produced` tokens."""
        if produced:
            try:
                events = self._run_until_preempted(target, admission, produced)
                async with contextlib.aclosing(events):
                    async for event in events:
                        yield event
            except exception.RefusedError as error:
                if error.refusal.status not in RESUME_REFUSED_STATUSES:
                    raise
            else:
                return
        # The engine can't resume, for instance because it evicted the cache. Restart
        # the generation and skip the tokens that were already sent to the entry.
        events = self._run_until_preempted(target, admission, 0)
        async with contextlib.aclosing(events):
            async for event in events:
                event = _skip_sent_tokens(event, produced)
                if event is not None:
                    yield event

    async def _generate(self, target, admission, generation):
        """Yield the engine's events, and record tokens and steps for admission."""
        stream = object()
        prompt_chars = 0 if generation.resume_tokens else len(generation.prompt)
        try:
            # Close the stream explicitly; otherwise the engine continues it until
            # garbage collection.
            async with contextlib.aclosing(target.generate(generation)) as events:
                async for event in events:
                    if isinstance(event, external_engine.Tokens):
                        admission.step_tracker.observe_token(
                            stream, self.is_batch, prompt_chars
                        )
                        if self.is_batch:
                            admission.record_tokens(self.ticket, len(event.texts))
                        prompt_chars = 0
                    yield event
        finally:
            admission.step_tracker.observe_end(stream)

    async def _run_until_preempted(self, target, admission, produced):
        generation = dataclasses.replace(self.generation, resume_tokens=produced)
        events = self._generate(target, admission, generation)
        preempted = asyncio.ensure_future(self.ticket.preempted.wait())
        next_event = None
        try:
            while True:
                next_event = asyncio.ensure_future(anext(events, None))
                await asyncio.wait(
                    {next_event, preempted}, return_when=asyncio.FIRST_COMPLETED
                )
                if preempted.done():
                    return
                event = next_event.result()
                if event is None:
                    return
                yield event
        finally:
            preempted.cancel()
            await _cancel_future(next_event)
            await events.aclose()
            if preempted.done() and not preempted.cancelled():
                # Cancel explicitly to free the slot for online work immediately; the
                # engine may detect the closed connection only after its current step.
                await target.cancel(generation.request_id)

    def _make_line(self, event):
        request_id = self.envelope.request_id
        attempt = self.envelope.attempt
        if isinstance(event, external_engine.Tokens):
            return frame.make_tokens(request_id, attempt, event.index, event.texts)
        return frame.make_end(request_id, attempt, event.finish_reason, event.tokens)


def _skip_sent_tokens(event, sent_tokens):
    """Return the event without the tokens already sent, or None if none is left."""
    if isinstance(event, external_engine.End):
        return event
    skip = max(0, sent_tokens - event.index)
    if skip >= len(event.texts):
        return None
    return external_engine.Tokens(event.index + skip, event.texts[skip:])


async def _cancel_future(future):
    if future is None or future.done():
        return
    future.cancel()
    await asyncio.gather(future, return_exceptions=True)


class ServiceWork(_Work):
    """A call to a plain service."""

    def __init__(self, envelope, call):
        super().__init__(envelope)
        self.call = call

    async def run(self, target, admission):
        """Yield the single line of the response.

        Raises:
            RefusedError: The service did not respond completely.
        """
        await admission.admit_online(self.ticket, self.envelope.deadline_s)
        try:
            response = await target.call(self.call)
        finally:
            admission.release_online(self.ticket)
        yield frame.make_response(
            self.envelope.request_id,
            self.envelope.attempt,
            response.status,
            response.headers,
            response.body,
        )
