"""Malformed rows and responses of the host list."""

import asyncio

import orjson
import pytest

from pimentowick import client, exception
from pimentowick.external import hosts
from pimentowick.fakes import raw_target

ROW = {
    "host": "h1",
    "role": "agent",
    "address": "127.0.0.1:80",
    "failure_domain": "d",
    "state": "live",
}
SOUND = {**ROW, "host": "h2"}


async def read_once(data):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)
    server = raw_target.RawTarget(lambda headers: raw_target.Answer(head + data))
    http = client.Client()
    await http.start()
    await server.start()
    try:
        return await hosts.HttpHostList(server.address, http).read()
    finally:
        await server.close()
        await http.close()


@pytest.mark.parametrize(
    "row",
    [
        7,
        None,
        [],
        {},
        {**ROW, "host": 7},
        {**ROW, "role": None},
        {**ROW, "failure_domain": ["d"]},
        {**ROW, "address": 80},
        {**ROW, "address": "127.0.0.1"},
        {**ROW, "address": "127.0.0.1:70000"},
        {**ROW, "address": "x" * 100_000 + ":80"},
        [[[[[[[7]]]]]]],
        {name: value for name, value in ROW.items() if name != "state"},
    ],
)
def test_malformed_row_hides_no_host(row):
    # Another error ended the reader of the list.
    data = orjson.dumps({"hosts": [row, SOUND]})
    (host,) = asyncio.run(read_once(data))
    assert (host.name, host.leaving) == ("h2", False)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"{}", b'{"hosts":7}', b"\xff"])
def test_malformed_response_is_an_error_of_the_list(data):
    # Another error ended the reader of the list.
    with pytest.raises(exception.UnavailableError):
        asyncio.run(read_once(data))
