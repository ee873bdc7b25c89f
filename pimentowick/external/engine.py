"""Client for a model engine that runs beside an agent."""

import abc
import contextlib
import dataclasses

import orjson

from pimentowick import client as http_client
from pimentowick import exception, verdict

__all__ = [
    "CacheEvent",
    "End",
    "Engine",
    "EngineLoad",
    "Generation",
    "HttpEngine",
    "Tokens",
]

ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """Generation request to an engine."""

    request_id: str
    attempt: int
    model: str
    adapter: str | None
    prompt: str
    max_tokens: int
    resume_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Consecutive tokens of a generation; `index` is the position of the first."""

    index: int
    texts: list


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a generation due to ``stop``, ``length`` or ``cancelled``."""

    finish_reason: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load reported by an engine.

    Attributes:
        running: Number of sequences in the running batch.
        waiting: Number of queued sequences.
        step_ms: Duration of a decoding step, in milliseconds.
        models: Names of the loaded models.
        adapters: Names of the loaded adapters.
    """

    running: int = 0
    waiting: int = 0
    step_ms: float = 0.0
    models: tuple = ()
    adapters: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Insertion or eviction of a block of the prefix cache.

    Attributes:
        sequence: Sequence number of the event; gaps indicate lost events.
        kind: ``stored`` or ``evicted``.
        block: Hash of the prefix.
    """

    sequence: int
    kind: str
    block: str


class Engine(abc.ABC):
    """Interface of a model engine."""

    @abc.abstractmethod
    def generate(self, generation):
        """Yield `Tokens` and finally one `End`, asynchronously.

        Closing the iterator early also ends the generation at the engine.

        Raises:
            RefusedError: The engine refused the request or its response was truncated.
        """

    @abc.abstractmethod
    async def cancel(self, request_id):
        """Ask the engine to cancel a generation; errors are ignored."""

    @abc.abstractmethod
    async def read_load(self):
        """Return the `EngineLoad`.

        Raises:
            UnavailableError: The engine did not respond successfully.
        """

    async def read_cache_events(self, start):
        """Return a list of `CacheEvent` and the next sequence number to read from.

        The default implementation is for engines that do not report cache events.

        Args:
            start: First sequence number to return.

        Raises:
            UnavailableError: The engine did not respond successfully.
        """
        return [], start

    @abc.abstractmethod
    async def send_order(self, fence, action, **fields):
        """Send a placement order with a fencing number.

        Raises:
            ConflictError: The engine has seen a higher fencing number.
            UnavailableError: It is unknown whether the order was executed.
        """


