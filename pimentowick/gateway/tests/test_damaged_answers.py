"""A sound answer that is damaged at one place of its head."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies
from tornado import httputil

from pimentowick.fakes import broken_answers, raw_target
from pimentowick.gateway import connection_pool, upstream

BODY = broken_answers.BODY
LENGTH = broken_answers.make_answer()
CHUNKS = broken_answers.change_framing(
    broken_answers.CHUNKED, broken_answers.encode_chunks([BODY[:9], BODY[9:]])
)
CLOSING = broken_answers.FIELDS + broken_answers.CLOSES
SOUND = [
    LENGTH,
    CHUNKS,
    LENGTH.replace(broken_answers.FIELDS, CLOSING),
    CHUNKS.replace(broken_answers.FIELDS, CLOSING),
]


def split_lines(data):
    """Return the lines of the head, with the empty one, and the body."""
    head, separator, body = data.partition(b"\r\n\r\n")
    return [*(head + separator).splitlines(keepends=True)], body


@strategies.composite
def damaged_answers(draw):
    data = draw(strategies.sampled_from(SOUND))
    size = data.index(b"\r\n\r\n") + 4
    lines, body = split_lines(data)
    number = draw(strategies.integers(0, len(lines) - 1))
    at = draw(strategies.integers(0, size - 1))
    match draw(
        strategies.sampled_from(["byte", "drop", "double", "join", "split", "cut"])
    ):
        case "byte":
            byte = draw(strategies.integers(0, 255))
            return data[:at] + bytes([byte]) + data[at + 1 :]
        case "split":
            return data[:at] + b"\r\n" + data[at:]
        case "cut":
            return data[:at]
        case "drop":
            del lines[number]
        case "double":
            lines.insert(number, lines[number])
        case "join":
            lines[number] = lines[number].removesuffix(b"\r\n")
    return b"".join(lines) + body


class CollectingSink(upstream.Sink):
    def __init__(self):
        self.body = b""

    async def on_headers(self, status, headers, answer):
        pass

    async def on_chunk(self, chunk):
        self.body += chunk


async def receive(data, method="GET"):
    """Return the outcome of a request, and the body that came with it."""
    server = raw_target.RawTarget(lambda headers: raw_target.Answer(data))
    await server.start()
    ip, _, port = server.address.rpartition(":")
    pool = connection_pool.Pool(ip, int(port))
    headers = httputil.HTTPHeaders({"X-Pimentowick-Request-Id": "r1"})
    sink = CollectingSink()
    request = upstream.Request("r1", method, "/x", headers, b"")
    outcome = await pool.send(request, sink)
    pool.close()
    await server.close()
    return outcome, sink.body


def is_success(outcome):
    return outcome.end == upstream.End.COMPLETE and 200 <= outcome.status < 300


@pytest.mark.parametrize("data", SOUND)
def test_sound_answer_is_complete(data):
    # Otherwise the other tests of this file could not fail.
    outcome, body = asyncio.run(receive(data))
    assert is_success(outcome)
    assert body == BODY


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True, database=None)
@hypothesis.given(damaged_answers())
def test_damaged_answer_is_complete_with_its_body_or_not_at_all(data):
    # Callers would get another body as the answer of the target.
    outcome, body = asyncio.run(receive(data))
    if is_success(outcome):
        assert body == BODY


@pytest.mark.parametrize(
    "data",
    [
        LENGTH.replace(b"\r\n\r\n", b"\r\n\r\n\r\n"),
        LENGTH.replace(b"Length: 30", b"Length: 3"),
        LENGTH.replace(b"Length: 30", b"Length: 29"),
        LENGTH.replace(b"Length: 30", b"Length: 0"),
        CHUNKS + b"more",
    ],
)
def test_answer_with_bytes_behind_its_end_is_not_complete(data):
    # They show that its body ends elsewhere.
    outcome, _ = asyncio.run(receive(data))
    assert outcome.end == upstream.End.INCOMPLETE


@pytest.mark.parametrize("data", SOUND)
def test_second_answer_behind_the_first_does_not_change_it(data):
    # It belongs to no request.
    outcome, body = asyncio.run(receive(data + LENGTH))
    assert is_success(outcome)
    assert body == BODY


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 30\r\n"])
def test_answer_to_a_request_for_the_head_needs_no_framing(framing):
    # It has no body, whatever its head says.
    data = broken_answers.make_answer(body=framing + b"\r\n")
    outcome, body = asyncio.run(receive(data, "HEAD"))
    assert is_success(outcome)
    assert body == b""
