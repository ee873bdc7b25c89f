"""Executes placement orders at an agent's engine, one at a time.

Some engines ignore fencing tokens, so the agent checks them. It keeps the highest
token in memory only, and after a restart it must not accept an order that its previous
process refused. Therefore each process has a random boot id, and accepts only orders
with this id. A controller learns the id from a heartbeat answer and then reads the log
up to its head before it sends an order. Its claim was thus still the newest after this
process started, so no earlier process can have accepted an order with a higher token.
"""

import asyncio
import collections
import dataclasses
import secrets
import time

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.placement import order as placement_order

__all__ = ["Executor"]

BOOT_BYTES = 8
MAX_ENDED_ORDERS = 64
MAX_REPORT_LAG_S = 10.0
"""Maximum lag of the engine's report of loaded models and adapters."""


@dataclasses.dataclass(slots=True)
class _ReportOverride:
    loaded: bool
    until: float


class Executor:
    """Accepts and executes the orders for one agent's engine.

    Args:
        engine: `pimentowick.external.engine.Engine`.
        weights: `pimentowick.external.weights.WeightStore`, or None if the engine
            downloads its weights itself.
        drain: Coroutine function of a kind and a name that returns once no request
            uses the model or adapter any more, or after a timeout.
        settle_s: Maximum time for which an order of an earlier process of this agent
            may still be in progress at the engine, in seconds.

    Attributes:
        boot: Random id of this process.
        fence: Highest fencing token seen; 0 if none.
        unloading: ``(kind, name)`` of models and adapters that are being unloaded, or
            may be.
        versions: Version by ``(kind, name)`` of those that this process loaded.
    """

    def __init__(self, engine, weights, drain, settle_s):
        self.boot = secrets.token_hex(BOOT_BYTES)
        self.fence = 0
        self.unloading = set()
        self.versions = {}
        self._engine = engine
        self._weights = weights
        self._drain = drain
        self._settled_at = time.monotonic() + settle_s
        self._current = None
        self._sending = False
        self._ended_orders = collections.OrderedDict()
        self._last_transfer = None
        self._overrides = {}
        self._supervisor = supervisor.Supervisor("orders")

    async def start(self):
        """Start accepting orders."""
        await self._supervisor.start()

    async def close(self):
        """Cancel the current order."""
        await self._supervisor.close()

    @property
    def is_settled(self):
        """Whether no order of an earlier process can still change the engine."""
        return time.monotonic() >= self._settled_at

    @property
    def loading(self):
        """Name of the model or adapter that is being loaded, or None."""
        current = self._current
        if current is None or current.action != placement_order.LOAD:
            return None
        return current.name

    def submit(self, order):
        """Accept an order, or return the status of an order already accepted.

        Args:
            order: `pimentowick.placement.order.Order`.

        Returns:
            `pimentowick.placement.order.Status`.

        Raises:
            ConflictError: The order has a stale fencing token or is for an earlier
                process; it has no effect.
        """
        if order.boot != self.boot:
            raise exception.ConflictError("The order is meant for an earlier process.")
        if order.fence < self.fence:
            raise exception.ConflictError("A newer decider has given orders.")
        self._update_fence(order.fence)
        if order.action == placement_order.FENCE:
            return self._make_status(placement_order.DONE)
        ended = self._ended_orders.get(order.id)
        if ended is not None and ended[0] != placement_order.UNKNOWN:
            return self._make_status(*ended)
        if self._current is not None:
            same = self._current.id == order.id
            return self._make_status(
                placement_order.RUNNING if same else placement_order.BUSY
            )
        self._current = order
        self._supervisor.start_child("order", self._run, order)
        return self._make_status(placement_order.RUNNING)

    def _make_status(self, state, error=""):
        return placement_order.Status(state, self.fence, self.boot, error)

    def _update_fence(self, fence):
        if fence == self.fence:
            return
        self.fence = fence
        if self._current is not None and not self._sending:
            # The transfer for an older controller would compete for bandwidth with
            # those of the new one.
            self._supervisor.stop_child("order")
            self._finish_order(self._current, placement_order.SUPERSEDED)

    async def _run(self, order):
        state, error = placement_order.FAILED, ""
        try:
            await self._prepare(order)
            self._sending = True
            state = await self._send(order)
        except exception.PimentowickError as caught:
            error = str(caught)
        finally:
            self._sending = False
        self._finish_order(order, state, error)

    async def _prepare(self, order):
        await asyncio.sleep(max(0.0, self._settled_at - time.monotonic()))
        key = (order.kind, order.name)
        if order.action == placement_order.UNLOAD:
            # From now on the agent refuses requests for it with the verdict not run.
            self.unloading.add(key)
            await self._drain(*key)
            return
        wanted = (*key, order.version)
        if self._weights is not None and self._last_transfer != wanted:
            await self._weights.transfer(order.name, order.version)
            self._last_transfer = wanted

    async def _send(self, order):
        fields = {"name": order.name, "kind": order.kind}
        if order.action == placement_order.LOAD:
            fields["version"] = order.version
        try:
            await self._engine.send_order(order.fence, order.action, **fields)
        except exception.UnavailableError as error:
            # The engine may have executed the order. Until a retry confirms it, the
            # model or adapter counts as neither loaded nor unloaded.
            logger.warning("orders: {} {}: {}", order.action, order.name, error)
            return placement_order.UNKNOWN
        self._record_done(order)
        return placement_order.DONE

    def _record_done(self, order):
        key = (order.kind, order.name)
        loaded = order.action == placement_order.LOAD
        # The engine's report lags behind. It would still list a model that was just
        # unloaded, and the controller would count this engine as a replica.
        self._overrides[key] = _ReportOverride(
            loaded, time.monotonic() + MAX_REPORT_LAG_S
        )
        self.versions.pop(key, None)
        if loaded:
            self.versions[key] = order.version
        logger.info("orders: {} {} {} done", order.action, order.kind, order.name)

    def _finish_order(self, order, state, error=""):
        if self._current is not order:
            return
        self._current = None
        if state != placement_order.UNKNOWN:
            self.unloading.discard((order.kind, order.name))
        self._ended_orders[order.id] = (state, error)
        self._ended_orders.move_to_end(order.id)
        if len(self._ended_orders) > MAX_ENDED_ORDERS:
            self._ended_orders.popitem(last=False)
        if error:
            logger.warning("orders: {} {}: {}", order.action, order.name, error)

    def list_loaded(self, kind, reported):
        """Return the names of loaded models or adapters that are not being unloaded.

        Args:
            kind: ``model`` or ``adapter``.
            reported: Names in the engine's last report, which may be out of date.
        """
        names = set(reported)
        now = time.monotonic()
        for (each, name), override in list(self._overrides.items()):
            if override.until <= now:
                del self._overrides[each, name]
            elif each == kind and override.loaded:
                names.add(name)
            elif each == kind:
                names.discard(name)
        return sorted(name for name in names if (kind, name) not in self.unloading)

    def describe(self, models, adapters):
        """Return the fields about placement in a heartbeat answer.

        Args:
            models: Models in the engine's last report.
            adapters: Adapters in the engine's last report.
        """
        return {
            "models": self.list_loaded("model", models),
            "adapters": self.list_loaded("adapter", adapters),
            "versions": {
                f"{kind}/{name}": version
                for (kind, name), version in self.versions.items()
            },
            "fence": self.fence,
            "boot": self.boot,
            "settled": self.is_settled,
            "loading": self.loading,
        }
