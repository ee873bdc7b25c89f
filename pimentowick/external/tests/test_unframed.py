"""Responses of targets that end with their connections."""

import asyncio

import orjson
import pytest

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.external import engine, service
from pimentowick.fakes import broken_answers, raw_target

IDLE_S = 2.0
TOKENS = ["a", "b", "c"]
JSON_FIELDS = b"Content-Type: application/json\r\n"
CONFIRMED = b'{"confirmed":{"seat":7},"run":1}'
# HTTP/1.0 has no other connections, and need not announce the close.
HEADS = [
    (b"HTTP/1.1 200 OK", JSON_FIELDS + broken_answers.CLOSES),
    (b"HTTP/1.0 200 OK", JSON_FIELDS),
]
BREAKS = [
    raw_target.Ending.CLOSE,
    raw_target.Ending.RESET,
    raw_target.Ending.STOP,
]


def make_answer(body, ending=raw_target.Ending.CLOSE, head=HEADS[0]):
    start, fields = head
    data = broken_answers.make_answer(start, fields, b"\r\n" + body)
    return raw_target.Answer(data, ending)


def make_line(**fields):
    return orjson.dumps({"request_id": "r1", "attempt": 1, **fields}) + b"\n"


LINES = [make_line(index=i, text=text) for i, text in enumerate(TOKENS)]
END_LINE = make_line(done=True, finish_reason="stop", tokens=len(TOKENS))
EVENTS = [engine.Tokens(0, TOKENS), engine.End("stop", len(TOKENS))]


def run_with(check, *answers):
    """Run ``check(server, client)`` with a target that sends the given answers."""

    async def run():
        client = http_client.Client(4)
        server = raw_target.RawTarget(lambda headers: make_answer(b""))
        server.planned = list(answers)
        await client.start()
        await server.start()
        try:
            await check(server, client)
        finally:
            await server.close()
            await client.close()

    asyncio.run(run())


async def generate(server, client):
    adapter = engine.HttpEngine(server.address, client, client, IDLE_S)
    generation = engine.Generation("r1", 1, "m", None, "prompt", 10)
    return [event async for event in adapter.generate(generation)]


async def call(server, client, method="POST"):
    adapter = service.HttpService(server.address, client)
    return await adapter.call(
        service.ServiceCall("r1", method, "/confirm", {}, b"{}", None, False, IDLE_S)
    )


def check_lost(send, *answers):
    """Check that a request counts as one that may have run without a response."""

    async def check(server, client):
        with pytest.raises(exception.RefusedError) as caught:
            await send(server, client)
        refusal = caught.value.refusal
        assert (refusal.status, refusal.code) == (502, "target_lost")
        assert refusal.verdict == verdict.Verdict.MAY_HAVE_RUN

    run_with(check, *answers)


@pytest.mark.parametrize("head", HEADS)
def test_generation_without_framing_ends_with_its_last_line(head):
    # Every generation of an engine that never frames its responses was lost.
    async def check(server, client):
        events = await generate(server, client)
        texts = [text for event in events[:-1] for text in event.texts]
        assert (texts, events[-1]) == (TOKENS, EVENTS[-1])

    run_with(check, make_answer(b"".join(LINES) + END_LINE, head=head))


@pytest.mark.parametrize("ending", BREAKS)
@pytest.mark.parametrize("missing", [1, len(END_LINE), len(END_LINE) + 1])
def test_generation_without_its_last_line_is_lost(missing, ending):
    # The closing connection does not tell that it has ended.
    body = b"".join(LINES) + END_LINE
    check_lost(generate, make_answer(body[:-missing], ending))


def test_refusal_of_an_engine_needs_no_framing():
    # Its status tells that the generation did not run.
    async def check(server, client):
        with pytest.raises(exception.RefusedError) as caught:
            await generate(server, client)
        assert caught.value.refusal.code == "not_loaded"
        assert caught.value.refusal.verdict == verdict.Verdict.NOT_RUN

    head = (b"HTTP/1.1 404 Not Found", JSON_FIELDS + broken_answers.CLOSES)
    run_with(check, make_answer(b'{"error":"unknown model"}', head=head))


def test_load_without_framing_is_read():
    # The models of an engine that never frames its responses were never known.
    async def check(server, client):
        adapter = engine.HttpEngine(server.address, client, client, IDLE_S)
        load = await adapter.read_load()
        assert (load.running, load.models) == (2, ("m",))
        with pytest.raises(exception.PimentowickError):
            await adapter.read_load()

    body = b'{"running":2,"waiting":0,"step_ms":4.0,"models":["m"]}'
    run_with(check, make_answer(body), make_answer(body[:-1]))


@pytest.mark.parametrize("head", HEADS)
def test_whole_service_response_without_framing_is_passed_on(head):
    # Callers got 502 for each call, also those that may run only once.
    async def check(server, client):
        response = await call(server, client)
        assert (response.status, response.body) == (200, CONFIRMED)
        assert len(server.requests) == 1

    run_with(check, make_answer(CONFIRMED, head=head))


@pytest.mark.parametrize("ending", BREAKS)
@pytest.mark.parametrize("size", range(len(CONFIRMED)))
def test_cut_service_response_without_framing_is_lost(size, ending):
    # A service that ends closes its connections in order.
    check_lost(call, make_answer(CONFIRMED[:size], ending))


def test_reset_service_response_without_framing_is_lost():
    # It is not complete, whatever its body says.
    check_lost(call, make_answer(CONFIRMED, raw_target.Ending.RESET))


@pytest.mark.parametrize("body", [b"12", b'"a"', b"null", b"confirmed", b"[1]\n[2]\n"])
def test_service_response_that_may_be_cut_is_lost(body):
    # Each of them could go on.
    check_lost(call, make_answer(body))


def test_service_response_of_another_type_is_lost():
    # A line of JSON may be followed by others.
    head = (HEADS[0][0], b"Content-Type: application/x-ndjson\r\n")
    check_lost(call, make_answer(b"{}\n", head=head))


@pytest.mark.parametrize("damage", broken_answers.DAMAGES)
def test_service_response_whose_framing_is_lost_has_its_own_body(damage):
    # Chunks, or the rest of the head, would be passed on.
    fields = JSON_FIELDS + broken_answers.CLOSES
    sound = [
        broken_answers.make_answer(
            fields=fields,
            body=broken_answers.CHUNKED
            + b"\r\n\r\n"
            + broken_answers.encode_chunks([CONFIRMED[:9], CONFIRMED[9:]]),
        ),
        broken_answers.make_answer(
            fields=fields,
            body=b"Content-Length: %d\r\n\r\n%s" % (len(CONFIRMED), CONFIRMED),
        ),
    ]

    async def check(server, client):
        for _ in sound:
            try:
                response = await call(server, client)
            except exception.RefusedError:
                continue
            assert response.body == CONFIRMED

    answers = [broken_answers.damage_framing(data, damage) for data in sound]
    run_with(check, *map(raw_target.Answer, answers))
