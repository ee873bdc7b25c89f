"""The question to a target whether it is still the run that sent a response."""

import asyncio
import contextlib

import pytest
from tornado import httputil, iostream

from pimentowick.fakes import broken_answers, raw_target, wait
from pimentowick.gateway import connection_pool, liveness, upstream

STARTED_MS = 5
WAIT_S = 5.0
POLL_S = 0.005
TIMEOUT_S = 0.05
REFUSED = iostream.StreamClosedError(real_error=ConnectionRefusedError())
LOST = iostream.StreamClosedError()
SILENT = object()


class Pool:
    """Pool whose connections fail, are silent, or answer as planned.

    Args:
        lent: For each connection an exception, or what comes of the question on it: the
            start of the run in milliseconds, an exception or `SILENT`.

    Attributes:
        open: Number of connections that are lent.
        asked: Number of questions.
        is_new: For each connection whether a new one was asked for.
    """

    def __init__(self, *lent):
        self.lent = list(lent)
        self.open = 0
        self.asked = 0
        self.is_new = []

    async def lend(self, is_new=False):
        self.is_new.append(is_new)
        answer = self.lent.pop(0)
        if answer is REFUSED or isinstance(answer, ConnectionError):
            raise answer
        self.open += 1
        return answer

    async def ask_run(self, answer):
        self.asked += 1
        if answer is SILENT:
            await asyncio.get_running_loop().create_future()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def take_back(self, answer):
        self.open -= 1


def ask(*lent, started_ms=STARTED_MS, timeout_s=TIMEOUT_S):
    """Return the `liveness.Inquiry`, and the `Pool` after it."""
    pool = Pool(*lent)

    async def run():
        witness = liveness.Witness(pool, started_ms)
        witness.prepare()
        # The response is arriving.
        await asyncio.sleep(0)
        inquiry = liveness.Inquiry(30)
        await witness.ask(inquiry, timeout_s)
        witness.close()
        return inquiry

    inquiry = asyncio.run(run())
    assert not pool.open
    return inquiry, pool


@pytest.mark.parametrize(
    ("started_ms", "answer", "expected"),
    [
        (STARTED_MS, STARTED_MS, liveness.Liveness.SAME_RUN),
        (STARTED_MS, STARTED_MS + 1, liveness.Liveness.OTHER_RUN),
        (STARTED_MS, 0, liveness.Liveness.SAME_RUN),
        (0, STARTED_MS, liveness.Liveness.SAME_RUN),
        (0, 0, liveness.Liveness.SAME_RUN),
    ],
)
def test_answer_on_the_witness_shows_the_run(started_ms, answer, expected):
    # The connection ends with the run; only a start that differs says otherwise.
    inquiry, pool = ask(answer, started_ms=started_ms)
    assert (inquiry.liveness, inquiry.asked_on) == (expected, "witness")
    assert pool.is_new == [False]


@pytest.mark.parametrize(
    ("started_ms", "answer", "expected"),
    [
        (STARTED_MS, STARTED_MS, liveness.Liveness.SAME_RUN),
        (STARTED_MS, STARTED_MS + 1, liveness.Liveness.OTHER_RUN),
        (STARTED_MS, 0, liveness.Liveness.UNKNOWN),
        (0, STARTED_MS, liveness.Liveness.UNKNOWN),
        (0, 0, liveness.Liveness.UNKNOWN),
        (STARTED_MS, REFUSED, liveness.Liveness.GONE),
        (STARTED_MS, SILENT, liveness.Liveness.UNKNOWN),
    ],
)
def test_new_connection_shows_the_run_only_by_its_start(started_ms, answer, expected):
    # Another process may have the address once the witness is lost.
    inquiry, pool = ask(LOST, answer, started_ms=started_ms)
    assert (inquiry.liveness, inquiry.asked_on) == (expected, "new")
    assert pool.is_new == [False, True]