class HttpEngine(Engine):
    """Engine with the HTTP interface described in docs/PLATFORM.md.

    Args:
        address: ``IP:port`` of the engine.
        client: `pimentowick.client.Client` for streams.
        control: Client for all other requests, so that cancellations are not queued
            behind streams.
        idle_s: Idle timeout of a stream, in seconds.
    """

    def __init__(self, address, client, control, idle_s):
        self.address = address
        self._client = client
        self._control = control
        self._idle_s = idle_s

    async def generate(self, generation):
        """Yield the events of a generation; see `Engine.generate`."""
        stream = self._client.open_stream(
            "POST",
            self.address,
            "/generate",
            dataclasses.asdict(generation),
            idle_s=self._idle_s,
            # A refusal names no request, so one that is left over on a kept connection
            # would be taken for the response to this generation. The engine runs on the
            # same host, where new connections are cheap.
            new_connection=True,
            # The last line says that the generation has ended.
            needs_framing=False,
        )
        ended = False
        try:
            events = _parse_stream(stream, generation)
            async with contextlib.aclosing(events):
                async for event in events:
                    ended = isinstance(event, End)
                    yield event
        except http_client.TransportError as error:
            raise exception.RefusedError(
                verdict.Refusal(
                    502, "target_lost", str(error), error.verdict, retry_after=1.0
                )
            ) from error
        finally:
            if not ended:
                stream.abort()
        if not ended:
            raise exception.RefusedError(_make_status_refusal(stream))

    async def _fetch(self, method, path, body=None, **options):
        """Send a control request and return the `pimentowick.client.Response`.

        Its body is not used, or a JSON object, which tells by itself where it ends.
        """
        return await self._control.fetch(
            method, self.address, path, body, needs_framing=False, **options
        )

    async def cancel(self, request_id):
        """Cancel a generation; see `Engine.cancel`."""
        try:
            await self._fetch(
                "POST",
                "/cancel",
                {"request_id": request_id},
                timeout_s=CANCEL_TIMEOUT_S,
            )
        except exception.UnavailableError:
            return

    async def read_load(self):
        """Return the engine's load; see `Engine.read_load`."""
        response = await self._fetch("GET", "/load", timeout_s=LOAD_TIMEOUT_S)
        if response.status != 200:
            raise exception.UnavailableError(f"The engine answered {response.status}.")
        data = response.decode()
        return EngineLoad(
            running=data["running"],
            waiting=data["waiting"],
            step_ms=data["step_ms"],
            models=tuple(data["models"]),
            adapters=tuple(data.get("adapters", ())),
        )

    async def read_cache_events(self, start):
        """Return cache events; see `Engine.read_cache_events`."""
        response = await self._fetch(
            "GET", f"/cache-events?from={start}", timeout_s=LOAD_TIMEOUT_S
        )
        if response.status != 200:
            raise exception.UnavailableError(f"The engine answered {response.status}.")
        data = response.decode()
        events = [
            CacheEvent(row["sequence"], row["kind"], row["block"])
            for row in data["events"]
        ]
        return events, data["next"]

    async def send_order(self, fence, action, **fields):
        """Send a placement order; see `Engine.send_order`."""
        response = await self._fetch(
            "POST",
            "/orders",
            {"fence": fence, "action": action, **fields},
            timeout_s=ORDER_TIMEOUT_S,
        )
        if response.status == 409:
            raise exception.ConflictError("The engine has seen a newer order.")
        if response.status != 200:
            raise exception.UnavailableError(f"The engine answered {response.status}.")


async def _parse_stream(stream, generation):
    next_index = generation.resume_tokens
    while True:
        lines = await stream.read_lines()
        if not lines:
            return
        texts = []
        end = None
        for line in lines:
            event = _parse_line(line, generation)
            if event is None:
                continue
            if event.get("done"):
                end = End(event["finish_reason"], event["tokens"])
                break
            # Duplicate and out-of-order tokens would garble the response.
            if event.get("index") == next_index + len(texts):
                texts.append(event["text"])
        if texts:
            yield Tokens(next_index, texts)
            next_index += len(texts)
        if end is not None:
            yield end
            return


def _parse_line(line, generation):
    """Return the decoded line, or None if it is invalid or of another attempt.

    This guards against engines that send tokens of an earlier attempt or of another
    request.
    """
    try:
        event = orjson.loads(line)
    except ValueError:
        return None
    if not isinstance(event, dict):
        return None
    if event.get("request_id") != generation.request_id:
        return None
    if event.get("attempt") != generation.attempt:
        return None
    return event


def _make_status_refusal(stream):
    if stream.status == 404:
        return verdict.Refusal(
            503,
            "not_loaded",
            "The model is not loaded there. Try again.",
            retry_after=1,
        )
    if stream.status == 400:
        return verdict.Refusal(
            400, "bad_prompt", "The engine can't run this prompt. Change the request."
        )
    if stream.status in (429, 503):
        return verdict.Refusal(
            503,
            "target_busy",
            "The target takes no work now. Try again.",
            retry_after=1,
        )
    return verdict.Refusal(
        502,
        "target_lost",
        "The target's answer broke off. Try again if the request is idempotent.",
        verdict.Verdict.MAY_HAVE_RUN,
        retry_after=1.0,
    )
