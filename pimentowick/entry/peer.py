"""The configuration of another entry, for one that starts while the log is down."""

import asyncio

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.entry import handler

__all__ = ["Bootstrap", "DumpHandler"]

CHECK_S = 0.5
DUMP_TIMEOUT_S = 3.0


class DumpHandler(handler.PeerHandler):
    """``GET /peer/configuration``: the whole configuration as known here."""

    def get(self):
        """Answer with the state and the offset up to which it holds."""
        self.check_ready()
        follower = self.entry.configuration_replica
        dump = {"covers": follower.offset, "parts": follower.state_machine.dump()}
        self.write_json(dump)


class Bootstrap:
    """Takes the newest configuration of other entries while the log gives none.

    An entry without any configuration can't serve. What a live entry has in force is
    a prefix of the log, and the log grows no further while it is down; an older one
    than what is known here is never taken.

    Args:
        replica: `pimentowick.replication.replica.Replica` of the configuration.
        fleet: `pimentowick.membership.fleet.Fleet`, which knows the entries.
        client: `pimentowick.client.Client`.
        name: Name of this host.
    """

    def __init__(self, replica, fleet, client, name):
        self._replica = replica
        self._fleet = fleet
        self._client = client
        self._name = name
        self._supervisor = supervisor.Supervisor("bootstrap")

    async def start(self):
        """Begin to ask."""
        await self._supervisor.start()
        self._supervisor.start_child("ask", self._ask_always)

    async def close(self):
        """Stop asking."""
        await self._supervisor.close()

    async def _ask_always(self):
        while True:
            await asyncio.sleep(CHECK_S)
            if not self._replica.ready:
                await self._ask_all()

    async def _ask_all(self):
        others = [h for name, h in self._fleet.entries.items() if name != self._name]
        found = await asyncio.gather(*map(self._fetch, others))
        dumps = [dump for dump in found if dump is not None]
        if not dumps or self._replica.ready:
            return
        newest = max(dumps, key=lambda dump: dump["covers"])
        if self._replica.install_state(newest["covers"], newest["parts"]):
            self._replica.ready = True
            logger.info("bootstrap: Took the configuration of another entry.")

    async def _fetch(self, host):
        try:
            answer = await self._client.fetch(
                "GET", host.address, "/peer/configuration", timeout_s=DUMP_TIMEOUT_S
            )
            dump = answer.decode()
            return dump if answer.status == 200 and dump["covers"] >= 0 else None
        except (exception.PimentowickError, KeyError, TypeError):
            return None
