"""Controls model placement: plans changes and sends orders while its claim is in force.

Every entry runs a controller, and the log determines which one is the leader. Apart
from the claim, no state is stored: the engines report what is loaded.
"""

import asyncio
import collections
import dataclasses
import random
import time

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.batch import shard
from pimentowick.external import log as external_log
from pimentowick.placement import claim as placement_claim
from pimentowick.placement import order as placement_order
from pimentowick.placement import plan as placement_plan

__all__ = ["PlacementController"]

CHECK_INTERVAL_S = 0.1
IDLE_CHECKS_PER_TAKEOVER = 12
"""Number of checks by a follower within the takeover timeout."""
RENEWALS_PER_TAKEOVER = 3
RANK_DELAY_S = 1.0
# Number of read timeouts by which the replica may lag and still count as reading.
MAX_LAG_READS = 3
ORDER_TIMEOUT_S = 2.0
ORDER_POLL_S = 0.1
FAILURE_BACKOFF_S = 2.0
MAX_CONCURRENT_FENCES = 32
FENCE_RETRY_S = 1.0
# Heartbeat intervals for which the last known models of an engine are remembered.
MAX_REPORT_INTERVALS = 4
# Concurrent requests from which a model without configuration counts as in use.
MIN_DEMAND_IN_USE = 0.5
# Time between plans, relative to the time that a plan takes.
PLAN_IDLE_RATIO = 50
DEMAND_HALF_LIFE_S = 30.0
# Mean share of an engine's online slots in use for which replicas are planned.
SLOT_UTILIZATION = 0.5


