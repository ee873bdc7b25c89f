"""Malformed and cut responses of the store."""

import asyncio
import struct

import orjson
import pytest

from pimentowick.fakes import raw_target
from pimentowick.platform import store

TIMEOUT_S = 5.0


def make_response(body, framing=True, status=b"200 OK"):
    length = b"Content-Length: %d\r\n" % len(body) if framing else b""
    return b"HTTP/1.1 " + status + b"\r\n" + length + b"\r\n" + body


def run_with(check, data, *others):
    async def run():
        fake_store = raw_target.RawTarget(lambda headers: raw_target.Answer(data))
        fake_store.planned = [raw_target.Answer(other) for other in others]
        await fake_store.start()
        client = store.Store(fake_store.address, TIMEOUT_S)
        await client.start()
        try:
            await check(client)
        finally:
            await client.close()
            await fake_store.close()

    asyncio.run(run())


def make_page(*records):
    rows = [struct.pack(">I", len(record)) + record for record in records]
    return struct.pack(">QQ", len(records), 0) + b"".join(rows)


def make_newest(**changes):
    row = {"key": "k", "value": "eA==", "offset": 0}
    return orjson.dumps({"items": [row], "has_more": False, "end": 1, **changes})


FIRST = b"\x01kfirst"
PAGE = make_page(FIRST, b"\x01kthe second value")
CALLS = {
    "read": lambda client: client.read("keyed.t", 0, 0),
    "newest": lambda client: client.read_newest("keyed.t", 0),
    "append": lambda client: client.append("keyed.t", 0, [], None),
    "join": lambda client: client.join("g", "m", "keyed.t", 1.0, 0),
}
NO_OBJECTS = [b"", b"{", b"[]", b"7", b"\xff", b"[" * 100_000 + b"]" * 100_000]


@pytest.mark.parametrize("size", range(1, len(PAGE) - 16))
def test_page_that_is_cut_has_no_records(size):
    # The rest of a record was taken for all of it, and what follows it was skipped.
    async def check(client):
        with pytest.raises(store.UnknownOutcomeError):
            await CALLS["read"](client)

    cut = PAGE[:-size]
    if len(cut) == len(make_page(FIRST)):
        # It ends between two records, which only the framing shows.
        run_with(check, make_response(cut, framing=False))
    else:
        run_with(check, make_response(cut))


@pytest.mark.parametrize("name", CALLS)
def test_response_without_framing_is_not_complete(name):
    # A list without its end looks like all of the list.
    async def check(client):
        with pytest.raises(store.UnknownOutcomeError):
            await CALLS[name](client)

    bodies = {"read": PAGE, "newest": make_newest(), "append": b'{"end":1}'}
    body = bodies.get(name, b'{"generation":1,"parts":[]}')
    run_with(check, make_response(body, framing=False))


@pytest.mark.parametrize("body", NO_OBJECTS)
@pytest.mark.parametrize("name", ["newest", "append", "join"])
def test_response_that_is_no_object_is_an_error_of_the_store(name, body):
    # Other errors ended the reader of the topic.
    async def check(client):
        with pytest.raises(store.UnknownOutcomeError):
            await CALLS[name](client)

    run_with(check, make_response(body))


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("newest", make_newest(items=7)),
        ("newest", make_newest(items=None)),
        ("newest", make_newest(end="1")),
        ("newest", make_newest(end=None)),
        ("newest", make_newest(items=[7], has_more=True)),
        ("newest", make_newest(items=[{"key": 7}], has_more=True)),
        ("append", b'{"end":"1"}'),
        ("append", b'{"end":true}'),
        ("append", b"{}"),
        ("join", b"{}"),
        ("join", b'{"generation":1,"parts":7}'),
        ("join", b'{"generation":1,"parts":[7]}'),
        ("join", b'{"generation":1,"parts":[["t"]]}'),
        ("join", b'{"generation":null,"parts":[]}'),
    ],
)
def test_field_of_another_type_is_an_error_of_the_store(name, body):
    # Other errors ended the reader of the topic.
    async def check(client):
        with pytest.raises(store.UnknownOutcomeError):
            await CALLS[name](client)

    run_with(check, make_response(body))


@pytest.mark.parametrize(
    "row",
    [
        7,
        None,
        [],
        {},
        {"key": "a", "value": "!", "offset": 0},
        {"key": "a", "value": "é", "offset": 0},
        {"key": "a", "value": 7, "offset": 0},
        {"key": 7, "value": "eA==", "offset": 0},
        {"key": "a", "value": "eA==", "offset": "0"},
        {"key": "a", "value": "eA==", "offset": None},
    ],
)
def test_malformed_row_hides_no_other(row):
    # Another writer may have left it.
    async def check(client):
        page = await client.read_newest("keyed.t", 0)
        assert [record.key for record in page.records] == ["k"]

    sound = {"key": "k", "value": "eA==", "offset": 1}
    run_with(check, make_response(make_newest(items=[row, sound], end=2)))


@pytest.mark.parametrize("content", [b"", b"\x05ab", b"\x02\xff\xff", b"\xff"])
def test_malformed_record_hides_no_other(content):
    # Another writer may have left it.
    async def check(client):
        page = await client.read("keyed.t", 0, 0)
        assert [(record.key, record.offset) for record in page.records] == [("k", 1)]
        assert page.end == 2

    run_with(check, make_response(make_page(content, b"\x01kx")))