def test_refused_witness_is_not_opened_again():
    # Nobody listens any more; a new connection tells whether that is still so.
    inquiry, pool = ask(REFUSED, REFUSED)
    assert inquiry.liveness == liveness.Liveness.GONE
    assert pool.is_new == [False, True]


def test_witness_that_can_not_be_opened_is_tried_again():
    # The target may have reset it for want of a place.
    error = ConnectionResetError()
    inquiry, _ = ask(error, error, STARTED_MS)
    assert (inquiry.liveness, inquiry.asked_on) == (
        liveness.Liveness.SAME_RUN,
        "witness",
    )


@pytest.mark.parametrize("answers", [[SILENT], [LOST, SILENT], [LOST, LOST, LOST]])
def test_silent_target_is_waited_for_until_the_timeout(answers):
    # Its silence shows nothing.
    inquiry, _ = ask(*answers)
    assert inquiry.liveness == liveness.Liveness.UNKNOWN
    assert inquiry.took_s >= TIMEOUT_S


def test_target_is_asked_until_it_can_be_reached():
    # It may have too many connections for a while.
    inquiry, pool = ask(LOST, LOST, STARTED_MS, timeout_s=None)
    assert inquiry.liveness == liveness.Liveness.SAME_RUN
    assert pool.asked == 3


def test_target_that_names_no_start_is_not_asked_again():
    # Its caller would wait until the deadline, though no answer could help.
    inquiry, pool = ask(LOST, LOST, started_ms=0, timeout_s=WAIT_S)
    assert inquiry.liveness == liveness.Liveness.UNKNOWN
    assert inquiry.took_s < WAIT_S / 2
    assert pool.asked == 2


class SlowPool(Pool):
    """Pool whose connections take some time to open."""

    def __init__(self, delay_s, *lent):
        super().__init__(*lent)
        self.delay_s = delay_s

    async def lend(self, is_new=False):
        await asyncio.sleep(self.delay_s)
        return await super().lend(is_new)


@pytest.mark.parametrize(
    ("started_ms", "answer", "expected"),
    [
        (0, 0, liveness.Liveness.UNKNOWN),
        (STARTED_MS, 0, liveness.Liveness.UNKNOWN),
        (STARTED_MS, STARTED_MS, liveness.Liveness.SAME_RUN),
        (STARTED_MS, STARTED_MS + 1, liveness.Liveness.OTHER_RUN),
    ],
)
def test_witness_that_opens_long_after_the_end_is_none(started_ms, answer, expected):
    # The target may have been started again between two attempts.
    async def run():
        pool = SlowPool(1.5 * liveness.MAX_LATE_S, ConnectionResetError(), answer)
        witness = liveness.Witness(pool, started_ms)
        witness.prepare()
        inquiry = liveness.Inquiry(30)
        await witness.ask(inquiry, WAIT_S)
        witness.close()
        assert (inquiry.liveness, inquiry.asked_on) == (expected, "new")
        assert not pool.open

    asyncio.run(run())


def test_witness_that_is_slow_to_open_is_one():
    # Short answers of distant targets would be lost.
    async def run():
        pool = SlowPool(1.5 * liveness.MAX_LATE_S, 0)
        witness = liveness.Witness(pool, 0)
        witness.prepare()
        inquiry = liveness.Inquiry(30)
        await witness.ask(inquiry, WAIT_S)
        witness.close()
        assert inquiry.liveness == liveness.Liveness.SAME_RUN

    asyncio.run(run())


@contextlib.asynccontextmanager
async def open_pool(started_ms=STARTED_MS, report=None):
    """Yield a target and the `connection_pool.Pool` of it."""
    server = raw_target.RawTarget(lambda headers: None, started_ms)
    server.report = report
    await server.start()
    ip, _, port = server.address.rpartition(":")
    pool = connection_pool.Pool(ip, int(port))
    try:
        yield server, pool
    finally:
        pool.close()
        server.end_run()
        await server.close()


def make_report(fields=b"", body=b'{"born":5}'):
    head = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (fields, len(body))
    return head + body