class PlacementController:
    """Placement controller of one entry.

    Args:
        log: `pimentowick.external.log.Log`.
        fleet: `pimentowick.membership.fleet.Fleet`.
        client: `pimentowick.client.Client` for orders to agents.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process in claims.
        get_fleet: Function that returns the configuration's
            `pimentowick.configuration.document.Fleet`.

    Attributes:
        replica: `pimentowick.placement.claim.ClaimReplica` of the claims.
        pending: `pimentowick.placement.order.Order` in progress, by agent.
    """

    def __init__(self, log, fleet, client, settings, owner, get_fleet):
        self.replica = placement_claim.ClaimReplica(log)
        self.pending = {}
        self._fleet = fleet
        self._client = client
        self._settings = settings
        self._owner = owner
        self._get_fleet = get_fleet
        self._fence = 0
        self._fenced = {}
        self._fence_sent_at = {}
        self._last_models = {}
        self._ended_at = {}
        self._failed_at = {}
        self._demand = collections.Counter()
        self._decided_at = time.monotonic()
        self._owner_offset = None
        self._silent_s = 0.0
        self._plan_at = 0.0
        self._renewed_at = 0.0
        self._releasing = False
        self._supervisor = supervisor.Supervisor("placement")

    async def start(self):
        """Start following the claims."""
        await self._supervisor.start()
        await self.replica.start()
        self._supervisor.start_child("control", self._run)

    async def close(self):
        """Stop; the claim stays in force until another entry claims."""
        await self._supervisor.close()
        await self.replica.close()

    async def release(self):
        """Release the claim, so that another entry can take over without a timeout."""
        self._releasing = True
        if not self.is_owner:
            return
        record = placement_claim.make_release(self._claims.fence)
        try:
            await self.replica.append([record], self._settings.append_s)
        except exception.LogError as error:
            logger.warning("placement: claim not released: {}", error)

    @property
    def _claims(self):
        return self.replica.state_machine

    @property
    def is_owner(self):
        """Whether the newest claim that was read belongs to this process."""
        return self._claims.owner == self._owner

    async def _run(self):
        while True:
            began = time.monotonic()
            pause = self._get_check_interval()
            await asyncio.sleep(pause)
            # Time during which this process was suspended is not the leader's silence.
            elapsed = min(time.monotonic() - began, 2 * pause)
            if self._releasing or not self.replica.ready:
                continue
            if not self._get_fleet().models:
                continue
            await self._update_claim(elapsed)
            self._fleet.track_all_agents(self.is_owner)
            if self.is_owner:
                await self._decide()

    def _get_check_interval(self):
        """Return the interval until the next check, in seconds.

        Most entries never become the leader. Checking as often as the leader would
        dominate the cost of an idle entry.
        """
        if self.is_owner or self._claims.owner is None:
            return (
                CHECK_INTERVAL_S
                if self._get_fleet().models
                else self._get_idle_interval()
            )
        return self._get_idle_interval()

    def _get_idle_interval(self):
        return max(
            CHECK_INTERVAL_S, self._settings.takeover_s / IDLE_CHECKS_PER_TAKEOVER
        )

    async def _update_claim(self, elapsed):
        claims = self._claims
        if claims.owner_offset != self._owner_offset:
            self._owner_offset = claims.owner_offset
            self._silent_s = 0.0
        elif self._is_reading():
            self._silent_s += elapsed
        try:
            if self.is_owner:
                await self._renew()
            elif self._silent_s >= self._get_claim_delay():
                self._silent_s = 0.0
                record = placement_claim.make_claim(self._owner)
                await self.replica.append([record], self._settings.append_s)
        except exception.LogError as error:
            logger.warning("placement: {}", error)

    def _is_reading(self):
        # A read held open by the log reports its state from when it began.
        max_lag_s = MAX_LAG_READS * placement_claim.READ_WAIT_S
        age = time.monotonic() - self.replica.caught_up_at
        return age < max(max_lag_s, self._settings.takeover_s / RENEWALS_PER_TAKEOVER)

    def _get_claim_delay(self):
        names = {n for n, host in self._fleet.entries.items() if not host.leaving}
        names.add(self._settings.name)
        order = shard.rank_entries(placement_claim.STREAM, names)
        delay = order.index(self._settings.name) * RANK_DELAY_S
        if self._claims.owner is None:
            return delay
        return self._settings.takeover_s + delay

    async def _renew(self):
        now = time.monotonic()
        if now - self._renewed_at < self._settings.takeover_s / RENEWALS_PER_TAKEOVER:
            return
        self._renewed_at = now
        record = placement_claim.make_renew(self._owner, self._claims.fence)
        await self.replica.log.append(placement_claim.STREAM, [record])

    async def _decide(self):
        fence = self._claims.fence
        if fence != self._fence:
            logger.info("placement: this entry is the leader with fence {}", fence)
            self._fence = fence
            self._fenced = {}
            self._fence_sent_at = {}
        await self._fence_all(self._list_peers())
        if not self.is_owner or self._claims.fence != fence:
            return
        began = time.monotonic()
        if began < self._plan_at:
            return
        self._plan()
        # Planning for a large fleet takes long and blocks the event loop.
        self._plan_at = began + PLAN_IDLE_RATIO * (time.monotonic() - began)

    def _plan(self):
        peers = self._list_peers()
        configuration = self._get_fleet()
        desired = self._list_desired_models(configuration, peers)
        engines = self._list_engines(peers)
        loads = configuration.max_loads - len(self.pending)
        for change in placement_plan.make_plan(desired, engines, loads):
            self._start_change(change)

    def _list_peers(self):
        return [
            peer
            for peer in self._fleet.peers.values()
            if peer.report.get("boot") and self._fleet.is_usable(peer)
        ]

    async def _fence_all(self, peers):
        """Announce the fencing token to every agent process.

        Until an agent knows the token, an older controller that resumes could still
        change its engine, so the plan must not rely on what that engine holds.
        """
        now = time.monotonic()
        unfenced = [
            (peer, peer.report["boot"])
            for peer in peers
            if self._fenced.get(peer.name) != peer.report["boot"]
            and now - self._fence_sent_at.get(peer.name, 0.0) > FENCE_RETRY_S
        ]
        if not unfenced:
            return
        fence = self._fence
        try:
            # After the boot ids were received; see `pimentowick.placement.executor`.
            confirmed = await self.replica.is_up_to_date()
        except exception.LogError as error:
            logger.warning("placement: claim not confirmed: {}", error)
            return
        if not confirmed or not self.is_owner or self._claims.fence != fence:
            return
        # Unresponsive agents must not delay the renewal of the claim.
        chosen = random.sample(unfenced, min(MAX_CONCURRENT_FENCES, len(unfenced)))
        await asyncio.gather(*(self._send_fence(peer, boot) for peer, boot in chosen))

    async def _send_fence(self, peer, boot):
        self._fence_sent_at[peer.name] = time.monotonic()
        order = self._make_order(boot, placement_order.FENCE)
        if await self._send(peer, order) is not None:
            self._fenced[peer.name] = boot
            peer.wake.set()

    def _make_order(self, boot, action, **fields):
        name = external_log.make_id()
        return placement_order.Order(name, self._fence, boot, action, **fields)

    async def _send(self, peer, order):
        """Return the `pimentowick.placement.order.Status`, or None if unanswered."""
        try:
            answer = await self._client.fetch(
                "POST",
                peer.address,
                "/orders",
                dataclasses.asdict(order),
                timeout_s=ORDER_TIMEOUT_S,
            )
            if answer.status == 200:
                return placement_order.Status(**answer.decode())
        except exception.PimentowickError as error:
            logger.debug("placement: {} did not answer: {}", peer.name, error)
            return None
        if answer.status == 409:
            self._fenced.pop(peer.name, None)
        return None

    def _is_reliable(self, peer):
        """Return whether only this controller can change the state in a report."""
        report = peer.report
        return (
            self._fenced.get(peer.name) == report["boot"]
            and report["fence"] == self._fence
            and report["settled"]
            and peer.heartbeat_sent_at > self._ended_at.get(peer.name, 0.0)
        )

    def _list_engines(self, peers):
        """Return the engines, including the probable state of unreliable ones.

        An agent that restarts, or does not know the fencing token yet, still has its
        models. Loading them elsewhere at once would only move weights.
        """
        now = time.monotonic()
        engines = []
        for peer in peers:
            if self._is_reliable(peer):
                engine = self._make_engine_state(peer)
                models = engine.models | {engine.loading} - {None}
                self._last_models[peer.name] = (models, now)
                engines.append(engine)
        known = {engine.agent for engine in engines}
        reported = {peer.name: set(peer.report["models"]) for peer in peers}
        intervals = {peer.name: peer.heartbeat_interval_s for peer in peers}
        for name, (models, at) in list(self._last_models.items()):
            # The first report after an order may take several heartbeat intervals.
            reports_s = MAX_REPORT_INTERVALS * intervals.get(name, 0.0)
            if now - at > max(self._settings.takeover_s, reports_s):
                del self._last_models[name]
            else:
                reported[name] = reported.get(name, set()) | models
        for name in reported.keys() - known:
            probable_models = reported[name] - self._get_unloading(name)
            engines.append(
                placement_plan.EngineState(
                    name, "", set(), busy=True, probable_models=probable_models
                )
            )
        return engines

    def _get_unloading(self, agent):
        order = self.pending.get(agent)
        if order is None or order.action != placement_order.UNLOAD:
            return set()
        return {order.name}

    def _make_engine_state(self, peer):
        report = peer.report
        order = self.pending.get(peer.name)
        engine = placement_plan.EngineState(
            peer.name,
            peer.host.failure_domain,
            set(report["models"]),
            set(report["adapters"]),
            report["versions"],
            report["max_models"],
        )
        failed_at = self._failed_at.get(peer.name)
        if failed_at is not None:
            engine.busy = time.monotonic() - failed_at < FAILURE_BACKOFF_S
        if order is not None:
            engine.busy = True
            if order.kind == placement_plan.MODEL:
                # It does not count as a replica, nor as missing while it loads.
                engine.models.discard(order.name)
                loads = order.action == placement_order.LOAD
                engine.loading = order.name if loads else None
        return engine

    def _list_desired_models(self, configuration, peers):
        now = time.monotonic()
        self._update_demand(peers, now - self._decided_at)
        self._decided_at = now
        slots = [peer.report["max_online"] for peer in peers] or [1]
        slots_per_replica = SLOT_UTILIZATION * sum(slots) / len(slots)
        desired = [
            placement_plan.DesiredModel(
                name,
                model.version,
                placement_plan.compute_replica_count(
                    self._demand[name],
                    slots_per_replica,
                    model.replicas_min,
                    model.replicas_max,
                ),
                model.adapters,
            )
            for name, model in configuration.models.items()
        ]
        # A model that was removed from the configuration is unloaded when its slot is
        # needed, but not while it is in use.
        desired += [
            placement_plan.DesiredModel(name, replicas=0)
            for name, demand in self._demand.items()
            if demand >= MIN_DEMAND_IN_USE and name not in configuration.models
        ]
        return desired

    def _update_demand(self, peers, elapsed_s):
        """Raise the demand estimates at once, and lower them gradually.

        Adding and removing replicas with each burst would only move weights.
        """
        demand = collections.Counter()
        for peer in peers:
            demand.update(peer.report["demand"])
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        for name in {*demand, *self._demand}:
            self._demand[name] = max(demand[name], self._demand[name] * decay)

    def _start_change(self, change):
        peer = self._fleet.peers[change.agent]
        order = self._make_order(
            self._fenced[change.agent],
            change.action,
            kind=change.kind,
            name=change.name,
            version=change.version,
        )
        logger.info("placement: {}: {} {}.", change.agent, change.action, change.name)
        self.pending[change.agent] = order
        self._supervisor.start_child(
            f"order {change.agent}", self._run_order, peer, order
        )

    async def _run_order(self, peer, order):
        """Retry an order until the agent reports its end."""
        try:
            while self._is_current(peer, order):
                status = await self._send(peer, order)
                if status is not None and self._has_ended(peer, order, status):
                    break
                await asyncio.sleep(ORDER_POLL_S)
        finally:
            if self.pending.get(peer.name) is order:
                del self.pending[peer.name]
            self._ended_at[peer.name] = time.monotonic()
            # The engine's state is not relied on until its next report, and agents of
            # an idle service are polled rarely.
            peer.wake.set()

    def _is_current(self, peer, order):
        return (
            self.is_owner
            and self._claims.fence == order.fence
            and self._fenced.get(peer.name) == order.boot
            and self._fleet.peers.get(peer.name) is peer
        )

    def _has_ended(self, peer, order, status):
        if status.state == placement_order.FAILED:
            self._failed_at[peer.name] = time.monotonic()
            logger.warning(
                "placement: {}: order for {} failed: {}",
                peer.name,
                order.name,
                status.error,
            )
        return status.state in (
            placement_order.DONE,
            placement_order.FAILED,
            placement_order.SUPERSEDED,
        )
