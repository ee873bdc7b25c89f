"""The question to a target whether it is still the run that sent a response."""

import asyncio
import contextlib
import dataclasses
import time

import pytest
from tornado import iostream

from pimentowick.fakes import broken_answers, raw_target, wait
from pimentowick.gateway import connection_pool, liveness

STARTED_MS = 5
WAIT_S = 5.0
POLL_S = 0.005
TIMEOUT_S = 0.25
# Another process may have the address of a target after this.
LONG_S = 2 * liveness.MIN_REUSE_S
REFUSED = iostream.StreamClosedError(real_error=ConnectionRefusedError())
LOST = iostream.StreamClosedError()
SILENT = object()


@dataclasses.dataclass
class Connection:
    """What comes of one attempt to ask a target.

    Attributes:
        answer: The start of the run in milliseconds, an exception, or `SILENT`.
        age_s: Time since it was opened as it is lent, in seconds.
    """

    answer: object
    age_s: float = 0.0
    opened_at: float = 0.0


class Pool:
    """Pool whose connections fail, are silent, or answer as planned.

    Args:
        lent: The `Connection` objects, and exceptions of attempts to open one.

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
        connection = self.lent.pop(0)
        if isinstance(connection, Exception):
            raise connection
        self.open += 1
        connection.opened_at = time.monotonic() - connection.age_s
        return connection

    async def ask_run(self, connection):
        self.asked += 1
        if connection.answer is SILENT:
            await asyncio.get_running_loop().create_future()
        if isinstance(connection.answer, Exception):
            raise connection.answer
        return connection.answer

    def take_back(self, connection):
        self.open -= 1


def ask(*lent, started_ms=STARTED_MS, alive_s_ago=0.0, timeout_s=TIMEOUT_S):
    """Return the `liveness.Inquiry`, and the `Pool` after it."""
    pool = Pool(*lent)

    async def run():
        alive_at = time.monotonic() - alive_s_ago
        inquiry = liveness.Inquiry(30)
        check = liveness.LivenessCheck(pool, started_ms, alive_at)
        await check.ask(inquiry, timeout_s)
        return inquiry

    inquiry = asyncio.run(run())
    assert not pool.open
    return inquiry, pool


@pytest.mark.parametrize("started_ms", [0, STARTED_MS])
@pytest.mark.parametrize("answer", [0, STARTED_MS, STARTED_MS + 1])
def test_connection_that_was_open_before_the_end_shows_the_run(started_ms, answer):
    # A run that is not registered yet has sent the response, and lives on.
    inquiry, pool = ask(
        Connection(answer, LONG_S + 1), started_ms=started_ms, alive_s_ago=LONG_S
    )
    assert (inquiry.liveness, inquiry.asked_on) == (
        liveness.Liveness.SAME_RUN,
        "kept",
    )
    assert pool.is_new == [False]


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
def test_new_connection_soon_after_the_end_shows_the_run(started_ms, answer, expected):
    # Only a start that differs says otherwise.
    inquiry, pool = ask(Connection(answer), started_ms=started_ms)
    assert (inquiry.liveness, inquiry.asked_on) == (expected, "new")
    assert pool.is_new == [False]


@pytest.mark.parametrize(
    ("started_ms", "answer", "expected", "asked"),
    [
        (STARTED_MS, STARTED_MS, liveness.Liveness.SAME_RUN, 1),
        (STARTED_MS, STARTED_MS + 1, liveness.Liveness.OTHER_RUN, 1),
        (STARTED_MS, 0, liveness.Liveness.UNKNOWN, 1),
        (0, STARTED_MS, liveness.Liveness.UNKNOWN, 0),
        (0, 0, liveness.Liveness.UNKNOWN, 0),
    ],
)
def test_later_connection_shows_the_run_only_by_its_start(
    started_ms, answer, expected, asked
):
    # Another process may have the address by then.
    inquiry, pool = ask(
        Connection(answer), started_ms=started_ms, alive_s_ago=LONG_S, timeout_s=None
    )
    assert inquiry.liveness == expected
    assert pool.asked == asked


@pytest.mark.parametrize("lost", [LOST, ConnectionResetError(), TimeoutError()])
def test_target_whose_connection_is_lost_is_asked_on_a_new_one(lost):
    # It may have closed it for its age, or for want of places.
    inquiry, pool = ask(
        Connection(lost, LONG_S), lost, Connection(STARTED_MS), timeout_s=None
    )
    assert (inquiry.liveness, inquiry.asked_on) == (
        liveness.Liveness.SAME_RUN,
        "new",
    )
    assert pool.is_new == [False, True, True]


@pytest.mark.parametrize("lent", [[REFUSED], [Connection(LOST, LONG_S), REFUSED]])
def test_target_that_refuses_connections_is_gone(lent):
    # Its caller would wait until the deadline.
    inquiry, _ = ask(*lent, timeout_s=None)
    assert inquiry.liveness == liveness.Liveness.GONE


@pytest.mark.parametrize(
    "lent", [[Connection(SILENT)], [LOST, Connection(SILENT)], [LOST] * 9]
)
def test_silent_target_is_waited_for_until_the_timeout(lent):
    # Its silence shows nothing.
    inquiry, _ = ask(*lent)
    assert inquiry.liveness == liveness.Liveness.UNKNOWN
    assert inquiry.took_s >= TIMEOUT_S


def test_target_that_names_no_start_is_not_asked_in_vain():
    # No answer could tell which run it is, however long its caller waits.
    inquiry, pool = ask(
        *[Connection(LOST)] * 2,
        Connection(0),
        started_ms=0,
        alive_s_ago=liveness.MIN_REUSE_S - 0.01,
        timeout_s=None,
    )
    assert inquiry.liveness == liveness.Liveness.UNKNOWN
    assert pool.asked == 1


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


async def ask_pool(pool, timeout_s=TIMEOUT_S, started_ms=STARTED_MS):
    inquiry = liveness.Inquiry(30)
    check = liveness.LivenessCheck(pool, started_ms, time.monotonic())
    await check.ask(inquiry, timeout_s)
    return inquiry


def test_connection_goes_back_to_its_pool_and_is_used_again():
    # Each unframed response would cost a connection.
    async def run():
        async with open_pool() as (server, pool):
            for _ in range(3):
                inquiry = await ask_pool(pool, WAIT_S)
                assert inquiry.liveness == liveness.Liveness.SAME_RUN
                assert (pool.open, pool.idle, pool.opened) == (1, 1, 1)
            assert server.reports == 3

    asyncio.run(run())


def test_connection_whose_report_announces_its_close_is_not_used_again():
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


def test_connection_with_an_answer_that_nobody_asked_for_is_not_used():
    # It may be of any time.
    async def run():
        async with open_pool() as (server, pool):
            connection = await pool.lend()
            await wait.wait_for(lambda: server._writers, WAIT_S, POLL_S)
            for writer in server._writers:
                writer.write(make_report(body=b'{"born":6}'))
            await wait.wait_for(connection.stream.has_unread_bytes, WAIT_S, POLL_S)
            with pytest.raises(iostream.StreamClosedError):
                await pool.ask_run(connection)
            pool.take_back(connection)
            assert (pool.open, pool.idle) == (0, 0)

    asyncio.run(run())


@pytest.mark.parametrize(
    "field", [b"X-Pimentowick-Request-Id: r0\r\n", b"X-Pimentowick-Not-Executed: 1\r\n"]
)
def test_late_answer_to_a_request_is_no_report(field):
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
            inquiry = await ask_pool(pool, WAIT_S, started_ms)
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
def test_cancellation_leaves_no_connection_open(delay_s):
    # The caller may leave at any moment.
    async def run():
        silence = raw_target.Answer(b"", raw_target.Ending.KEEP)
        async with open_pool(report=silence) as (server, pool):
            task = asyncio.create_task(ask_pool(pool, None))
            await asyncio.sleep(delay_s)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await wait.wait_for(lambda: not server._writers, WAIT_S, POLL_S)
            assert pool.open == 0

    asyncio.run(run())


def test_run_that_has_taken_the_place_of_another_is_told_apart():
    # Its connections end with a run; whatever accepts them afterwards is another one.
    async def run():
        async with open_pool() as (server, pool):
            pool.take_back(await pool.lend())
            inquiry = await ask_pool(pool, WAIT_S)
            assert inquiry.liveness == liveness.Liveness.SAME_RUN
            server.started_ms += 1
            server.end_run()
            await wait.wait_for(lambda: not server._writers, WAIT_S, POLL_S)
            inquiry = await ask_pool(pool, WAIT_S)
            assert inquiry.asked_on == "new"
            assert inquiry.liveness == liveness.Liveness.OTHER_RUN

    asyncio.run(run())


def test_connection_of_a_pool_that_was_closed_is_not_kept():
    # Nobody would close it, as the target was removed.
    async def run():
        async with open_pool() as (server, pool):
            connection = await pool.lend()
            await pool.ask_run(connection)
            pool.close()
            pool.take_back(connection)
            assert pool.open == 0
            await wait.wait_for(lambda: not server._writers, WAIT_S, POLL_S)

    asyncio.run(run())
