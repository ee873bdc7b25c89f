"""Helper processes of the capacity benchmark: the platform, and the agents.

``python -m benchmarks.capacity_platform platform`` runs a log and a host list,
``python -m benchmarks.capacity_platform agents COUNT`` one agent for each of COUNT
services. Both count the requests that they receive and the bytes transferred.
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


class _ByteMeter:
    """Counts the bytes sent and received on each local port of this process."""

    def __init__(self):
        self.bytes = collections.Counter()
        self._read = iostream.IOStream.read_from_fd
        self._write = iostream.IOStream.write_to_fd

    def install(self):
        """Patch `tornado.iostream` to count all bytes read and written."""
        byte_meter = self

        def read_from_fd(stream, buffer):
            return byte_meter._add(stream, self._read(stream, buffer))

        def write_to_fd(stream, data):
            return byte_meter._add(stream, self._write(stream, data))

        iostream.IOStream.read_from_fd = read_from_fd
        iostream.IOStream.write_to_fd = write_to_fd

    def _add(self, stream, count):
        if count and stream.socket is not None:
            self.bytes[stream.socket.getsockname()[1]] += count
        return count

    def count(self, address):
        """Return the bytes sent and received on the port of `address`."""
        return self.bytes[int(address.rpartition(":")[2])]


class _CountsServer(server.Server):
    """Answers ``GET /counts`` with the counters of the other servers."""

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
    record_log, host_list, byte_meter = (
        _CountingLog(),
        _CountingHostList(),
        _ByteMeter(),
    )
    byte_meter.install()
    await record_log.start()
    await host_list.start()

    def describe():
        return {
            "log": record_log.address,
            "hosts": host_list.address,
            "log_reads": record_log.reads,
            "log_appends": record_log.appends,
            "log_records": record_log.records,
            "log_bytes": byte_meter.count(record_log.address),
            "host_reads": host_list.reads,
            "host_bytes": byte_meter.count(host_list.address),
        }

    await _serve_counts(describe)


class _CountingAgent(agent_daemon.Agent):
    heartbeats = 0

    def answer_heartbeat(self, entry, known):
        self.heartbeats += 1
        return super().answer_heartbeat(entry, known)


async def _run_agents(count):
    agents = [_make_agent(number) for number in range(count)]
    byte_meter = _ByteMeter()
    byte_meter.install()
    for agent in agents:
        await agent.start()

    def describe():
        return {
            "addresses": [each.address for each in agents],
            "heartbeats": sum(each.heartbeats for each in agents),
            "bytes": sum(byte_meter.count(each.address) for each in agents),
        }

    await _serve_counts(describe)


def _make_agent(number):
    # An agent of a service becomes ready without a running target.
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
    counts = _CountsServer(describe)
    await counts.start()
    print(json.dumps({"listening": counts.address}), flush=True)
    await asyncio.Event().wait()


def run(arguments):
    """Run the helper process named by the first argument."""
    logger.remove()
    if arguments[0] == "platform":
        asyncio.run(_run_platform())
    else:
        asyncio.run(_run_agents(int(arguments[1])))


if __name__ == "__main__":
    run(sys.argv[1:])
