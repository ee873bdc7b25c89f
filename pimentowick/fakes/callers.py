"""Callers that note how their requests ended, and the check of what was promised.

Tests of failures send their requests through `Callers`, and `Callers.check` compares
what was answered with what the stand-ins counted.
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
END_MARK = b"data: [DONE]"
DATA = b"data: "
READ_LIMIT = 100_000_000
# Refusals that say "later" have to say when.
LATER_STATUSES = frozenset([429, 502, 503, 504])


@dataclasses.dataclass(slots=True)
class Outcome:
    """How one request ended, as its caller saw it.

    Attributes:
        request_id: Id that the answer names; None if there was no answer.
        status: HTTP status; None if there was no answer.
        text: Text of a completion, as far as it came.
        expected: Text that a whole answer has.
        complete: Whether the answer was whole.
        error: The ``error`` object of a refusal.
        key: Idempotency key of a call.
        body: Body of an answered call.
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
        """What the refusal said about the effect; None without a refusal."""
        return None if self.error is None else self.error["verdict"]


class Callers:
    """Sends requests to an embedded deployment and notes how they end.

    Args:
        fleet: `pimentowick.fakes.embedded.EmbeddedDeployment`.

    Attributes:
        outcomes: All `Outcome`, in the order in which the requests were sent.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []
        self._targets = dict(fleet.targets)

    async def chat(self, content, max_tokens=8, **fields):
        """Ask for a completion and return its `Outcome`."""
        outcome = self._note(
            expected=engine.make_expected_text(f"user: {content}", max_tokens)
        )
        answer = await self._fetch(
            outcome, self.fleet.chat(content, max_tokens, **fields)
        )
        if answer is not None and answer.status == 200:
            choice = answer.decode()["choices"][0]
            outcome.text = choice["message"]["content"]
            outcome.complete = True
        return outcome

    async def stream(self, content, max_tokens=8, entry=None, on_text=None):
        """Ask for a streamed completion and return its `Outcome`.

        Args:
            content: What the user says.
            max_tokens: Length of the answer.
            entry: Name of the entry; the first one if None.
            on_text: Function called with the outcome after each piece.
        """
        outcome = self._note(
            expected=engine.make_expected_text(f"user: {content}", max_tokens)
        )
        stream = self.open_stream(content, max_tokens, entry)
        try:
            while not outcome.complete:
                lines = await stream.read_lines()
                if not lines:
                    break
                for line in lines:
                    _take_event(outcome, line)
                if on_text is not None:
                    on_text(outcome)
            outcome.status = outcome.status or stream.status
        except http_client.TransportError:
            return outcome
        finally:
            stream.abort()
        return outcome

    def open_stream(self, content, max_tokens, entry=None):
        """Return the `pimentowick.client.Stream` of a streamed completion."""
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
        """Send a call that must not run twice and return its `Outcome`."""
        outcome = self._note(key=key)
        headers = dict(headers or {})
        if key is not None:
            headers["Idempotency-Key"] = key
        sent = {"stand": key} if body is None else body
        fields.setdefault("timeout_s", 20.0)
        answer = await self._fetch(
            outcome,
            self.fleet.fetch("POST", SERVICE_PATH, sent, headers=headers, **fields),
        )
        if answer is not None and answer.status == 200:
            outcome.body = answer.decode()
            outcome.complete = outcome.body["confirmed"] == sent
        return outcome

    def _note(self, **fields):
        outcome = Outcome(**fields)
        self.outcomes.append(outcome)
        return outcome

    async def _fetch(self, outcome, request):
        try:
            answer = await request
        except http_client.TransportError:
            return None
        outcome.status = answer.status
        outcome.request_id = answer.headers["X-Request-Id"]
        if answer.status != 200:
            _take_error(outcome, answer.decode())
        return answer

    def count_runs(self, request_id):
        """Return how often the stand-ins ran a request."""
        targets = self._list_targets().values()
        return sum(target.runs[request_id] for target in targets)

    def _list_targets(self):
        # With those that a test has crashed since.
        self._targets.update(self.fleet.targets)
        return self._targets

    def check(self):
        """Compare what was answered with what ran.

        Raises:
            AssertionError: A promise was broken.
        """
        for outcome in self.outcomes:
            self._check_answer(outcome)
            self._check_refusal(outcome)
        self._check_services()

    def _check_answer(self, outcome):
        if outcome.complete:
            assert outcome.text == outcome.expected, outcome
        # Whatever came is a beginning of the right answer.
        assert outcome.expected.startswith(outcome.text), outcome

    def _check_refusal(self, outcome):
        if outcome.error is None:
            return
        assert outcome.request_id, outcome
        if outcome.verdict == verdict.Verdict.NOT_RUN:
            assert self.count_runs(outcome.request_id) == 0, outcome
        if outcome.status in LATER_STATUSES:
            assert outcome.error.get("retry_after"), outcome

    def _check_services(self):
        keys = collections.Counter()
        for name, target in self._list_targets().items():
            if not name.startswith(embedded.SERVICE):
                continue
            assert all(count == 1 for count in target.runs.values()), target.runs
            keys.update(target.keys)
        assert all(count == 1 for count in keys.values()), keys
        for outcome in self.outcomes:
            if outcome.key is not None and outcome.complete:
                assert keys[outcome.key] == 1, outcome


def _take_error(outcome, data):
    outcome.error = data["error"]
    outcome.request_id = data["error"]["request_id"]


def _take_event(outcome, line):
    if line == END_MARK:
        outcome.complete = True
        return
    if not line.startswith(DATA):
        data = orjson.loads(line)
        outcome.status = data["status"]
        _take_error(outcome, data)
        return
    data = orjson.loads(line.removeprefix(DATA))
    outcome.status = 200
    if "error" in data:
        _take_error(outcome, data)
        return
    outcome.request_id = data["id"]
    outcome.text += data["choices"][0]["delta"].get("content") or ""


def run_with_callers(check, **settings):
    """Run ``check(fleet, callers)`` in an embedded deployment, then `Callers.check`.

    Args:
        check: Coroutine function.
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
    """Post JSON over a connection of its own and leave the answer in the sockets.

    Returns:
        The reader, which takes nothing before the test lets it, and the writer.
    """
    host, _, port = address.rpartition(":")
    data = orjson.dumps(body)
    lines = [f"POST {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(data)}", "", ""]
    reader, writer = await asyncio.open_connection(host, int(port), limit=READ_LIMIT)
    writer.transport.pause_reading()
    writer.write("\r\n".join(lines).encode() + data)
    return reader, writer
