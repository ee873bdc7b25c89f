"""Clients that record the outcome of each request and check the guarantees.

Tests with faults send their requests through `Callers`. `Callers.check` compares the
responses with the runs that the fake targets have counted.
"""

import asyncio
import collections
import dataclasses

import orjson

from pimentowick import client as http_client
from pimentowick import verdict
from pimentowick.fakes import embedded, engine

__all__ = [
    "Callers",
    "Outcome",
    "post_without_reading",
    "run_with_callers",
]

SERVICE_PATH = f"/v1/services/{embedded.SERVICE}/confirm"
STREAM_END = b"data: [DONE]"
DATA_PREFIX = b"data: "
READ_LIMIT_BYTES = 100_000_000
# Errors with these statuses must tell the client when to retry.
RETRYABLE_STATUSES = frozenset([429, 502, 503, 504])


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one request, as seen by the client.

    Attributes:
        request_id: Request id in the response; None if there was no response.
        status: HTTP status; None if there was no response.
        text: Text of a completion received so far.
        expected: Text of the complete completion.
        complete: Whether the response was complete.
        error: The ``error`` object of a rejected or failed request.
        key: Idempotency key of a service call.
        body: Body of the response to a service call.
    """

    request_id: str | None = None
    status: int | None = None
    text: str = ""
    expected: str = ""
    complete: bool = False
    error: dict | None = None
    key: str | None = None
    body: dict | None = None

    @property
    def verdict(self):
        """What the error says about the request having run; None without an error."""
        return None if self.error is None else self.error["verdict"]


class Callers:
    """Sends requests to an embedded deployment and records their outcomes.

    Args:
        fleet: `pimentowick.fakes.embedded.EmbeddedDeployment`.

    Attributes:
        outcomes: The `Outcome` of each request, in the order of sending.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []
        self._known_targets = dict(fleet.targets)

    async def chat(self, content, max_tokens=8, **fields):
        """Request a chat completion and return its `Outcome`."""
        outcome = self._add_outcome(
            expected=engine.make_expected_text(f"user: {content}", max_tokens)
        )
        response = await self._fetch(
            outcome, self.fleet.chat(content, max_tokens, **fields)
        )
        if response is not None and response.status == 200:
            choice = response.decode()["choices"][0]
            outcome.text = choice["message"]["content"]
            outcome.complete = True
        return outcome

    async def stream(self, content, max_tokens=8, entry=None, on_text=None):
        """Request a streamed chat completion and return its `Outcome`.

        Args:
            content: Content of the user's message.
            max_tokens: Number of tokens to generate.
            entry: Name of the entry; the first one if None.
            on_text: Function called with the outcome after each chunk.
        """
        outcome = self._add_outcome(
            expected=engine.make_expected_text(f"user: {content}", max_tokens)
        )
        stream = self.open_stream(content, max_tokens, entry)
        try:
            while not outcome.complete:
                lines = await stream.read_lines()
                if not lines:
                    break
                for line in lines:
                    _record_event(outcome, line)
                if on_text is not None:
                    on_text(outcome)
            outcome.status = outcome.status or stream.status
        except http_client.TransportError:
            return outcome
        finally:
            stream.abort()
        return outcome

    def open_stream(self, content, max_tokens, entry=None):
        """Open the `pimentowick.client.Stream` of a streamed chat completion."""
        name = next(iter(self.fleet.entries)) if entry is None else entry
        messages = [{"role": "user", "content": content}]
        body = {"model": embedded.MODEL, "messages": messages}
        body |= {"max_tokens": max_tokens, "stream": True}
        return self.fleet.client.open_stream(
            "POST",
            self.fleet.entries[name].address,
            "/v1/chat/completions",
            body,
            {"Authorization": f"Bearer {self.fleet.tokens['a']}"},
            timeout_s=30.0,
            idle_s=20.0,
        )

    async def confirm(self, key=None, body=None, headers=None, **fields):
        """Send a non-idempotent service call and return its `Outcome`."""
        outcome = self._add_outcome(key=key)
        headers = dict(headers or {})
        if key is not None:
            headers["Idempotency-Key"] = key
        sent = {"stand": key} if body is None else body
        fields.setdefault("timeout_s", 20.0)
        response = await self._fetch(
            outcome,
            self.fleet.fetch("POST", SERVICE_PATH, sent, headers=headers, **fields),
        )
        if response is not None and response.status == 200:
            outcome.body = response.decode()
            outcome.complete = outcome.body["confirmed"] == sent
        return outcome

    def _add_outcome(self, **fields):
        outcome = Outcome(**fields)
        self.outcomes.append(outcome)
        return outcome

    async def _fetch(self, outcome, request):
        try:
            response = await request
        except http_client.TransportError:
            return None
        outcome.status = response.status
        outcome.request_id = response.headers["X-Request-Id"]
        if response.status != 200:
            _record_error(outcome, response.decode())
        return response

    def count_runs(self, request_id):
        """Return how often the targets ran a request."""
        targets = self._get_all_targets().values()
        return sum(target.runs[request_id] for target in targets)

    def _get_all_targets(self):
        # Includes targets that a test has crashed meanwhile.
        self._known_targets.update(self.fleet.targets)
        return self._known_targets

    def check(self):
        """Check all outcomes against the runs that the targets have counted.

        Raises:
            AssertionError: A guarantee was violated.
        """
        for outcome in self.outcomes:
            self._check_text(outcome)
            self._check_refusal(outcome)
        self._check_services()

    def _check_text(self, outcome):
        if outcome.complete:
            assert outcome.text == outcome.expected, outcome
        # A truncated text has to be a prefix of the expected one.
        assert outcome.expected.startswith(outcome.text), outcome

    def _check_refusal(self, outcome):
        if outcome.error is None:
            return
        assert outcome.request_id, outcome
        if outcome.verdict == verdict.Verdict.NOT_RUN:
            assert self.count_runs(outcome.request_id) == 0, outcome
        if outcome.status in RETRYABLE_STATUSES:
            assert outcome.error.get("retry_after"), outcome

    def _check_services(self):
        keys = collections.Counter()
        for name, target in self._get_all_targets().items():
            if not name.startswith(embedded.SERVICE):
                continue
            assert all(count == 1 for count in target.runs.values()), target.runs
            keys.update(target.keys)
        assert all(count == 1 for count in keys.values()), keys
        for outcome in self.outcomes:
            if outcome.key is not None and outcome.complete:
                assert keys[outcome.key] == 1, outcome


