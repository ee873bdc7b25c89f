"""Fake of the weight store."""

import asyncio
import heapq
import itertools
import time

from pimentowick.fakes import faults, server

__all__ = ["WeightStore"]


class WeightStore(server.Server):
    """A store of model weights whose concurrent transfers share the bandwidth evenly.

    Args:
        port: Port to listen on; 0 lets the kernel choose.
        bytes_per_s: Total bandwidth, shared by all running transfers.
        weights: Sizes in bytes by ``name/version``.

    Attributes:
        transfer_count: Number of transfers begun.
        running_transfers: Heap of the running transfers, first to end first.
    """

    def __init__(self, port=0, *, bytes_per_s=1e9, weights=None):
        super().__init__(port)
        self.bytes_per_s = bytes_per_s
        self.weights = dict(weights or {})
        self.transfer_count = 0
        # Bytes that a transfer running since the beginning would have received so far.
        # A transfer ends once this has grown by its size.
        self._progress_bytes = 0.0
        self._progress_at = time.monotonic()
        self.running_transfers = []
        self._tie_breakers = itertools.count()
        self._timer = None

    def list_routes(self):
        """Return the routes of the weight store."""
        return [(r"/weights/([^/]+)/([^/]+)", _WeightHandler)]

    async def close(self):
        """Stop listening and abort the transfers."""
        if self._timer is not None:
            self._timer.cancel()
        await super().close()

    async def transfer(self, size, closed):
        """Wait for the duration of a transfer.

        Args:
            size: Size in bytes.
            closed: `asyncio.Event` that aborts the transfer.
        """
        self._update_progress()
        done = asyncio.Event()
        transfer = (self._progress_bytes + size, next(self._tie_breakers), done)
        heapq.heappush(self.running_transfers, transfer)
        self.transfer_count += 1
        self._schedule()
        tasks = [asyncio.ensure_future(event.wait()) for event in (done, closed)]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._remove_transfer(transfer)

    def _remove_transfer(self, transfer):
        if transfer not in self.running_transfers:
            return
        self._update_progress()
        self.running_transfers.remove(transfer)
        heapq.heapify(self.running_transfers)
        self._schedule()

    def _update_progress(self):
        now = time.monotonic()
        if self.running_transfers:
            elapsed = now - self._progress_at
            self._progress_bytes += (
                elapsed * self.bytes_per_s / len(self.running_transfers)
            )
        self._progress_at = now

    def _schedule(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.running_transfers:
            return
        remaining = max(0.0, self.running_transfers[0][0] - self._progress_bytes)
        delay_s = remaining * len(self.running_transfers) / self.bytes_per_s
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._complete_transfers
        )

    def _complete_transfers(self):
        # The timer is set for the first transfer to end: rounding must not delay it.
        self._update_progress()
        self._progress_bytes = max(self._progress_bytes, self.running_transfers[0][0])
        while (
            self.running_transfers
            and self.running_transfers[0][0] <= self._progress_bytes
        ):
            _, _, done = heapq.heappop(self.running_transfers)
            done.set()
        self._schedule()


class _WeightHandler(faults.Handler):
    """`GET /weights/{name}/{version}`."""

    async def get(self, name, version):
        size = self.server.weights.get(f"{name}/{version}")
        if size is None:
            await self.respond({"error": "unknown"}, status=404)
            return
        await self.server.transfer(size, self.closed)
        await self.respond({"name": name, "version": version, "bytes": size})
