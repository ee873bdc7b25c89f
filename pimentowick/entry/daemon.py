"""The entry daemon: serves callers and operators, and owns shards of batch jobs."""

import asyncio
import math
import secrets

from loguru import logger
from tornado import web

from pimentowick import client as http_client
from pimentowick import daemon as process_daemon
from pimentowick import metrics as process_metrics
from pimentowick import tls
from pimentowick import web as http_web
from pimentowick.batch import call as batch_call
from pimentowick.batch import dispatch, ownership, relocation, shard, writer
from pimentowick.configuration import state_machine as configuration_state_machine
from pimentowick.configuration import tokens
from pimentowick.entry import (
    audit,
    configuration,
    job,
    listing,
    metered,
    online,
    order,
    peer,
    service,
    watch,
)
from pimentowick.external import adapter
from pimentowick.membership import fleet as membership_fleet
from pimentowick.placement import placement_controller
from pimentowick.replication import checkpoint_writer, replica
from pimentowick.routing import affinity, balance, limits, router

__all__ = [
    "Entry",
    "HealthHandler",
    "ReadyHandler",
]

STARTING = "starting"
READY = "ready"
DRAINING = "draining"
STOPPING = "stopping"
# Before the end of a drain, for the last answers to callers.
LAST_ANSWER_MARGIN_S = 1.0
CONTROL_CONNECTIONS = 64
# One long poll per followed shard, and the appends.
PLATFORM_CONNECTIONS = 256


