import asyncio
import collections

import pytest

from pimentowick import client as http_client
from pimentowick.fakes import platform_site, replica

STREAM = platform_site.make_route("/chat/", "stream", resumable=True)
NON_RESUMABLE_STREAM = platform_site.make_route("/draft/", "stream", max_attempts=2)
IDEMPOTENT = platform_site.make_route("/fetch/", "idempotent")
NON_IDEMPOTENT = platform_site.make_route("/confirm/", "non_idempotent")
ROUTES = [STREAM, NON_RESUMABLE_STREAM, IDEMPOTENT, NON_IDEMPOTENT]
REQUEST_ID = "X-Pimentowick-Request-Id"
STARTED_MS = 5
STREAM_BODY = "".join(f"id: {n}\ndata: word {n}\n\n" for n in (1, 2, 3)).encode()


def run_with(replicas, check):
    async def run():
        async with platform_site.open_site(replicas, ROUTES) as site:
            await check(site)

    asyncio.run(run())


async def send(site, path, request_id="r1", body=b"hello", deadline_ms=4000):
    return await site.call(
        "POST",
        path,
        body,
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms=str(deadline_ms),
    )


def test_stream_is_passed_on_with_the_signature_of_its_target():
    server = replica.Replica()

    async def check(site):
        answer = await send(site, "/chat/1")
        assert answer.status == 200
        assert answer.body == STREAM_BODY
        assert answer.headers["X-Pimentowick-Server-Stamp"] == server.id
        headers = server.headers[0]
        assert headers["X-Pimentowick-Expect-Instance"] == server.id
        assert 0 < int(headers["X-Pimentowick-Deadline-Ms"]) < 4000

    run_with([server], check)


@pytest.mark.parametrize("cut_after", [0, 1, 2])
@pytest.mark.parametrize("partial_event", [False, True])
def test_resumable_stream_continues_at_another_target(cut_after, partial_event):
    # A target crashes in the middle of a stream, possibly in the middle of an event.
    # The caller must receive every event once and in order, in one response.
    servers = [replica.Replica("i-1"), replica.Replica("i-2")]
    # The target that receives the first request truncates its response.
    planned_behaviours = [
        replica.Behaviour(cut_after=cut_after, partial_event=partial_event)
    ]
    servers[0].planned_behaviours = servers[1].planned_behaviours = planned_behaviours

    async def check(site):
        answers = [await send(site, "/chat/1", f"r{n}") for n in range(2)]
        assert [answer.body for answer in answers] == [STREAM_BODY, STREAM_BODY]
        assert sum(sum(each.runs.values()) for each in servers) == 3

    run_with(servers, check)


def test_stream_that_may_run_once_is_not_sent_again():
    # The target fails after an event. A retry would run a non-resumable request twice,
    # so the caller must see an incomplete response instead.
    servers = [replica.Replica(f"i-{n}") for n in range(2)]
    for each in servers:
        each.planned_behaviours = [replica.Behaviour(cut_after=1)]

    async def check(site):
        try:
            answer = await send(site, "/draft/1")
        except http_client.TransportError:
            pass
        else:
            # The event and the close arrived together, before any byte was forwarded.
            assert answer.status == 502
        assert sum(sum(each.runs.values()) for each in servers) == 1

    run_with(servers, check)


@pytest.mark.parametrize("kind", ["vanish", "unsigned", "crossed"])
def test_request_that_may_have_run_is_not_reported_as_refused(kind):
    # The target receives the request and returns no valid response. A 503 would state
    # that the request did not run, but it may have.
    server = replica.Replica(events=0)
    server.planned_behaviours = [replica.Behaviour(kind)]

    async def check(site):
        answer = await send(site, "/confirm/1")
        if kind == "crossed":
            assert answer.status == 200
            assert answer.body == b"hello"
        else:
            assert answer.status == 502
            assert answer.headers.get("Retry-After") is None
        assert server.runs == {"r1": 1}

    run_with([server], check)


def test_request_that_did_not_run_goes_to_another_target():
    # A full target rejects the request, which must then run once at another target.
    servers = [replica.Replica(f"i-{n}", events=0) for n in range(2)]
    servers[0].planned_behaviours = [replica.Behaviour("refuse")] * 4

    async def check(site):
        for number in range(4):
            answer = await send(site, "/confirm/1", f"r{number}")
            assert answer.status == 200
        assert servers[0].runs + servers[1].runs == collections.Counter(
            {f"r{number}": 1 for number in range(4)}
        )

    run_with(servers, check)


def test_refused_request_is_sent_again_once_its_target_takes_work():
    # The only target refuses a request and takes work again a moment later. The request
    # must not wait until nearly its deadline for nothing.
    server = replica.Replica(events=0)
    server.planned_behaviours = [replica.Behaviour("refuse")] * 2

    async def check(site):
        answer = await send(site, "/confirm/1")
        assert (answer.status, server.runs) == (200, {"r1": 1})

    run_with([server], check)


