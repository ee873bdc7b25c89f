"""The agent, a proxy for the target on its host.

Admission, leases and fencing are enforced by the agent. They hold only if all requests
to the target pass through it.
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
MAX_LOAD_AGE_S = 5.0
CACHE_POLL_S = 1.0
LEASE_CHECK_S = 0.1
CONTROL_CONNECTIONS = 16
MAX_STOPPED_JOBS = 10_000
ENTRY_EXPIRY_S = 60.0


class Agent:
    """Daemon that proxies all requests to one target.

    Args:
        settings: `pimentowick.settings.AgentSettings`.

    Attributes:
        address: ``IP:port`` after the start, before that None.
        state: ``starting``, ``ready`` or ``draining``.
        shutdown_requests: `pimentowick.daemon.ShutdownRequests` of the process.
        running: Set of `pimentowick.agent.handler.WorkHandler` with active requests.
    """

    def __init__(self, settings):
        self.settings = settings
        self.state = STARTING
        self.shutdown_requests = process_daemon.ShutdownRequests()
        self._instance_id = secrets.token_hex(4)
        self._heartbeat_times = {}
        self._revision = 0
        self._static_report = {}
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
        self._control_client = http_client.Client(CONTROL_CONNECTIONS)
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
        """Whether new requests are accepted."""
        return self.state == READY

    @property
    def address(self):
        """``IP:port`` on which the agent listens."""
        return self._server.address

    def _make_target(self):
        target = self.settings.target
        make = external_adapter.find_adapter(target.kind, target.adapter)
        if target.kind == "service":
            return make(target.address, self._client)
        return make(
            target.address, self._client, self._control_client, self.settings.idle_s
        )

    def _make_weights(self):
        settings = self.settings
        if settings.weights is None:
            return None
        make = external_adapter.find_adapter("weights", settings.weights_adapter)
        return make(settings.weights, self._control_client, settings.transfer_s)

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
        """Start the server and the background tasks."""
        await self._client.start()
        await self._control_client.start()
        await self._supervisor.start()
        await self.orders.start()
        await self._server.start()
        self._supervisor.start_child("leases", self._cancel_expired)
        self._supervisor.start_child("alive", self._send_keepalives)
        if self.settings.target.kind == "engine":
            self._supervisor.start_child("load", self._poll_load)
            self._supervisor.start_child("cache", self._poll_cache_events)
        self.state = READY
        logger.info("agent: {} listens on {}.", self.settings.name, self.address)

    async def drain(self):
        """Reject new requests and wait for the active ones.

        Returns:
            Whether all requests completed within the drain timeout.
        """
        logger.info("agent: Draining; {} active requests.", len(self.running))
        self.state = DRAINING
        # Until entries see the state in a heartbeat response, requests are refused with
        # the verdict not_run, and the entries retry them at other targets.
        await asyncio.sleep(self.settings.lame_duck_s)
        self._server.stop_listening()
        unfinished = await self._server.drain(self.settings.drain_s)
        if unfinished:
            logger.warning(
                "agent: Drain timeout expired; aborting {} requests.", unfinished
            )
        return not unfinished

    async def close(self):
        """Cancel active requests and close all connections."""
        await self._supervisor.close()
        await self.orders.close()
        for request_handler in list(self.running):
            request_handler.cancel()
        await self._server.close()
        await self._client.close()
        await self._control_client.close()
        logger.info("agent: {} is shut down.", self.settings.name)

    async def _cancel_expired(self):
        """Cancel the batch items of entries whose lease has expired."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            for holder in self.leases.pop_expired():
                self._cancel_batch_items(holder)

    async def stop_job(self, job):
        """Cancel the items of a job and refuse its further items.

        The job is recorded so that an item in transit is not started after the
        cancellation has been acknowledged.

        Returns:
            Number of cancelled items.
        """
        self.stopped_jobs[job] = None
        if len(self.stopped_jobs) > MAX_STOPPED_JOBS:
            self.stopped_jobs.popitem(last=False)
        items = [
            request_handler
            for request_handler in self.running
            if request_handler.work.envelope.job == job
        ]
        for request_handler in items:
            request_handler.cancel()
        while not self.running.isdisjoint(items):
            await asyncio.sleep(0)
        return len(items)

    def _cancel_batch_items(self, holder):
        items = [
            request_handler
            for request_handler in self.running
            if request_handler.work.is_batch
            and request_handler.work.envelope.entry == holder
        ]
        if items:
            logger.warning(
                "agent: Lease of {} expired; cancelling {} batch items.",
                holder,
                len(items),
            )
        # Without a reason, the entry would take the items for the cause of a failure.
        refusal = verdict.Refusal(
            409,
            "lease_lapsed",
            "The lease has lapsed while the item ran.",
            verdict.Verdict.MAY_HAVE_RUN,
            retry_after=0.1,
        )
        for request_handler in items:
            request_handler.cancel(refusal)

    async def _send_keepalives(self):
        while True:
            await asyncio.sleep(self.settings.alive_s)
            for request_handler in list(self.running):
                request_handler.send_keepalive()

    async def _poll_load(self):
        while True:
            await asyncio.sleep(LOAD_POLL_S)
            try:
                self.load = await self.target.read_load()
                self._load_read_at = time.monotonic()
            except exception.PimentowickError:
                continue

    async def _poll_cache_events(self):
        while True:
            await asyncio.sleep(CACHE_POLL_S)
            start = self.cache_lifetime.resume_sequence
            try:
                events, next_sequence = await self.target.read_cache_events(start)
            except exception.PimentowickError:
                continue
            self.cache_lifetime.record_events(events, next_sequence, time.monotonic())

    def describe(self):
        """Return a complete report of the agent's state."""
        static = self._describe_static()
        if static != self._static_report:
            self._static_report = static
            self._revision += 1
        version = f"{self._instance_id}.{self._revision}"
        return {**static, "version": version, **self._describe_dynamic()}

    def answer_heartbeat(self, entry, known_version):
        """Record a heartbeat from an entry and return the report for it.

        Args:
            entry: Name of the entry's process.
            known_version: Version of the last report that the entry received, or
                None. The static fields are omitted if they have not changed since.
        """
        self._heartbeat_times.pop(entry, None)
        self._heartbeat_times[entry] = time.monotonic()
        report = self.describe()
        if known_version != report["version"]:
            return report
        return {key: report[key] for key in report if key not in self._static_report}

    def _describe_static(self):
        target = self.settings.target
        static = {
            "agent": self.settings.name,
            "kind": target.kind,
            "service": target.service,
            "target": target.name,
            "max_online": self.admission.max_online,
            "lease_s": self.settings.lease_s,
            "models": list(self.load.models),
        }
        if target.software_version is not None:
            static["software_version"] = target.software_version
        if target.kind == "engine":
            static.update(self.orders.describe(self.load.models, self.load.adapters))
            static["max_models"] = target.max_models
            # The list of models is unreliable if the engine stopped reporting.
            age = time.monotonic() - self._load_read_at
            static["settled"] = static["settled"] and age < MAX_LOAD_AGE_S
        return static

    def _describe_dynamic(self):
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
        """Return the number of entries with a recent heartbeat."""
        oldest_valid = time.monotonic() - ENTRY_EXPIRY_S
        # Ordered by the time of the last heartbeat.
        while (
            self._heartbeat_times
            and next(iter(self._heartbeat_times.values())) < oldest_valid
        ):
            self._heartbeat_times.pop(next(iter(self._heartbeat_times)))
        return len(self._heartbeat_times)

    async def _drain_model(self, kind, name):
        await usage.wait_until_unused(self.running, kind, name, self.settings.drain_s)

    def check_admissible(self, work):
        """Check that a request may be started.

        Raises:
            RefusedError: The agent is draining, the model is being unloaded, the job
                was cancelled, or the entry's lease has expired.
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
        if usage.uses_any(work, self.orders.unloading):
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