class Entry:
    """The daemon on an entry host.

    Args:
        settings: `pimentowick.settings.EntrySettings`.

    Attributes:
        owner: Unique owner id of this process: the host's name and a random suffix that
            differs between restarts.
        state: ``starting``, ``ready``, ``draining`` while the readiness check fails but
            requests are still accepted, or ``stopping``.
        shutdown_requests: The `pimentowick.daemon.ShutdownRequests` of the process.
        configuration: The
            `pimentowick.configuration.state_machine.ConfigurationStateMachine`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.owner = f"{settings.name}#{secrets.token_hex(4)}"
        self.state = STARTING
        self._drain_ends_at = math.inf
        self.shutdown_requests = process_daemon.ShutdownRequests()
        self.metrics = process_metrics.EntryMetrics()
        self.limits = limits.ConcurrencyLimits(settings.max_online)
        # Separate connection pools, so that no class of traffic blocks another.
        peers = tls.make_client_tls(settings.tls)
        self.client = http_client.Client(CONTROL_CONNECTIONS, peers)
        self._online_client = http_client.Client(settings.max_online, peers)
        self._batch_client = http_client.Client(settings.max_batch, peers)
        self._platform_client = http_client.Client(
            PLATFORM_CONNECTIONS, tls.make_client_tls(settings.platform.tls)
        )
        # Requests forwarded to other entries may be slow; they must not block
        # heartbeats and appends.
        self.forward_client = http_client.Client(settings.max_online, peers)
        log, hosts = self._make_platform()
        self.configuration = configuration_state_machine.ConfigurationStateMachine()
        self.configuration_replica = replica.Replica(
            log, configuration_state_machine.STREAM, self.configuration
        )
        self.watch = watch.ConfigurationWatch(self.configuration_replica)
        self.fleet = membership_fleet.Fleet(
            hosts, self.client, settings, self.owner, self._is_fresh
        )
        self.placement_controller = placement_controller.PlacementController(
            log,
            self.fleet,
            self.client,
            settings,
            self.owner,
            lambda: self.configuration.fleet,
        )
        self.table = shard.ShardTable(log, self.fleet, settings, self.owner)
        self.ownership = ownership.Ownership(
            self.table, self.fleet, settings, self.owner, self.metrics
        )
        self.writer = writer.ResultWriter(settings)
        self.dispatcher = self._make_dispatcher()
        relocator = relocation.RecordRelocator(
            self.table, self.configuration_replica, settings, self.metrics
        )
        self.checkpoint_writer = checkpoint_writer.CheckpointWriter(
            settings, relocator.list_checkpointed_streams, self.metrics
        )
        self.bootstrap = peer.Bootstrap(
            self.configuration_replica, self.fleet, self.client, settings.name
        )
        self.calls = batch_call.CallRegistry(settings, self.owner)
        self.router = self._make_router()
        self._operators = {
            entry.id: tokens.StoredToken(entry.id, entry.salt, entry.hash, entry.name)
            for entry in settings.operators
        }
        self._server = http_web.Server(
            self._make_application(),
            settings.address,
            settings.port,
            settings.max_body_bytes,
            tls.make_entry_context(settings.tls),
        )

    @property
    def address(self):
        """``IP:port`` on which the entry listens."""
        return self._server.address

    def _make_platform(self):
        platform = self.settings.platform
        make_log = adapter.find_adapter("log", platform.log_adapter)
        make_hosts = adapter.find_adapter("hosts", platform.hosts_adapter)
        log = make_log(platform.log, self._platform_client)
        log = metered.MeteredLog(log, self.metrics)
        return log, make_hosts(platform.hosts, self._platform_client)

    def _is_fresh(self):
        return self.dispatcher.is_caught_up()

    def _make_dispatcher(self):
        return dispatch.Dispatcher(
            self.table,
            self.fleet,
            self._batch_client,
            self.client,
            self.writer,
            self.get_weight,
            self.settings,
            self.owner,
            self.metrics,
        )

    def _make_router(self):
        near = balance.TwoChoiceBalancer(
            self.settings.failure_domain, self.fleet.is_usable
        )
        return router.Router(
            self.fleet,
            affinity.AffinityBalancer(near),
            self._online_client,
            self.settings,
            self.owner,
            self.metrics,
            metered.MeteredCrashGuard(self.metrics),
        )

    def _make_application(self):
        shared = {"entry": self}
        job_path = "/v1/batches/(batch_[0-9a-f]+)"
        return web.Application(
            [
                ("/v1/chat/completions", online.ChatHandler, shared),
                ("/v1/completions", online.TextHandler, shared),
                ("/v1/models", online.ModelsHandler, shared),
                ("/v1/services/([^/]+)/(.*)", service.ServiceHandler, shared),
                ("/v1/batches", listing.CallerJobsHandler, shared),
                (job_path, job.JobHandler, shared),
                (f"{job_path}/results", job.ResultsHandler, shared),
                (f"{job_path}/cancel", job.CancelHandler, shared),
                ("/v1/audit", audit.CallerAuditHandler, shared),
                ("/v1/admin/audit", audit.AuditHandler, shared),
                ("/v1/admin/drain", order.DrainHandler, shared),
                ("/v1/admin/batches", listing.OperatorJobsHandler, shared),
                (
                    "/v1/admin/batches/(batch_[0-9a-f]+)/cancel",
                    order.CancelHandler,
                    shared,
                ),
                ("/v1/admin/status", configuration.StatusHandler, shared),
                (
                    "/v1/admin/(template|workspace|fleet)/([^/]+)",
                    configuration.DocumentHandler,
                    shared,
                ),
                ("/peer/version", configuration.VersionHandler, shared),
                ("/peer/configuration", peer.SnapshotHandler, shared),
                ("/peer/stop-job", job.StopHandler, shared),
                ("/health", HealthHandler, shared),
                ("/ready", ReadyHandler, shared),
                ("/metrics", process_metrics.MetricsHandler, {"daemon": self}),
            ],
            default_handler_class=http_web.UnknownPathHandler,
            log_function=self.metrics.observe_answer,
        )

    async def start(self):
        """Start all components, then listen."""
        for part in self._list_clients():
            await part.start()
        await self.configuration_replica.start()
        await self.watch.start()
        await self.fleet.start()
        await self.table.start()
        await self.ownership.start()
        await self.writer.start()
        await self.dispatcher.start()
        await self.placement_controller.start()
        await self.calls.start()
        await self.checkpoint_writer.start()
        await self.bootstrap.start()
        await self._server.start()
        self.state = READY
        logger.info("entry: {} listens on {}.", self.settings.name, self.address)

    def _list_clients(self):
        return (
            self._platform_client,
            self.client,
            self._online_client,
            self._batch_client,
            self.forward_client,
        )

    async def drain(self):
        """Fail the readiness check, finish running requests and release the shards."""
        logger.info(
            "entry: Draining with {} running requests.",
            self._server.count_active_requests(),
        )
        self.state = DRAINING
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.drain_s
        self._drain_ends_at = deadline
        # The balancer sends requests until it notices the failed readiness check.
        await asyncio.sleep(self.settings.lame_duck_s)
        # New connections are no longer accepted, and new requests on open connections
        # are rejected as not run. Otherwise callers that keep sending would delay the
        # shutdown until the drain timeout and then be disconnected.
        self.state = STOPPING
        self._server.stop_listening()
        await self.dispatcher.drain(max(0.0, deadline - loop.time()))
        await self.ownership.release_all()
        await self.placement_controller.release()
        cut = await self._server.drain(max(0.0, deadline - loop.time()))
        await self.calls.drain(max(0.0, deadline - loop.time()))
        if cut:
            logger.warning("entry: {} requests were aborted at the drain timeout.", cut)

    async def close(self):
        """Stop listening and close all components."""
        await self._server.close()
        for part in (
            self.bootstrap,
            self.checkpoint_writer,
            self.placement_controller,
            self.dispatcher,
            self.ownership,
            self.writer,
            self.calls,
            self.table,
            self.fleet,
            self.watch,
            self.configuration_replica,
            *self._list_clients(),
        ):
            await part.close()
        logger.info("entry: {} is closed.", self.settings.name)

    def limit_deadline(self, deadline_s):
        """Return the deadline of a new request, which ends before a drain does.

        Args:
            deadline_s: Deadline by the configuration, in seconds.
        """
        left_s = self._drain_ends_at - asyncio.get_running_loop().time()
        return min(deadline_s, max(0.0, left_s - LAST_ANSWER_MARGIN_S))

    @property
    def is_stopping(self):
        """Whether new requests are rejected."""
        return self.state == STOPPING

    @property
    def is_ready(self):
        """Whether the balancer should send callers to this entry."""
        return self.state == READY and self.configuration_replica.ready

    def get_weight(self, workspace):
        """Return the fair-share weight of a workspace by its name."""
        found_workspace = self.configuration.workspaces.get(workspace)
        return 1.0 if found_workspace is None else found_workspace.weight

    def find_operator(self, token):
        """Return the operator that a token authenticates, or None.

        Operators are defined in the configuration, and in the settings for access
        before the first configuration is published.
        """
        operator = tokens.check_token(token, self._operators)
        return operator or self.configuration.find_operator_by_token(token)

    async def stop_job(self, job_id):
        """Stop a cancelled job; see `pimentowick.batch.dispatch.Dispatcher`."""
        await self.dispatcher.stop_job(job_id)

    async def publish(self, record):
        """Append a configuration change and return its audit entry.

        Raises:
            LogError: The append failed, or its outcome is unknown.
        """
        stream_replica = self.configuration_replica
        if stream_replica.offset == 0:
            # Offset 0 cannot be a version; see docs/CONFIGURATION.md.
            await stream_replica.append(
                [{"type": configuration_state_machine.OPENING_TYPE}],
                self.settings.append_s,
            )
        await stream_replica.append([record], self.settings.append_s)
        return self.configuration.find_audit_entry(record["id"])

    async def count_in_force(self, version, wait):
        """Return the number of entries that have applied a configuration version."""
        return await configuration.count_in_force(self, version, wait)

    def describe(self):
        """Return the status of the fleet as seen by this entry."""
        return {
            "entry": self.settings.name,
            "state": self.state,
            "configuration_version": self.configuration.version,
            "entries": {
                name: {"address": host.address, "leaving": host.leaving}
                for name, host in self.fleet.entries.items()
            },
            "agents": {
                name: {
                    **peer.report,
                    "address": peer.address,
                    "failure_domain": peer.host.failure_domain,
                    "leaving": peer.host.leaving,
                    "usable": self.fleet.is_usable(peer),
                }
                for name, peer in self.fleet.peers.items()
            },
            "shards": {
                str(number): {
                    "owner": each.ledger.owner,
                    "epoch": each.ledger.epoch,
                    "open_jobs": len(each.ledger.list_open_jobs()),
                    "ready": each.replica.ready,
                }
                for number, each in sorted(self.table.followed.items())
            },
        }


class HealthHandler(http_web.JsonHandler):
    """Liveness check; succeeds while the event loop runs."""

    def initialize(self, entry):
        """Set the entry."""
        self.entry = entry

    def get(self):
        """Respond with the state of the entry."""
        self.write_json({"state": self.entry.state})


class ReadyHandler(HealthHandler):
    """Readiness check for the balancer."""

    def get(self):
        """Respond 200 if the entry is ready for callers, 503 otherwise."""
        status = 200 if self.entry.is_ready else 503
        self.write_json({"state": self.entry.state}, status)
