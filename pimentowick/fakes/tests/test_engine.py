import asyncio

from pimentowick.fakes import engine
from pimentowick.fakes.tests import client


def run_with_engine(function, **settings):
    async def run():
        async with client.run_server(
            engine.Engine(base_step_ms=1, **settings)
        ) as server:
            await function(server)

    asyncio.run(run())


def test_generate_streams_the_expected_text_and_resumes():
    async def check(server):
        code, lines = await client.generate(server, "r", "hello", 5)
        assert code == 200
        text = "".join(line["text"] for line in lines[:-1])
        assert text == engine.make_expected_text("hello", 5)
        assert lines[-1]["finish_reason"] == "length" and lines[-1]["tokens"] == 5
        _, rest = await client.generate(server, "r", "hello", 5, resume_tokens=3)
        assert rest[:-1] == lines[3:-1]
        assert (await client.fetch_json(server, "/runs"))[1]["runs"] == {"r": 2}

    run_with_engine(check)


def test_streams_over_the_limit_are_queued():
    async def check(server):
        calls = [client.generate(server, f"r{i}", f"p{i}", 4) for i in range(6)]
        for i, (_, lines) in enumerate(await asyncio.gather(*calls)):
            assert lines[0]["text"] == engine.make_token(f"p{i}", 0)
            assert len(lines) == 5
        assert server.running_peak == 2

    run_with_engine(check, max_running=2)


def test_rejection_and_cancellation():
    async def check(server):
        assert (await client.generate(server, "r", "POISON:bad", 1))[0] == 400
        assert (await client.generate(server, "r", "p", 1, model="x"))[0] == 404
        call = asyncio.create_task(client.generate(server, "c", "p", 100000))
        await client.wait_for(lambda: server.running)
        assert (await client.fetch_json(server, "/cancel", {"request_id": "c"}))[
            0
        ] == 200
        assert (await call)[1][-1]["finish_reason"] == "cancelled"
        assert not server.running

    run_with_engine(check)


def test_prefix_cache_events_have_gaps():
    async def check(server):
        prompt = "x" * 64 * 10
        await client.generate(server, "r", prompt, 1)
        _, body = await client.fetch_json(server, "/cache-events?from=0")
        sequences = [event["sequence"] for event in body["events"]]
        assert sequences == [i for i in range(body["next"]) if i % 7 != 6]
        assert len(server.cache.blocks) == 4
        assert engine.hash_blocks(prompt)[0] in server.cache.blocks
        _, state = await client.fetch_json(server, "/kv/r")
        assert (await client.fetch_json(server, "/kv/s", state, "PUT"))[0] == 200

    run_with_engine(check, cache_blocks=4, event_lag_s=0)


def test_outdated_orders_are_rejected_only_if_the_fence_is_checked():
    async def check(server):
        load = {"action": "load", "kind": "model", "name": "m", "version": "2"}
        assert await client.fetch_json(server, "/orders", load | {"fence": 5}) == (
            200,
            {"fence": 5},
        )
        outdated = {"fence": 4, "action": "role", "role": "decode"}
        code, _ = await client.fetch_json(server, "/orders", outdated)
        assert code == (409 if server.check_fence else 200)
        _, loaded = await client.fetch_json(server, "/load")
        assert "m" in loaded["models"]
        assert loaded["role"] == ("both" if server.check_fence else "decode")

    run_with_engine(check, load_lag_s=0)
    run_with_engine(check, load_lag_s=0, check_fence=False)


def test_disconnected_client_frees_its_slot():
    """A client that disconnects during a response must not keep its slot.

    Otherwise the engine fills up with streams that nobody reads.
    """

    async def check(server):
        body = {"request_id": "r", "model": "model", "prompt": "p"}
        body["max_tokens"] = 10**6
        call = client.fetch(server, "/generate", body, timeout=0.2)
        await asyncio.gather(call, client.wait_for(lambda: server.running))
        await client.wait_for(lambda: not server.running)

    run_with_engine(check)


def test_cut_and_stall_truncate_a_stream():
    """The connection to an engine closes or stalls after some tokens.

    The client must get a part of the response without its end.
    """

    async def check(server):
        for kind, is_stalled in (("cut", False), ("stall", True)):
            await client.fetch_json(server, "/fault", {"kind": kind, "count": 1})
            body = {"request_id": kind, "model": "model", "prompt": "p"}
            body["max_tokens"] = 10**6
            response = await client.fetch(server, "/generate", body, timeout=0.3)
            assert response.code == 599
            assert ("Timeout" in str(response.error)) == is_stalled
            await client.wait_for(lambda: not server.running)
        assert (await client.generate(server, "r", "p", 2))[1][-1]["done"]

    run_with_engine(check)