async def ask_pool(pool, timeout_s=TIMEOUT_S):
    witness = liveness.Witness(pool, STARTED_MS)
    inquiry = liveness.Inquiry(30)
    witness.prepare()
    await witness.ask(inquiry, timeout_s)
    witness.close()
    return inquiry


def test_witness_goes_back_to_its_pool_and_is_used_again():
    # Each unframed response would cost a connection.
    async def run():
        async with open_pool() as (server, pool):
            for _ in range(3):
                inquiry = await ask_pool(pool, WAIT_S)
                assert inquiry.liveness == liveness.Liveness.SAME_RUN
                assert (pool.open, pool.idle, pool.opened) == (1, 1, 1)
            assert server.reports == 3

    asyncio.run(run())


def test_witness_whose_report_announces_its_close_is_not_used_again():
    # The next request on it would be lost.
    async def run():
        data = make_report(broken_answers.CLOSES)
        report = raw_target.Answer(data, raw_target.Ending.CLOSE)
        async with open_pool(report=report) as (_, pool):
            for number in (1, 2):
                inquiry = await ask_pool(pool, WAIT_S)
                assert inquiry.liveness == liveness.Liveness.SAME_RUN
                assert (pool.open, pool.opened) == (0, number)

    asyncio.run(run())


def test_witness_with_an_answer_that_nobody_asked_for_is_lost():
    # It may be of any time.
    async def run():
        async with open_pool() as (server, pool):
            witness = liveness.Witness(pool, STARTED_MS)
            witness.prepare()
            await wait.wait_for(lambda: server._writers, WAIT_S, POLL_S)
            for writer in server._writers:
                writer.write(make_report(body=b'{"born":6}'))
            await asyncio.sleep(0.02)
            inquiry = liveness.Inquiry(30)
            await witness.ask(inquiry, WAIT_S)
            witness.close()
            assert inquiry.asked_on == "new"
            assert inquiry.liveness == liveness.Liveness.SAME_RUN
            assert (pool.open, pool.idle) == (1, 1)

    asyncio.run(run())


@pytest.mark.parametrize(
    "field", [b"X-Pimentowick-Request-Id: r0\r\n", b"X-Pimentowick-Not-Executed: 1\r\n"]
)
def test_answer_to_a_request_on_the_witness_is_no_report(field):
    # A late response to the request that the connection carried before.
    async def run():
        report = raw_target.Answer(make_report(field), raw_target.Ending.KEEP)
        async with open_pool(report=report) as (_, pool):
            inquiry = await ask_pool(pool)
            assert inquiry.liveness == liveness.Liveness.UNKNOWN
            assert pool.open == 0

    asyncio.run(run())


@pytest.mark.parametrize("started_ms", [STARTED_MS, 0])
def test_report_without_framing_shows_that_its_target_lives(started_ms):
    # Targets that never frame were asked until the deadline, ten times a second.
    async def run():
        data = make_report(broken_answers.CLOSES).replace(
            b"Content-Length: 10\r\n", b""
        )
        report = raw_target.Answer(data, raw_target.Ending.CLOSE)
        async with open_pool(report=report) as (server, pool):
            witness = liveness.Witness(pool, started_ms)
            inquiry = liveness.Inquiry(30)
            witness.prepare()
            await wait.wait_for(lambda: server._writers, WAIT_S, POLL_S)
            await witness.ask(inquiry, WAIT_S)
            witness.close()
            assert inquiry.liveness == liveness.Liveness.SAME_RUN
            assert (server.reports, pool.open) == (1, 0)

    asyncio.run(run())


MALFORMED_REPORTS = {
    "another status": make_report().replace(b"200 OK", b"600 OK"),
    "no framing": make_report().replace(b"Content-Length: 10\r\n", b""),
    "two framings": make_report(b"Transfer-Encoding: chunked\r\n"),
}


