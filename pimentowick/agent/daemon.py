"""The agent: the only way to the target beside it.

Whoever reaches the target by another way voids the promises of this package: the
order of requests, the leases and the fencing are kept here.
"""

import asyncio
import collections
import secrets
import time

from loguru import logger
from tornado import web

from pimentowick import client as http_client
from pimentowick import daemon as process_daemon
from pimentowick import exception, supervisor, tls, verdict
from pimentowick import metrics as process_metrics
from pimentowick import web as http_web
from pimentowick.agent import handler, metered, usage
from pimentowick.external import adapter as external_adapter
from pimentowick.external import engine as external_engine
from pimentowick.placement import executor
from pimentowick.routing import lifetime
from pimentowick.scheduling import lease as scheduling_lease
from pimentowick.scheduling import model as scheduling_model

__all__ = ["Agent"]

READY = "ready"
DRAINING = "draining"
STARTING = "starting"

LOAD_POLL_S = 0.25
LOAD_STALE_S = 5.0
CACHE_POLL_S = 1.0
LEASE_CHECK_S = 0.1
CONTROL_CONNECTIONS = 16
MAX_STOPPED_JOBS = 10_000
ENTRY_KNOWN_S = 60.0


class Agent:
    """The daemon beside one target.

    Args:
        settings: `pimentowick.settings.AgentSettings`.

    Attributes:
        address: ``IP:port`` once started.
        state: ``starting``, ``ready`` or ``draining``.
        shutdown_requests: `pimentowick.daemon.ShutdownRequests` that end the process.
        running: The connections whose request is at work.
    """

    def __init__(self, settings):
        self.settings = settings
        self.state = STARTING
        self.shutdown_requests = process_daemon.ShutdownRequests()
        self._process = secrets.token_hex(4)
        self._heard = {}
        self._revision = 0
        self._rest = {}
        self.running = set()
        self.load = external_engine.EngineLoad()
        self.cache_lifetime = lifetime.CacheLifetimeEstimator()
        self._load_read_at = float("-inf")
        self.metrics = process_metrics.AgentMetrics()
        self.leases = scheduling_lease.LeaseTable(settings.lease_s)
        self.stopped_jobs = collections.OrderedDict()
        target = settings.target
        self.admission = metered.MeteredAdmission(
            self.metrics,
            target.max_online,
            target.max_queue,
            scheduling_model.make_limiter(settings.batch_harm, target.max_batch),
            target.max_batch,
            target.max_running,
        )
        self._client = http_client.Client(target.max_online + target.max_batch)
        self._control = http_client.Client(CONTROL_CONNECTIONS)
        self.target = self._make_target()
        self.orders = executor.Executor(
            self.target,
            self._make_weights(),
            self._drain_model,
            settings.order_settle_s,
        )
        self._supervisor = supervisor.Supervisor("agent")
        self._server = http_web.Server(
            self._make_application(),
            settings.address,
            settings.port,
            ssl_context=tls.make_agent_context(settings.tls),
        )

    @property
    def is_ready(self):
        """Whether new work is taken."""
        return self.state == READY

    @property
    def address(self):
        """``IP:port`` that the agent listens on."""
        return self._server.address

    def _make_target(self):
        target = self.settings.target
        make = external_adapter.find_adapter(target.kind, target.adapter)
        if target.kind == "service":
            return make(target.address, self._client)
        return make(target.address, self._client, self._control, self.settings.idle_s)

    def _make_weights(self):
        settings = self.settings
        if settings.weights is None:
            return None
        make = external_adapter.find_adapter("weights", settings.weights_adapter)
        return make(settings.weights, self._control, settings.transfer_s)

    def _make_application(self):
        shared = {"agent": self}
        return web.Application(
            [
                ("/work", handler.WorkHandler, shared),
                ("/heartbeat", handler.HeartbeatHandler, shared),
                ("/stop-job", handler.StopJobHandler, shared),
                ("/drain", handler.DrainHandler, shared),
                ("/orders", handler.OrderHandler, shared),
                ("/health", handler.HealthHandler, shared),
                ("/ready", handler.ReadyHandler, shared),
                ("/metrics", process_metrics.MetricsHandler, {"daemon": self}),
            ],
            default_handler_class=http_web.UnknownPathHandler,
            log_function=lambda _: None,
        )

    async def start(self):
        """Listen, and begin to watch the target."""
        await self._client.start()
        await self._control.start()
        await self._supervisor.start()
        await self.orders.start()
        await self._server.start()
        self._supervisor.start_child("leases", self._watch_leases)
        self._supervisor.start_child("alive", self._send_alive)
        if self.settings.target.kind == "engine":
            self._supervisor.start_child("load", self._watch_load)
            self._supervisor.start_child("cache", self._watch_cache)
        self.state = READY
        logger.info("agent: {} listens on {}.", self.settings.name, self.address)

    async def drain(self):
        """Refuse new work, and wait for what runs.

        Returns:
            Whether all of it ended within the bound of the settings.
        """
        logger.info("agent: Draining. {} requests run.", len(self.running))
        self.state = DRAINING
        # Entries learn of it with their next heartbeat; until then a refusal that
        # says not run sends their requests elsewhere.
        await asyncio.sleep(self.settings.lame_duck_s)
        self._server.stop_listening()
        cut = await self._server.drain(self.settings.drain_s)
        if cut:
            logger.warning("agent: {} requests are cut.", cut)
        return not cut

    async def close(self):
        """Stop listening and drop all connections."""
        await self._supervisor.close()
        await self.orders.close()
        for each in list(self.running):
            each.cancel()
        await self._server.close()
        await self._client.close()
        await self._control.close()
        logger.info("agent: {} is closed.", self.settings.name)

    async def _watch_leases(self):
        """Cancel the batch items of entries whose lease has lapsed."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            for holder in self.leases.pop_expired():
                self._cancel_batch_of(holder)

    async def stop_job(self, job):
        """Cancel the items of a job and refuse those that still arrive.

        An item may be on its way in a socket when the job is cancelled; without the
        note of the job it would start after the cancellation was acknowledged.

        Returns:
            How many items were cancelled.
        """
        self.stopped_jobs[job] = None
        if len(self.stopped_jobs) > MAX_STOPPED_JOBS:
            self.stopped_jobs.popitem(last=False)
        items = [each for each in self.running if each.work.envelope.job == job]
        for each in items:
            each.cancel()
        while not self.running.isdisjoint(items):
            await asyncio.sleep(0)
        return len(items)

    def _cancel_batch_of(self, holder):
        stale = [
            each
            for each in self.running
            if each.work.is_batch and each.work.envelope.entry == holder
        ]
        if stale:
            logger.warning(
                "agent: The lease of {} lapsed. {} batch items are cancelled.",
                holder,
                len(stale),
            )
        for each in stale:
            each.cancel()

    async def _send_alive(self):
        while True:
            await asyncio.sleep(self.settings.alive_s)
            for each in list(self.running):
                each.send_alive()

    async def _watch_load(self):
        while True:
            await asyncio.sleep(LOAD_POLL_S)
            try:
                self.load = await self.target.read_load()
                self._load_read_at = time.monotonic()
            except exception.PimentowickError:
                continue

    async def _watch_cache(self):
        while True:
            await asyncio.sleep(CACHE_POLL_S)
            start = self.cache_lifetime.resume_sequence
            try:
                events, following = await self.target.read_cache_events(start)
            except exception.PimentowickError:
                continue
            self.cache_lifetime.record_events(events, following, time.monotonic())

    def describe(self):
        """Return all that there is to say about this agent."""
        rest = self._describe_rest()
        if rest != self._rest:
            self._rest = rest
            self._revision += 1
        version = f"{self._process}.{self._revision}"
        return {**rest, "version": version, **self._describe_changing()}

    def answer_heartbeat(self, entry, known):
        """Return what to tell an entry.

        Args:
            entry: Name of the entry's process.
            known: Version of what this agent told the entry before, or None. What
                seldom changes is left out while it is the same.
        """
        self._heard.pop(entry, None)
        self._heard[entry] = time.monotonic()
        answer = self.describe()
        if known != answer["version"]:
            return answer
        return {key: answer[key] for key in answer if key not in self._rest}

    def _describe_rest(self):
        target = self.settings.target
        rest = {
            "agent": self.settings.name,
            "kind": target.kind,
            "service": target.service,
            "target": target.name,
            "max_online": self.admission.max_online,
            "lease_s": self.settings.lease_s,
            "models": list(self.load.models),
        }
        if target.kind == "engine":
            rest.update(self.orders.describe(self.load.models, self.load.adapters))
            rest["max_models"] = target.max_models
            # Nobody must count on models of an engine that tells nothing.
            age = time.monotonic() - self._load_read_at
            rest["settled"] = rest["settled"] and age < LOAD_STALE_S
        return rest

    def _describe_changing(self):
        admission = self.admission
        return {
            "state": self.state,
            "online": admission.count_online(),
            "batch": len(admission.batch),
            "batch_free": admission.count_free_batch_slots(),
            "batch_served": admission.token_counter.describe(),
            "wait_s": round(admission.estimate_wait(), 3),
            "entries": max(1, self.count_entries()),
            "holders": max(1, self.leases.count()),
            "cache_life_s": self.cache_lifetime.estimate(),
            "demand": usage.count_demand(self.running),
        }

    def count_entries(self):
        """Return how many entries sent a heartbeat lately."""
        limit = time.monotonic() - ENTRY_KNOWN_S
        # The one heard longest ago stands first.
        while self._heard and next(iter(self._heard.values())) < limit:
            self._heard.pop(next(iter(self._heard)))
        return len(self._heard)

    async def _drain_model(self, kind, name):
        await usage.drain(self.running, kind, name, self.settings.drain_s)

    def check(self, work):
        """Refuse work that must not begin.

        Raises:
            RefusedError: The agent drains, or the sender's lease has lapsed.
        """
        if not self.is_ready:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "draining",
                    "The target is leaving. Try again.",
                    retry_after=0.1,
                )
            )
        if usage.needs_any(work, self.orders.leaving):
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "not_loaded",
                    "The model is being unloaded there. Try again.",
                    retry_after=0.1,
                )
            )
        envelope = work.envelope
        if envelope.job in self.stopped_jobs:
            raise exception.RefusedError(
                verdict.Refusal(410, "job_stopped", "The job was cancelled.")
            )
        if work.is_batch and not self.leases.is_valid(envelope.entry, envelope.lease):
            raise exception.RefusedError(
                verdict.Refusal(
                    409, "lease_lapsed", "The lease has lapsed.", retry_after=0.1
                )
            )