def test_refusal_says_when_to_come_back():
    # All targets reject the request. The caller must get a Retry-After at once instead
    # of waiting until its deadline.
    server = replica.Replica(events=0)
    server.planned_behaviours = [replica.Behaviour("refuse")] * 10

    async def check(site):
        answer = await send(site, "/confirm/1")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert not server.runs

    run_with([server], check)


def test_request_whose_deadline_has_passed_is_sent_to_no_target():
    # The body of a request was complete only after its deadline. A target would run it
    # for nobody, and the caller would not hear that it may come back.
    server = replica.Replica(events=0)

    async def check(site):
        answer = await send(site, "/confirm/1", deadline_ms=10)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert not server.runs

    run_with([server], check)


def test_unsolicited_response_reaches_no_caller():
    # A target sends an unsolicited second response. Matched to the next request on the
    # connection, it would leak one caller's data to another.
    server = replica.Replica(events=0)
    server.planned_behaviours = [replica.Behaviour("extra") for _ in range(3)]

    async def check(site):
        for number in range(4):
            body = f"body {number}".encode()
            answer = await send(site, "/fetch/1", f"r{number}", body)
            assert answer.status == 200
            assert answer.body == body

    run_with([server], check)


def test_truncated_response_of_a_repeatable_request_is_retried():
    servers = [replica.Replica(f"i-{n}", events=0) for n in range(2)]
    servers[0].planned_behaviours = servers[1].planned_behaviours = [
        replica.Behaviour(cut_after=2)
    ]

    async def check(site):
        for number in range(2):
            answer = await send(site, "/fetch/1", f"r{number}")
            assert (answer.status, answer.body) == (200, b"hello")

    run_with(servers, check)


def test_target_at_a_reused_address_gets_no_more_requests():
    # Another target took over the address of one that is still listed. It rejects
    # requests for the old identifier and must get no more of them.
    server = replica.Replica("i-1", events=0)
    other = replica.Replica("i-2", events=0)

    async def check(site):
        server.id = "i-9"
        listed = site.gateways[0].table.by_id["i-1"]
        # The target of each request is drawn at random.
        for number in range(64):
            answer = await send(site, "/confirm/1", f"r{number}")
            assert answer.status == 200
            if listed.paused_until:
                break
        assert listed.paused_until == float("inf")
        for number in range(64, 70):
            answer = await send(site, "/confirm/1", f"r{number}")
            assert answer.status == 200
        assert not server.runs

    run_with([server, other], check)


def test_caller_that_leaves_frees_its_target():
    # A caller disconnects in the middle of a stream. The target must stop working on
    # the request.
    server = replica.Replica(events=200, event_interval_s=0.02)

    async def check(site):
        task = asyncio.create_task(send(site, "/chat/1"))
        await wait_true(lambda: server.running == 1)
        task.cancel()
        await wait_true(lambda: server.running == 0)
        assert site.gateways[0].table.by_id[server.id].online == 0

    run_with([server], check)


def test_request_gets_its_final_answer_at_the_routes_timeout():
    # A target accepts a request and never responds. At the route's timeout the caller
    # must get a 504, not a refusal, since the request may have run.
    server = replica.Replica(events=0)
    server.planned_behaviours = [replica.Behaviour("silent")]
    route = platform_site.make_route("/slow/", "non_idempotent", timeout_ms=300)

    async def check():
        async with platform_site.open_site([server], [route]) as site:
            answer = await send(site, "/slow/1")
            assert answer.status == 504
            await wait_true(lambda: server.running == 0)

    asyncio.run(check())


def test_event_out_of_order_is_not_passed_on():
    server = replica.Replica()
    server.planned_behaviours = [replica.Behaviour("wrong_order")]

    async def check(site):
        with pytest.raises(http_client.TransportError):
            await send(site, "/draft/1")

    run_with([server], check)


def test_unknown_route_and_unknown_configuration_differ():
    # An entry without a configuration cannot tell whether a route exists.
    async def check():
        async with platform_site.open_site() as site:
            assert (await send(site, "/none/1")).status == 404
            site.gateways[0].configuration.current = None
            assert (await send(site, "/none/1")).status == 503

    asyncio.run(check())


async def wait_true(predicate):
    await platform_site.wait.wait_for(predicate, 10, 0.005)


