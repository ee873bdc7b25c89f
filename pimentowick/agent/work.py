"""Runs one request at the agent's target.

Each run is one task, that of the connection which asked for it. It takes its place
from the admission, passes the request to the target and yields the lines of the
answer. A batch item that is preempted ends at the engine, waits for a place, and
goes on from the tokens that it had.
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

ONLINE = "online"
BATCH = "batch"
# Statuses of an engine that won't resume a stream; of a bad prompt, too, which is
# then found out by running it from its beginning.
RESUME_REFUSED = frozenset([400, 404, 409, 422])


@dataclasses.dataclass(slots=True)
class Envelope:
    """What an entry tells about a request, besides the request itself."""

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
    """Return the `GenerateWork` or `ServiceWork` that an entry asks for.

    Raises:
        RefusedError: The message is malformed.
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
    """What both kinds of work share."""

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
        return self.envelope.priority == BATCH

    def make_alive(self):
        """Return the keep-alive line of this work."""
        return frame.make_alive(self.envelope.request_id, self.envelope.attempt)

    def make_refusal(self, refusal):
        """Return the line that refuses this work."""
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
        """Yield the lines of the answer.

        Raises:
            RefusedError: The request got no whole answer.
        """
        if self.is_batch:
            lines = self._run_batch(target, admission)
        else:
            lines = self._run_online(target, admission)
        # Closed here, not by the garbage collector: the place at the target would
        # stay taken until then.
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
                if error.refusal.status not in RESUME_REFUSED:
                    raise
            else:
                return
        # An engine that has lost the cache, or can't resume at all, refuses; the
        # item would fail for good though it can run. It begins again, and the
        # tokens that the entry has already are left out.
        events = self._run_until_preempted(target, admission, 0)
        async with contextlib.aclosing(events):
            async for event in events:
                event = _drop_known(event, produced)
                if event is not None:
                    yield event

    async def _generate(self, target, admission, generation):
        """Yield the engine's events, and show them to the admission's meter."""
        stream = object()
        prompt_chars = 0 if generation.resume_tokens else len(generation.prompt)
        try:
            # Closed with this iterator: a stream that is left to the garbage
            # collector would go on at the engine for a while.
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
        following = None
        try:
            while True:
                following = asyncio.ensure_future(anext(events, None))
                await asyncio.wait(
                    {following, preempted}, return_when=asyncio.FIRST_COMPLETED
                )
                if preempted.done():
                    return
                event = following.result()
                if event is None:
                    return
                yield event
        finally:
            preempted.cancel()
            await _cancel(following)
            await events.aclose()
            if preempted.done() and not preempted.cancelled():
                # The engine would go on with its step until it saw the closed
                # connection; the order frees the place for online work at once.
                await target.cancel(generation.request_id)

    def _make_line(self, event):
        request_id = self.envelope.request_id
        attempt = self.envelope.attempt
        if isinstance(event, external_engine.Tokens):
            return frame.make_tokens(request_id, attempt, event.index, event.texts)
        return frame.make_end(request_id, attempt, event.finish_reason, event.tokens)


def _drop_known(event, known):
    """Return the event without its first `known` tokens, or None if none is left."""
    if isinstance(event, external_engine.End):
        return event
    skip = max(0, known - event.index)
    if skip >= len(event.texts):
        return None
    return external_engine.Tokens(event.index + skip, event.texts[skip:])


async def _cancel(future):
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
        """Yield the line of the answer.

        Raises:
            RefusedError: The call got no whole answer.
        """
        await admission.admit_online(self.ticket, self.envelope.deadline_s)
        try:
            answer = await target.call(self.call)
        finally:
            admission.release_online(self.ticket)
        yield frame.make_answer(
            self.envelope.request_id,
            self.envelope.attempt,
            answer.status,
            answer.headers,
            answer.body,
        )