def _record_error(outcome, data):
    outcome.error = data["error"]
    outcome.request_id = data["error"]["request_id"]


def _record_event(outcome, line):
    if line == STREAM_END:
        outcome.complete = True
        return
    if not line.startswith(DATA_PREFIX):
        data = orjson.loads(line)
        outcome.status = data["status"]
        _record_error(outcome, data)
        return
    data = orjson.loads(line.removeprefix(DATA_PREFIX))
    outcome.status = 200
    if "error" in data:
        _record_error(outcome, data)
        return
    outcome.request_id = data["id"]
    outcome.text += data["choices"][0]["delta"].get("content") or ""


def run_with_callers(check, **settings):
    """Run ``check(fleet, callers)`` in an embedded deployment, then `Callers.check`.

    Args:
        check: Coroutine function of the deployment and the `Callers`.
        **settings: Arguments of `pimentowick.fakes.embedded.EmbeddedDeployment`.
    """

    async def run():
        fleet = embedded.EmbeddedDeployment(**settings)
        try:
            await fleet.start()
            callers = Callers(fleet)
            await check(fleet, callers)
            callers.check()
        finally:
            await fleet.close()

    asyncio.run(run())


async def post_without_reading(address, path, body, headers=None):
    """Post JSON over a new connection without reading the response.

    Returns:
        The reader, whose transport is paused, and the writer.
    """
    host, _, port = address.rpartition(":")
    data = orjson.dumps(body)
    lines = [f"POST {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(data)}", "", ""]
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=READ_LIMIT_BYTES
    )
    writer.transport.pause_reading()
    writer.write("\r\n".join(lines).encode() + data)
    return reader, writer
