"""Helper processes of the capacity measurement: the platform, and many agents.

``python -m benchmarks.capacity_platform platform`` runs a log and a host list,
``python -m benchmarks.capacity_platform agents COUNT`` one real agent for each of
COUNT services. Both count what they are asked and how many bytes that takes.
"""

import asyncio
import collections
import json
import sys

from loguru import logger
from tornado import iostream, web

from pimentowick import settings
from pimentowick.agent import daemon as agent_daemon
from pimentowick.fakes import hosts, log, server

__all__ = ["run"]


class _Meter:
    """Bytes of HTTP that passed each local port of this process, both ways."""

    def __init__(self):
        self.bytes = collections.Counter()
        self._read = iostream.IOStream.read_from_fd
        self._write = iostream.IOStream.write_to_fd

    def install(self):
        """Count from now on."""
        meter = self

        def read_from_fd(stream, buffer):
            return meter._add(stream, self._read(stream, buffer))

        def write_to_fd(stream, data):
            return meter._add(stream, self._write(stream, data))

        iostream.IOStream.read_from_fd = read_from_fd
        iostream.IOStream.write_to_fd = write_to_fd

    def _add(self, stream, count):
        if count and stream.socket is not None:
            self.bytes[stream.socket.getsockname()[1]] += count
        return count

    def count(self, address):
        """Return the bytes that passed the port of an address."""
        return self.bytes[int(address.rpartition(":")[2])]


class _Counts(server.Server):
    """Answers ``GET /counts`` for the servers beside it."""

    def __init__(self, describe):
        super().__init__()
        self.describe = describe

    def list_routes(self):
        return [("/counts", _CountsHandler)]


class _CountsHandler(web.RequestHandler):
    def initialize(self, server):
        self.server = server

    def get(self):
        self.finish(self.server.describe())


class _CountingLog(log.Log):
    def __init__(self):
        super().__init__()
        self.reads = 0
        self.appends = 0
        self.records = 0

    def read(self, stream, offset, limit=log.DEFAULT_READ_LIMIT):
        self.reads += 1
        found = super().read(stream, offset, limit)
        self.records += len(found)
        return found

    def append(self, stream, records):
        self.appends += 1
        return super().append(stream, records)


class _CountingHostList(hosts.HostList):
    def __init__(self):
        super().__init__(lag_s=0.0)
        self.reads = 0

    def read(self):
        self.reads += 1
        return super().read()


async def _run_platform():
    kept, listed, meter = _CountingLog(), _CountingHostList(), _Meter()
    meter.install()
    await kept.start()
    await listed.start()

    def describe():
        return {
            "log": kept.address,
            "hosts": listed.address,
            "log_reads": kept.reads,
            "log_appends": kept.appends,
            "log_records": kept.records,
            "log_bytes": meter.count(kept.address),
            "host_reads": listed.reads,
            "host_bytes": meter.count(listed.address),
        }

    await _serve_counts(describe)


class _CountingAgent(agent_daemon.Agent):
    heartbeats = 0

    def answer_heartbeat(self, entry, known):
        self.heartbeats += 1
        return super().answer_heartbeat(entry, known)


async def _run_agents(count):
    agents = [_make_agent(number) for number in range(count)]
    meter = _Meter()
    meter.install()
    for agent in agents:
        await agent.start()

    def describe():
        return {
            "addresses": [each.address for each in agents],
            "heartbeats": sum(each.heartbeats for each in agents),
            "bytes": sum(meter.count(each.address) for each in agents),
        }

    await _serve_counts(describe)


def _make_agent(number):
    # A plain service: no engine has to be there for it to be ready.
    target = {
        "name": f"target-{number}",
        "address": "127.0.0.1:1",
        "kind": "service",
        "service": f"service-{number}",
    }
    return _CountingAgent(
        settings.AgentSettings(
            name=f"agent-{number}",
            failure_domain="d0",
            target=target,
            log_level="ERROR",
        )
    )


async def _serve_counts(describe):
    counts = _Counts(describe)
    await counts.start()
    print(json.dumps({"listening": counts.address}), flush=True)
    await asyncio.Event().wait()


def run(arguments):
    """Run the helper that the command line names."""
    logger.remove()
    if arguments[0] == "platform":
        asyncio.run(_run_platform())
    else:
        asyncio.run(_run_agents(int(arguments[1])))


if __name__ == "__main__":
    run(sys.argv[1:])
