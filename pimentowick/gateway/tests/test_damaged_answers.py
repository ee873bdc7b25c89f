"""A sound answer that is damaged at one place of its head."""

import asyncio
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies
from tornado import httputil

from pimentowick.fakes import broken_answers, raw_target
from pimentowick.gateway import connection_pool, response, upstream
from pimentowick.gateway.policy import memory_budget

BODY = broken_answers.BODY
LENGTH = broken_answers.make_answer()
CHUNKS = broken_answers.change_framing(
    broken_answers.CHUNKED, broken_answers.encode_chunks([BODY[:9], BODY[9:]])
)
CLOSING = broken_answers.FIELDS + broken_answers.CLOSES
# A field behind the one that announces the close.
DATED = CLOSING + b"Date: Tue, 08 Dec 2026 00:13:49 GMT\r\n"
SOUND = [
    LENGTH,
    CHUNKS,
    LENGTH.replace(broken_answers.FIELDS, CLOSING),
    CHUNKS.replace(broken_answers.FIELDS, CLOSING),
]
EVENTS = b"".join(broken_answers.EVENTS)
FRAMED_EVENTS = [
    b"Content-Length: %d\r\n\r\n%s" % (len(EVENTS), EVENTS),
    broken_answers.make_chunks(broken_answers.EVENTS),
    # An event that is split, and events that share a chunk.
    broken_answers.make_chunks([EVENTS[:9], EVENTS[9:]]),
]
SOUND_STREAMS = [
    broken_answers.make_answer(fields=fields, body=body)
    for fields in (broken_answers.FIELDS, CLOSING)
    for body in FRAMED_EVENTS
]
# Their connection tells where they end.
UNFRAMED = [
    broken_answers.make_answer(fields=fields, body=b"\r\n" + BODY)
    for fields in (CLOSING, DATED)
]
UNFRAMED_STREAMS = [
    broken_answers.make_answer(fields=fields, body=b"\r\n" + EVENTS)
    for fields in (CLOSING, DATED)
]


def split_lines(data):
    """Return the lines of the head, with the empty one, and the body."""
    head, separator, body = data.partition(b"\r\n\r\n")
    return [*(head + separator).splitlines(keepends=True)], body


@strategies.composite
def damaged_answers(draw, answers):
    data = draw(strategies.sampled_from(answers))
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


class Exchange:
    """What a caller gets of an answer that is passed on as it arrives."""

    def __init__(self):
        self.started = False
        self.body = b""
        self.account = memory_budget.Account(memory_budget.MemoryBudget(), "caller", 0)

    async def wait_for_room(self):
        pass

    async def start(self, status, headers, data):
        self.started = True
        self.body += data

    async def write(self, data):
        self.body += data


async def receive(data, method="GET", is_stream=False):
    """Return the outcome of a request, and the body that came with it.

    The target lives on after its answer, and says so if it is asked.
    """
    server = raw_target.RawTarget(lambda headers: raw_target.Answer(data))
    await server.start()
    ip, _, port = server.address.rpartition(":")
    pool = connection_pool.Pool(ip, int(port))
    headers = httputil.HTTPHeaders({"X-Pimentowick-Request-Id": "r1"})
    exchange = Exchange()
    sink = response.CallerSink(exchange, is_stream)
    request = upstream.Request("r1", method, "/x", headers, b"")
    outcome = await pool.send(request, sink)
    pool.close()
    await server.close()
    outcome = judge(outcome, sink)
    return outcome, exchange.body if sink.forwards_events else b"".join(sink.buffered)


def judge(outcome, sink):
    """Return an outcome after all that is checked before its answer counts as whole."""
    if sink.forwards_events:
        outcome = outcome.check_events(sink.event_times.count, sink.ends_within_event)
    outcome = outcome.confirm_end(sink.has_content)
    if sink.forwards_events and not (sink.events and sink.is_complete()):
        return dataclasses.replace(outcome, end=upstream.End.INCOMPLETE)
    return outcome


def is_success(outcome):
    return outcome.end == upstream.End.COMPLETE and 200 <= outcome.status < 300


@pytest.mark.parametrize("data", [*SOUND, *UNFRAMED])
def test_sound_answer_is_complete(data):
    # Otherwise the other tests of this file could not fail.
    outcome, body = asyncio.run(receive(data))
    assert is_success(outcome)
    assert body == BODY


@pytest.mark.parametrize("data", [*SOUND_STREAMS, *UNFRAMED_STREAMS])
def test_sound_stream_is_complete(data):
    # The same for events.
    outcome, body = asyncio.run(receive(data, is_stream=True))
    assert is_success(outcome)
    assert body == EVENTS


DAMAGED = hypothesis.settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)


@DAMAGED
@hypothesis.given(damaged_answers(SOUND))
def test_damaged_answer_is_complete_with_its_body_or_not_at_all(data):
    # Callers would get another body as the answer of the target.
    outcome, body = asyncio.run(receive(data))
    if is_success(outcome):
        assert body == BODY


@DAMAGED
@hypothesis.given(damaged_answers(UNFRAMED))
def test_damaged_answer_without_framing_is_complete_with_its_body_or_not_at_all(data):
    # What follows the damaged head is all taken for the body.
    outcome, body = asyncio.run(receive(data))
    if is_success(outcome):
        assert body == BODY


@DAMAGED
@hypothesis.given(damaged_answers(SOUND_STREAMS))
def test_damaged_stream_is_complete_with_its_events_or_not_at_all(data):
    # The frames of chunks, or the rest of a head, would be passed on as events.
    outcome, body = asyncio.run(receive(data, is_stream=True))
    if is_success(outcome):
        assert body == EVENTS


@DAMAGED
@hypothesis.given(damaged_answers(UNFRAMED_STREAMS))
def test_damaged_stream_without_framing_is_complete_with_its_events_or_not_at_all(data):
    # The same for events whose end the connection tells.
    outcome, body = asyncio.run(receive(data, is_stream=True))
    if is_success(outcome):
        assert body == EVENTS


CLOSES = broken_answers.CLOSES
DATE = b"Date: Tue, 08 Dec 2026 00:13:49 GMT\r\n"
# Heads that end too early. What is left of them begins the body.
EARLY_ENDS = {
    "empty line doubled": UNFRAMED[0].replace(CLOSES, CLOSES + b"\r\n"),
    "line feed before the empty line": UNFRAMED[0].replace(
        CLOSES, CLOSES[:-1] + b"\n\n"
    ),
    "line feed in the empty line": UNFRAMED[0].replace(b"\r\n\r\n", b"\r\n\n\n"),
    "empty line before a field": UNFRAMED[1].replace(DATE, b"\r\n" + DATE),
    "line feed in a field": UNFRAMED[1].replace(DATE, b"\n" + DATE[1:]),
    "line feed in a length": SOUND[2].replace(b"Content-", b"\nontent-"),
    "line feed in a coding": SOUND[3].replace(b"Transfer-", b"\nransfer-"),
}


@pytest.mark.parametrize("damage", EARLY_ENDS)
def test_rest_of_a_head_is_no_body(damage):
    # The target lives on, so that all of it counted as its answer.
    outcome, _ = asyncio.run(receive(EARLY_ENDS[damage]))
    assert outcome.reason == "malformed_framing"


@pytest.mark.parametrize(
    "data", [stream.replace(b"\r\n\r\n", b"\r\n", 1) for stream in UNFRAMED_STREAMS]
)
def test_stream_whose_first_event_is_in_its_head_is_not_passed_on(data):
    # It began with the second event.
    outcome, body = asyncio.run(receive(data, is_stream=True))
    assert not is_success(outcome)
    assert not body


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
