"""Kinds of answers without framing, and what surrounds them."""

import asyncio
import contextlib

import pytest

from pimentowick.fakes import broken_answers, platform_site, raw_target, wait
from pimentowick.gateway.tests import raw_site

HEAD = broken_answers.FIELDS + broken_answers.CLOSES
EVENTS = broken_answers.EVENTS
PATHS = raw_site.PLAIN_PATHS + raw_site.STREAM_PATHS
ERROR = b'{"error": "of the target"}'
KEEP = raw_target.Ending.KEEP
INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
REFUSED = b"X-Pimentowick-Not-Executed: 1\r\n"
LARGE_EVENTS = [
    b"id: %d\ndata: %s\n\n" % (number, b"x" * 30_000) for number in range(1, 61)
]


def make_answer(body, status=b"200 OK", ending=raw_target.Ending.CLOSE, fields=HEAD):
    start = b"HTTP/1.1 " + status
    data = broken_answers.make_answer(start, fields, b"\r\n" + body)
    return raw_target.Answer(data, ending)


def get_body(path):
    return raw_site.WHOLE_BODY[raw_site.get_prefix(path)]


def count_requests(servers):
    return sum(len(server.requests) for server in servers)


@pytest.mark.parametrize("status", [b"400 Bad", b"404 Not Found", b"422 Odd"])
@pytest.mark.parametrize("path", PATHS)
def test_error_of_a_target_is_passed_on(path, status):
    # It is the target's answer, and would be replaced by a 502.
    async def check(site, planned, servers):
        planned.append(make_answer(ERROR, status))
        received = await raw_site.send(site, path)
        assert (received.status, received.body) == (int(status[:3]), ERROR)
        assert received.is_whole
        assert count_requests(servers) == 1

    raw_site.run_with(check, path)


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_failure_of_a_target_is_passed_on_where_it_may_run_once(path):
    # It counts as run.
    async def check(site, planned, servers):
        planned.append(make_answer(ERROR, b"500 Odd"))
        received = await raw_site.send(site, path)
        assert (received.status, received.body) == (500, ERROR)
        assert count_requests(servers) == 1

    raw_site.run_with(check, path)


@pytest.mark.parametrize("ending", raw_site.BREAKS)
@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_error_of_a_target_that_ends_may_be_cut(path, ending):
    # Its body may be another one.
    async def check(site, planned, servers):
        planned.append(make_answer(ERROR[:9], b"404 Not Found", ending))
        received = await raw_site.send(site, path)
        assert received.status == 502
        assert count_requests(servers) == 1

    restarts = ending == raw_target.Ending.RESTART
    raw_site.run_with(check, path, started_ms=raw_site.STARTED_MS if restarts else 0)


@pytest.mark.parametrize(("status", "runs"), [(b"422 Odd", 1), (b"500 Odd", 3)])
@pytest.mark.parametrize("ending", [raw_target.Ending.CLOSE, raw_target.Ending.RESET])
def test_failure_of_an_item_counts_by_its_status(status, runs, ending):
    # The item would run again and again.
    async def check(site, planned, servers):
        planned += [make_answer(ERROR, status, ending)] * 10
        state, _ = await raw_site.run_item(site)
        assert state == "dead"
        assert count_requests(servers) == runs

    raw_site.run_with(check, "/lot/1")


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Many", b"421 Other"])
@pytest.mark.parametrize("ending", [raw_target.Ending.CLOSE, raw_target.Ending.RESET])
@pytest.mark.parametrize("path", PATHS)
def test_refusal_promises_by_its_head_that_nothing_ran(path, ending, status):
    # Its body is not used, and the request may be sent to another target.
    async def check(site, planned, servers):
        planned.append(make_answer(ERROR, status, ending, HEAD + REFUSED))
        raw_site.assert_whole(await raw_site.send(site, path), path)
        assert count_requests(servers) == 2

    raw_site.run_with(check, path)


@pytest.mark.parametrize("path", PATHS)
def test_answer_behind_a_late_one_is_whole(path):
    # The late one belongs to another request of the kept connection.
    async def check(site, planned, servers):
        late = broken_answers.make_answer().replace(b"{id}", b"r0")
        planned.append(raw_site.answer_soundly(path, {}))
        raw_site.assert_whole(await raw_site.send(site, path, "r0"), path)
        answer = make_answer(get_body(path))
        planned.append(raw_target.Answer(late + answer.data))
        raw_site.assert_whole(await raw_site.send(site, path), path)
        assert count_requests(servers) == 2

    raw_site.run_with(check, path, targets=1)


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_late_answer_without_framing_hides_the_one_behind_it(path):
    # Nothing tells where the one ends and the other begins.
    async def check(site, planned, servers):
        late = make_answer(get_body(path)).data.replace(b"{id}", b"r0")
        planned.append(raw_site.answer_soundly(path, {}))
        raw_site.assert_whole(await raw_site.send(site, path, "r0"), path)
        planned.append(raw_target.Answer(late + make_answer(get_body(path)).data))
        received = await raw_site.send(site, path)
        assert not received.is_success
        assert count_requests(servers) == 2

    raw_site.run_with(check, path, targets=1)


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("path", PATHS)
def test_answer_behind_informational_responses_is_whole(path, count):
    # They announce nothing.
    async def check(site, planned, servers):
        answer = make_answer(get_body(path))
        planned.append(raw_target.Answer(INTERIM * count + answer.data))
        raw_site.assert_whole(await raw_site.send(site, path), path)
        assert count_requests(servers) == 1

    raw_site.run_with(check, path)


