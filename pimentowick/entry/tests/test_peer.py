"""What entries tell each other is not for callers."""

import asyncio
import http.client

from pimentowick.fakes import embedded

ELSEWHERE = "127.0.0.2"


def fetch_from(source, address, path):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), source_address=(source, 0))
    connection.request("GET", path)
    status = connection.getresponse().status
    connection.close()
    return status


def test_callers_cannot_read_the_configuration_of_all():
    """A caller who reaches an entry's port asks for the path that entries use.

    The answer holds the names and settings of all workspaces, rivals included.
    """

    async def check(fleet):
        entry = fleet.entries["entry-0"].address
        for path in ("/peer/configuration", "/peer/version"):
            refused = await asyncio.to_thread(fetch_from, ELSEWHERE, entry, path)
            taken = await asyncio.to_thread(fetch_from, "127.0.0.1", entry, path)
            assert (refused, taken) == (403, 200)

    embedded.run(check)
