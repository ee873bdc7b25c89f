import asyncio
import collections

import pytest

from pimentowick import client as http_client
from pimentowick.fakes import platform_site, replica

STREAM = platform_site.make_route("/chat/", "stream", resumable=True)
ONCE_STREAM = platform_site.make_route("/draft/", "stream", max_attempts=2)
PLAIN = platform_site.make_route("/fetch/", "idempotent")
ONCE = platform_site.make_route("/confirm/", "non_idempotent")
ROUTES = [STREAM, ONCE_STREAM, PLAIN, ONCE]
REQUEST_ID = "X-Pimentowick-Request-Id"
WHOLE = "".join(f"id: {n}\ndata: word {n}\n\n" for n in (1, 2, 3)).encode()


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
        assert answer.body == WHOLE
        assert answer.headers["X-Pimentowick-Server-Stamp"] == server.id
        found = server.headers[0]
        assert found["X-Pimentowick-Expect-Instance"] == server.id
        assert 0 < int(found["X-Pimentowick-Deadline-Ms"]) < 4000

    run_with([server], check)


@pytest.mark.parametrize("cut_after", [0, 1, 2])
@pytest.mark.parametrize("half_event", [False, True])
def test_resumable_stream_goes_on_at_another_target(cut_after, half_event):
    # A target crashes in the middle of a stream, perhaps in the middle of an event.
    # The caller sees every event once, in order, within the one answer.
    servers = [replica.Replica("i-1"), replica.Replica("i-2")]
    # Whichever gets a request first breaks off.
    plan = [replica.Behaviour(cut_after=cut_after, half_event=half_event)]
    servers[0].plan = servers[1].plan = plan

    async def check(site):
        answers = [await send(site, "/chat/1", f"r{n}") for n in range(2)]
        assert [answer.body for answer in answers] == [WHOLE, WHOLE]
        assert sum(sum(each.runs.values()) for each in servers) == 3

    run_with(servers, check)


def test_stream_that_may_run_once_is_not_sent_again():
    # The target breaks off after an event. Run again, the draft would be made twice;
    # the caller must see that the answer is not whole.
    servers = [replica.Replica(f"i-{n}") for n in range(2)]
    for each in servers:
        each.plan = [replica.Behaviour(cut_after=1)]

    async def check(site):
        try:
            answer = await send(site, "/draft/1")
        except http_client.TransportError:
            pass
        else:
            # The event and the end came together, before any of it was passed on.
            assert answer.status == 502
        assert sum(sum(each.runs.values()) for each in servers) == 1

    run_with(servers, check)


@pytest.mark.parametrize("kind", ["vanish", "unsigned", "crossed"])
def test_request_that_may_have_run_is_not_called_refused(kind):
    # The target takes the request, and no answer that can be used comes back. A 503
    # would say that the stand was not confirmed, and it may well be.
    server = replica.Replica(events=0)
    server.plan = [replica.Behaviour(kind)]

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
    # A target is full and says so. The request runs elsewhere, once.
    servers = [replica.Replica(f"i-{n}", events=0) for n in range(2)]
    servers[0].plan = [replica.Behaviour("refuse")] * 4

    async def check(site):
        for number in range(4):
            answer = await send(site, "/confirm/1", f"r{number}")
            assert answer.status == 200
        assert servers[0].runs + servers[1].runs == collections.Counter(
            {f"r{number}": 1 for number in range(4)}
        )

    run_with(servers, check)


def test_refusal_says_when_to_come_back():
    # All targets turn the request away. Nothing ran, and the caller learns when a
    # new attempt makes sense instead of waiting until its time is over.
    server = replica.Replica(events=0)
    server.plan = [replica.Behaviour("refuse")] * 10

    async def check(site):
        answer = await send(site, "/confirm/1")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert not server.runs

    run_with([server], check)


def test_second_answer_on_a_connection_reaches_nobody():
    # A target sends a second answer behind the first. Taken for the answer to the
    # next request, it would show a caller what belongs to another one.
    server = replica.Replica(events=0)
    server.plan = [replica.Behaviour("extra") for _ in range(3)]

    async def check(site):
        for number in range(4):
            body = f"body {number}".encode()
            answer = await send(site, "/fetch/1", f"r{number}", body)
            assert answer.status == 200
            assert answer.body == body

    run_with([server], check)