@pytest.mark.parametrize("name", MALFORMED_REPORTS)
def test_malformed_report_shows_nothing(name):
    # Nobody knows what sent it, and when.
    async def run():
        data = MALFORMED_REPORTS[name]
        report = raw_target.Answer(data, raw_target.Ending.CLOSE)
        async with open_pool(report=report) as (_, pool):
            inquiry = await ask_pool(pool)
            assert inquiry.liveness == liveness.Liveness.UNKNOWN
            assert pool.open == 0

    asyncio.run(run())


@pytest.mark.parametrize("delay_s", [0.0, 0.0005, 0.02])
@pytest.mark.parametrize("is_asked", [False, True])
def test_cancellation_leaves_no_connection_open(is_asked, delay_s):
    # The caller may leave at any moment.
    async def run():
        silence = raw_target.Answer(b"", raw_target.Ending.KEEP)
        async with open_pool(report=silence) as (server, pool):

            async def hold():
                witness = liveness.Witness(pool, STARTED_MS)
                try:
                    witness.prepare()
                    if is_asked:
                        await witness.ask(liveness.Inquiry(30), None)
                    await asyncio.sleep(WAIT_S)
                finally:
                    witness.close()

            task = asyncio.create_task(hold())
            await asyncio.sleep(delay_s)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.02)
            assert pool.open == 0
            await wait.wait_for(lambda: not server._writers, WAIT_S, POLL_S)

    asyncio.run(run())


def test_witness_is_lost_with_the_run():
    # Whatever accepts connections afterwards is another run.
    async def run():
        async with open_pool() as (server, pool):
            witness = liveness.Witness(pool, STARTED_MS)
            witness.prepare()
            await wait.wait_for(lambda: server._writers, WAIT_S, POLL_S)
            server.started_ms += 1
            server.end_run()
            await asyncio.sleep(0.02)
            inquiry = liveness.Inquiry(30)
            await witness.ask(inquiry, WAIT_S)
            witness.close()
            assert inquiry.asked_on == "new"
            assert inquiry.liveness == liveness.Liveness.OTHER_RUN

    asyncio.run(run())


def test_witness_of_a_pool_that_was_closed_is_not_kept():
    # Nobody would close it, as the target was removed.
    async def run():
        async with open_pool() as (server, pool):
            witness = liveness.Witness(pool, STARTED_MS)
            witness.prepare()
            inquiry = liveness.Inquiry(30)
            await witness.ask(inquiry, WAIT_S)
            pool.close()
            witness.close()
            assert inquiry.liveness == liveness.Liveness.SAME_RUN
            assert pool.open == 0
            await wait.wait_for(lambda: not server._writers, WAIT_S, POLL_S)

    asyncio.run(run())


class ClosingTarget(raw_target.RawTarget):
    """Target that closes its other connections in the middle of a response."""

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = broken_answers.FIELDS.replace(b"{id}", b"r1") + broken_answers.CLOSES
        data = broken_answers.make_answer(fields=head, body=b"\r\n")
        writer.write(data + broken_answers.BODY[:9])
        await wait.wait_for(lambda: len(self._writers) > 1, WAIT_S, POLL_S)
        for other in self._writers - {writer}:
            other.close()
        await asyncio.sleep(0.02)
        writer.write(broken_answers.BODY[9:])
        return raw_target.Ending.CLOSE


class Sink(upstream.Sink):
    async def on_headers(self, status, headers, answer):
        pass

    async def on_chunk(self, chunk):
        pass


def test_response_ends_although_the_witness_was_lost_before():
    # Its request failed with an AttributeError, and its caller got no answer.
    async def run():
        server = ClosingTarget(lambda headers: None)
        await server.start()
        ip, _, port = server.address.rpartition(":")
        pool = connection_pool.Pool(ip, int(port))
        headers = httputil.HTTPHeaders({"X-Pimentowick-Request-Id": "r1"})
        request = upstream.Request("r1", "GET", "/x", headers, b"")
        outcome = await pool.send(request, Sink())
        assert outcome.reason == upstream.UNFRAMED
        assert outcome.inquiry.asked_on == "new"
        assert pool.open == 0
        server.end_run()
        await server.close()

    asyncio.run(run())