def test_request_for_a_head_asks_no_target():
    # Its answer has no body, so that its end is known.
    async def check(site, planned, servers):
        planned.append(make_answer(b""))
        ip, _, port = site.gateways[0].settings.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        with contextlib.closing(writer):
            writer.write(
                f"HEAD /fetch/1 HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
                "X-Pimentowick-Request-Id: r1\r\nConnection: close\r\n\r\n".encode()
            )
            data = await reader.read()
        assert raw_site.parse_received(data).status == 200
        assert not sum(server.reports for server in servers)

    raw_site.run_with(check, "/fetch/1")


class SlowCaller:
    """Caller that reads nothing of a large stream until it is told to."""

    def __init__(self, site):
        self.address = site.gateways[0].settings.callers_address

    async def __aenter__(self):
        ip, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            ip, int(port), limit=1_024
        )
        self.writer.transport.pause_reading()
        self.writer.write(
            f"POST /draft/1 HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
            "X-Pimentowick-Request-Id: r1\r\nConnection: close\r\n"
            "X-Pimentowick-Deadline-Ms: 20000\r\nContent-Length: 1\r\n\r\nx".encode()
        )
        return self

    async def __aexit__(self, *exception):
        self.writer.close()

    async def read(self):
        self.writer.transport.resume_reading()
        async with asyncio.timeout(raw_site.WAIT_S):
            return raw_site.parse_received(await self.reader.read())


@pytest.mark.parametrize("ending", [raw_target.Ending.CLOSE, raw_target.Ending.STOP])
def test_end_is_asked_for_though_the_caller_reads_slowly(ending):
    # The target has closed the connection long before its last bytes are passed on.
    async def check(site, planned, servers):
        planned.append(make_answer(b"".join(LARGE_EVENTS), ending=ending))
        async with SlowCaller(site) as caller:
            await wait.wait_for(
                lambda: count_requests(servers), raw_site.WAIT_S, raw_site.POLL_S
            )
            await asyncio.sleep(0.2)
            received = await caller.read()
        assert received.is_success == (ending == raw_target.Ending.CLOSE)
        if received.is_success:
            assert received.body == b"".join(LARGE_EVENTS)

    raw_site.run_with(check, "/draft/1")


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_caller_that_leaves_ends_the_question(path):
    # The slot of a silent target, and the connections to it, would be held on.
    async def check(site, planned, servers):
        silence = raw_target.Answer(b"", KEEP)
        for server in servers:
            server.report = silence
        planned.append(make_answer(get_body(path)))
        gateway = site.gateways[0]
        task = asyncio.create_task(raw_site.send(site, path))
        await wait.wait_for(
            lambda: sum(server.reports for server in servers),
            raw_site.WAIT_S,
            raw_site.POLL_S,
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        (server,) = (each for each in servers if each.reports)
        await wait.wait_for(lambda: not server._writers, 2.0, raw_site.POLL_S)
        queue_state = gateway.admission.get_queue_state(platform_site.SERVICE)
        assert queue_state.free_slots == queue_state.slots

    raw_site.run_with(check, path)


@pytest.mark.parametrize("ending", [raw_target.Ending.STOP, raw_target.Ending.RESTART])
@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_request_whose_target_ended_is_suspected_of_a_crash(path, ending):
    # It would crash one target after the other.
    async def check(site, planned, servers):
        planned.append(make_answer(get_body(path), ending=ending))
        assert await raw_site.find_suspects(site, path, b"deadly")

    raw_site.run_with(check, path, started_ms=raw_site.STARTED_MS)


@pytest.mark.parametrize("path", raw_site.ONCE_PATHS)
def test_request_whose_target_lives_on_is_not_suspected_of_a_crash(path):
    # It would be quarantined after a few of them.
    async def check(site, planned, servers):
        planned.append(make_answer(get_body(path)))
        assert not await raw_site.find_suspects(site, path, b"sound")

    raw_site.run_with(check, path)


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 60\r\n"])
@pytest.mark.parametrize("path", [*raw_site.STREAM_PATHS, "/lot/1"])
def test_event_that_became_part_of_the_head_is_not_left_out(path, framing):
    # Without its empty line, a head takes the first event for its last fields.
    fields = HEAD + framing
    data = broken_answers.make_answer(fields=fields, body=b"".join(EVENTS))
    if path != "/lot/1":
        raw_site.check_broken(path, raw_target.Answer(data))
        return

    async def check(site, planned, servers):
        planned.append(raw_target.Answer(data))
        assert await raw_site.run_item(site) == ("done", raw_site.TEXT)

    raw_site.run_with(check, path)


def test_bytes_that_wait_for_a_silent_target_are_released():
    # They are held while it is asked, up to the deadline.
    async def check(site, planned, servers):
        for server in servers:
            server.report = raw_target.Answer(b"", KEEP)
        budget = site.gateways[0]._caller_server.held.budget
        planned.append(make_answer(bytes(1_000_000)))
        task = asyncio.create_task(raw_site.send(site, "/confirm/1"))
        await wait.wait_for(
            lambda: sum(server.reports for server in servers),
            raw_site.WAIT_S,
            raw_site.POLL_S,
        )
        assert budget.held >= 1_000_000
        assert (await task).status == 504
        await wait.wait_for(lambda: not budget.held, raw_site.WAIT_S, raw_site.POLL_S)
        raw_site.assert_whole(
            await raw_site.send(site, "/confirm/1", "r2"), "/confirm/1"
        )

    raw_site.run_with(check, "/confirm/1")