def test_cut_answer_of_a_repeatable_request_is_asked_for_again():
    servers = [replica.Replica(f"i-{n}", events=0) for n in range(2)]
    servers[0].plan = servers[1].plan = [replica.Behaviour(cut_after=2)]

    async def check(site):
        for number in range(2):
            answer = await send(site, "/fetch/1", f"r{number}")
            assert (answer.status, answer.body) == (200, b"hello")

    run_with(servers, check)


def test_target_at_a_reused_address_is_left_alone():
    # A target is gone and another one has its address, which the listing does not
    # say yet. It answers that it is another, and gets no more of this work.
    server = replica.Replica("i-1", events=0)
    other = replica.Replica("i-2", events=0)

    async def check(site):
        server.id = "i-9"
        for number in range(6):
            answer = await send(site, "/confirm/1", f"r{number}")
            assert answer.status == 200
        assert not server.runs
        assert site.gateways[0].table.by_id["i-1"].paused_until == float("inf")

    run_with([server, other], check)


def test_caller_that_leaves_frees_its_target():
    # A caller gives up in the middle of a stream. The target would go on working
    # for nobody.
    server = replica.Replica(events=200, gap_s=0.02)

    async def check(site):
        task = asyncio.create_task(send(site, "/chat/1"))
        await wait_true(lambda: server.running == 1)
        task.cancel()
        await wait_true(lambda: server.running == 0)
        assert site.gateways[0].table.by_id[server.id].online == 0

    run_with([server], check)


def test_request_gets_its_final_answer_at_the_routes_timeout():
    # A target takes a request and falls silent. The operator wants nobody to wait
    # longer than the route's timeout; what may have run is not called refused.
    server = replica.Replica(events=0)
    server.plan = [replica.Behaviour("silent")]
    route = platform_site.make_route("/slow/", "non_idempotent", timeout_ms=300)

    async def check():
        async with platform_site.open_site([server], [route]) as site:
            answer = await send(site, "/slow/1")
            assert answer.status == 504
            await wait_true(lambda: server.running == 0)

    asyncio.run(check())


def test_event_out_of_order_is_not_passed_on():
    server = replica.Replica()
    server.plan = [replica.Behaviour("wrong_order")]

    async def check(site):
        with pytest.raises(http_client.TransportError):
            await send(site, "/draft/1")

    run_with([server], check)


def test_unknown_route_and_unknown_configuration_differ():
    # An entry that knows no configuration cannot say that a route is missing.
    async def check():
        async with platform_site.open_site() as site:
            assert (await send(site, "/none/1")).status == 404
            site.gateways[0].configuration.current = None
            assert (await send(site, "/none/1")).status == 503

    asyncio.run(check())


async def wait_true(predicate):
    await platform_site.wait.wait_for(predicate, 10, 0.005)


def test_chunked_body_and_other_headers_reach_the_target_unchanged():
    # What the caller sends in pieces arrives whole; headers that are no business of
    # the entry pass, and those of the connection stay on it.
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
        found = server.headers[0]
        assert found["X-Other"] == "a,b"
        assert found["Accept"] == "x/y;q=0.5"
        assert "X-Hop" not in found and "Transfer-Encoding" not in found
        assert server.uris == ["/fetch/a%2Fb?q=1&q=%20&r"]

    run_with([server], check)


@pytest.mark.parametrize(("limit", "kept"), [(100, 16), (15, 7), (8, 0), (None, 16)])
def test_idle_connections_stay_within_the_limit_of_the_target(limit, kept):
    # A target resets connections beyond its limit, also one with a request on it.
    async def check(site):
        gateway = site.gateways[0]
        current = gateway.configuration.current
        current.max_connections = (
            {} if limit is None else {platform_site.SERVICE: limit}
        )
        target = next(iter(gateway.table.by_id.values()))
        assert min(16, gateway.pools.compute_idle_limit(target)) == kept
        gateway.neighbours.add("127.0.0.1:1")
        assert (
            gateway.pools.compute_idle_limit(target) == max(0, (limit or 100) - 8) // 2
        )

    run_with([replica.Replica(slots=8)], check)
