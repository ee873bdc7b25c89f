"""Callers cannot access the paths for traffic between entries."""

import asyncio
import http.client

from pimentowick.fakes import embedded

CALLER_IP = "127.0.0.2"


def fetch_from(source, address, path):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), source_address=(source, 0))
    connection.request("GET", path)
    status = connection.getresponse().status
    connection.close()
    return status


def test_callers_cannot_read_the_configuration_of_all():
    """The paths between entries reveal the settings of all workspaces, so requests from
    other hosts are rejected.
    """

    async def check(fleet):
        entry = fleet.entries["entry-0"].address
        for path in ("/peer/configuration", "/peer/version"):
            refused = await asyncio.to_thread(fetch_from, CALLER_IP, entry, path)
            accepted = await asyncio.to_thread(fetch_from, "127.0.0.1", entry, path)
            assert (refused, accepted) == (403, 200)

    embedded.run(check)