def test_chunked_body_and_other_headers_reach_the_target_unchanged():
    # A chunked body must arrive complete. End-to-end headers must be forwarded,
    # hop-by-hop headers must not.
    server = replica.Replica(events=0)

    async def check(site):
        address = site.gateways[0].settings.callers_address
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = (
            f"POST /fetch/a%2Fb?q=1&q=%20&r HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
            f"{REQUEST_ID}: r9\r\nX-Other: a\r\nX-Other: b\r\nAccept: x/y;q=0.5\r\n"
            "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
            "Transfer-Encoding: chunked\r\n"
        )
        body = b"\r\n3\r\n\x00\xff\r\r\n2\r\n\n0\r\n0\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in answer.splitlines()[0]
        assert await reader.readexactly(5) == b"\x00\xff\r\n0"
        writer.close()
        headers = server.headers[0]
        assert headers["X-Other"] == "a,b"
        assert headers["Accept"] == "x/y;q=0.5"
        assert "X-Hop" not in headers and "Transfer-Encoding" not in headers
        assert server.request_uris == ["/fetch/a%2Fb?q=1&q=%20&r"]

    run_with([server], check)


@pytest.mark.parametrize(("limit", "kept"), [(100, 16), (15, 7), (8, 0), (None, 16)])
def test_idle_connections_stay_within_the_limit_of_the_target(limit, kept):
    # A target resets connections beyond its limit, even those with a running request.
    async def check(site):
        gateway = site.gateways[0]
        current = gateway.configuration.current
        current.max_connections = (
            {} if limit is None else {platform_site.SERVICE: limit}
        )
        target = next(iter(gateway.table.by_id.values()))
        assert min(16, gateway.pools.compute_idle_limit(target)) == kept
        gateway.load_reporter.add("127.0.0.1:1")
        assert (
            gateway.pools.compute_idle_limit(target) == max(0, (limit or 100) - 8) // 2
        )

    run_with([replica.Replica(slots=8)], check)


@pytest.mark.parametrize("path", ["/chat/1", "/draft/1"])
def test_stream_that_ends_with_its_connection_is_passed_on_whole(path):
    # It has neither a length nor chunks, so that only its target, which lives on, tells
    # that it was whole.
    server = replica.Replica()
    server.planned_behaviours = [replica.Behaviour("unframed")]

    async def check(site):
        answer = await send(site, path)
        assert (answer.status, answer.body) == (200, STREAM_BODY)
        assert sum(server.runs.values()) == 1

    run_with([server], check)


def test_stream_that_ends_with_its_target_is_continued():
    # Its target can't tell any more whether it was whole. Its continuation, which has
    # no further events, does.
    servers = [replica.Replica(f"i-{n}", started_ms=STARTED_MS) for n in range(2)]
    planned = [replica.Behaviour("unframed", crashes=True)]
    for each in servers:
        each.planned_behaviours = planned

    async def check(site):
        answer = await send(site, "/chat/1")
        assert (answer.status, answer.body) == (200, STREAM_BODY)
        runs = [headers for each in servers for headers in each.headers]
        last_events = [headers.get("Last-Event-Id", "") for headers in runs]
        assert sorted(last_events) == ["", "3"]

    run_with(servers, check)


def test_stream_that_ends_with_its_target_and_runs_once_looks_cut():
    # Nothing tells whether it was whole. Its events have been passed on.
    server = replica.Replica(started_ms=STARTED_MS)
    server.planned_behaviours = [replica.Behaviour("unframed", crashes=True)]

    async def check(site):
        address = site.gateways[0].settings.callers_address
        stream = site.client.open_stream(
            "POST",
            address,
            "/draft/1",
            b"hello",
            {"Host": platform_site.HOST, REQUEST_ID: "r1"},
        )
        lines = []
        with pytest.raises(http_client.TransportError):
            while received := await stream.read_lines():
                lines += received
        assert lines == [line for line in STREAM_BODY.split(b"\n") if line]
        assert sum(server.runs.values()) == 1

    run_with([server], check)


def test_stream_that_ends_with_its_connection_inside_an_event_goes_on():
    # The part of the event that arrived must not be joined to another run's.
    servers = [replica.Replica(f"i-{n}") for n in range(2)]
    planned = [replica.Behaviour("unframed", cut_after=1, partial_event=True)]
    for each in servers:
        each.planned_behaviours = planned

    async def check(site):
        answer = await send(site, "/chat/1")
        assert (answer.status, answer.body) == (200, STREAM_BODY)
        runs = [headers for each in servers for headers in each.headers]
        assert sorted(run.get("Last-Event-Id", "") for run in runs) == ["", "1"]

    run_with(servers, check)


def test_stream_that_ends_inside_an_event_does_not_look_complete():
    # It may run only once, so that it can't go on elsewhere.
    server = replica.Replica()
    server.planned_behaviours = [
        replica.Behaviour("unframed", cut_after=1, partial_event=True)
    ]

    async def check(site):
        try:
            answer = await send(site, "/draft/1")
        except http_client.TransportError:
            return
        assert answer.status == 502

    run_with([server], check)
