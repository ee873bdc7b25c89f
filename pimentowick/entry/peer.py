"""Bootstraps the configuration from other entries while the log is unavailable."""

import asyncio

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.entry import handler

__all__ = ["Bootstrap", "SnapshotHandler"]

POLL_INTERVAL_S = 0.5
SNAPSHOT_TIMEOUT_S = 3.0


class SnapshotHandler(handler.PeerHandler):
    """``GET /peer/configuration``: a snapshot of the configuration of this entry."""

    def get(self):
        """Respond with a snapshot and the offset up to which it covers the log."""
        self.check_ready()
        follower = self.entry.configuration_replica
        dump = {"covers": follower.offset, "parts": follower.state_machine.dump()}
        self.write_json(dump)


class Bootstrap:
    """Loads the newest snapshot of other entries until the log can be read.

    An entry without a configuration cannot serve requests. The state of any live entry
    is a prefix of the log, so it is safe to start from. A snapshot that is older than
    the local state is never installed.

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
        """Start polling the other entries."""
        await self._supervisor.start()
        self._supervisor.start_child("ask", self._poll)

    async def close(self):
        """Stop polling."""
        await self._supervisor.close()

    async def _poll(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._replica.ready:
                await self._install_newest()

    async def _install_newest(self):
        others = [h for name, h in self._fleet.entries.items() if name != self._name]
        fetched = await asyncio.gather(*map(self._fetch_snapshot, others))
        snapshots = [snapshot for snapshot in fetched if snapshot is not None]
        if not snapshots or self._replica.ready:
            return
        newest = max(snapshots, key=lambda snapshot: snapshot["covers"])
        if self._replica.install_state(newest["covers"], newest["parts"]):
            self._replica.ready = True
            logger.info("bootstrap: Installed the configuration of another entry.")

    async def _fetch_snapshot(self, host):
        try:
            answer = await self._client.fetch(
                "GET", host.address, "/peer/configuration", timeout_s=SNAPSHOT_TIMEOUT_S
            )
            snapshot = answer.decode()
            return (
                snapshot if answer.status == 200 and snapshot["covers"] >= 0 else None
            )
        except (exception.PimentowickError, KeyError, TypeError):
            return None
