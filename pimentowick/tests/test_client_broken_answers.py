"""Broken answers that libcurl takes for complete ones."""

import asyncio

import pytest

from pimentowick import client, verdict
from pimentowick.fakes import broken_answers, raw_target

TIMEOUT_S = 10.0
STREAM = broken_answers.make_answer(
    body=broken_answers.make_chunks(broken_answers.EVENTS)
)
UNFRAMED = broken_answers.make_answer(
    fields=broken_answers.FIELDS + broken_answers.CLOSES,
    body=b"\r\n" + broken_answers.BODY + b"\n",
)
BROKEN = {
    **broken_answers.MALFORMED_HEADS,
    **broken_answers.MALFORMED_FRAMINGS,
    **broken_answers.CUT_ANSWERS,
    **broken_answers.BROKEN_STREAMS,
    "no framing": UNFRAMED,
    "interim, then status 000": b"HTTP/1.1 100 Continue\r\n\r\n"
    + STREAM.replace(b"200 OK", b"000 Odd"),
    "interim, then nothing": b"HTTP/1.1 100 Continue\r\n\r\n",
}
# libcurl joins the lines, as HTTP allows.
del BROKEN["folded line"]
# Peers of this client sign nothing.
del BROKEN["empty signature"]


async def fetch(http, address):
    return await http.fetch("POST", address, "/x", b"q", timeout_s=TIMEOUT_S)


async def read_response(http, address):
    stream = http.open_stream("POST", address, "/x", b"q", timeout_s=TIMEOUT_S)
    return await stream.read_response()


async def read_lines(http, address):
    stream = http.open_stream("POST", address, "/x", b"q", timeout_s=TIMEOUT_S)
    while await stream.read_lines():
        pass


def run_with(check, *answers):
    async def run():
        http = client.Client()
        target = raw_target.RawTarget(lambda headers: raw_target.Answer(STREAM))
        target.planned = [raw_target.Answer(data) for data in answers]
        await http.start()
        await target.start()
        try:
            await check(http, target)
        finally:
            await target.close()
            await http.close()

    asyncio.run(run())


@pytest.mark.parametrize("read", [fetch, read_response, read_lines])
@pytest.mark.parametrize("answer", BROKEN)
def test_broken_answer_is_no_response(answer, read):
    # A cut head was a 200 without a body; what ended with its connection was whole.
    async def check(http, target):
        with pytest.raises(client.TransportError) as caught:
            await read(http, target.address)
        assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
        assert len(target.requests) == 1

    run_with(check, BROKEN[answer])


@pytest.mark.parametrize("read", [fetch, read_response])
@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 200 OK", b"HTTP/1.1 200 ", b"HTTP/1.1 200", b"HTTP/1.0 200 OK"]
)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"])
def test_sound_answer_is_a_response(start, interim, read):
    # The checks of its head must not reject it.
    async def check(http, target):
        response = await read(http, target.address)
        assert (response.status, response.body) == (200, broken_answers.BODY)
        assert response.headers["X-Pimentowick-Server-Stamp"] == "s"

    run_with(check, interim + broken_answers.make_answer(start))


def test_fields_after_the_chunks_change_no_answer():
    # libcurl passes them on like those of the head.
    async def check(http, target):
        response = await fetch(http, target.address)
        assert response.body == b"".join(broken_answers.EVENTS)
        assert response.headers["X-Pimentowick-Server-Stamp"] == "s"

    trailer = b"X-Pimentowick-Server-Stamp: t\r\n\r\n"
    run_with(check, STREAM[:-2] + trailer)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_answer_that_has_no_body_needs_no_framing(status):
    # Its end is told by its status.
    async def check(http, target):
        response = await fetch(http, target.address)
        assert (response.status, response.body) == (int(status[:3]), b"")

    data = broken_answers.make_answer(b"HTTP/1.1 " + status, body=b"\r\n")
    run_with(check, data)
