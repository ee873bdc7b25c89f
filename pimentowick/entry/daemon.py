"""The entry: takes what callers and operators ask, and owns shards of batch jobs."""

import asyncio
import secrets

from loguru import logger
from tornado import web

from pimentowick import client as http_client
from pimentowick import daemon as process_daemon
from pimentowick import metrics as process_metrics
from pimentowick import tls
from pimentowick import web as http_web
from pimentowick.batch import call as batch_call
from pimentowick.batch import carry, dispatch, ownership, shard, writer
from pimentowick.configuration import fold as configuration_fold
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
from pimentowick.placement import decider
from pimentowick.replication import keeper, replica
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
CONTROL_CONNECTIONS = 64
# One long read for each shard that may be followed, and the appends.
PLATFORM_CONNECTIONS = 256


class Entry:
    """The daemon on an entry host.

    Args:
        settings: `pimentowick.settings.EntrySettings`.

    Attributes:
        owner: Name of this process as an owner: the host's, and what tells this
            process from earlier ones there.
        state: ``starting``, ``ready``, ``draining`` while readiness fails but
            requests are still taken, then ``stopping``.
        shutdown_requests: `pimentowick.daemon.ShutdownRequests` that end the process.
        configuration: The `pimentowick.configuration.fold.ConfigurationFold`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.owner = f"{settings.name}#{secrets.token_hex(4)}"
        self.state = STARTING
        self.shutdown_requests = process_daemon.ShutdownRequests()
        self.metrics = process_metrics.EntryMetrics()
        self.limits = limits.ConcurrencyLimits(settings.max_online)
        # One pool for each class of traffic: none waits for another one's sockets.
        peers = tls.make_client_tls(settings.tls)
        self.client = http_client.Client(CONTROL_CONNECTIONS, peers)
        self._online_client = http_client.Client(settings.max_online, peers)
        self._batch_client = http_client.Client(settings.max_batch, peers)
        self._platform_client = http_client.Client(
            PLATFORM_CONNECTIONS, tls.make_client_tls(settings.platform.tls)
        )
        # What is passed on to other entries may take long; heartbeats and appends
        # must not wait for it.
        self.forward_client = http_client.Client(settings.max_online, peers)
        log, hosts = self._make_platform()
        self.configuration = configuration_fold.ConfigurationFold()
        self.configuration_replica = replica.Replica(
            log, configuration_fold.STREAM, self.configuration
        )
        self.watch = watch.ConfigurationWatch(self.configuration_replica)
        self.fleet = membership_fleet.Fleet(
            hosts, self.client, settings, self.owner, self._is_fresh
        )
        self.decider = decider.Decider(
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
        carrier = carry.Carrier(
            self.table, self.configuration_replica, settings, self.metrics
        )
        self.keeper = keeper.Keeper(settings, carrier.list_kept, self.metrics)
        self.bootstrap = peer.Bootstrap(
            self.configuration_replica, self.fleet, self.client, settings.name
        )
        self.calls = batch_call.CallBook(settings, self.owner)
        self.router = self._make_router()
        self._operators = {
            entry.id: tokens.Entry(entry.id, entry.salt, entry.hash, entry.name)
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
        """``IP:port`` that the entry listens on."""
        return self._server.address

    def _make_platform(self):
        platform = self.settings.platform
        make_log = adapter.find_adapter("log", platform.log_adapter)
        make_hosts = adapter.find_adapter("hosts", platform.hosts_adapter)
        log = make_log(platform.log, self._platform_client)
        log = metered.MeteredLog(log, self.metrics)
        return log, make_hosts(platform.hosts, self._platform_client)

    def _is_fresh(self):
        return self.dispatcher.is_fresh()

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
                ("/peer/configuration", peer.DumpHandler, shared),
                ("/peer/stop-job", job.StopHandler, shared),
                ("/health", HealthHandler, shared),
                ("/ready", ReadyHandler, shared),
                ("/metrics", process_metrics.MetricsHandler, {"daemon": self}),
            ],
            default_handler_class=http_web.UnknownPathHandler,
            log_function=self.metrics.observe_answer,
        )

    async def start(self):
        """Listen, and begin to follow the platform."""
        for part in self._list_clients():
            await part.start()
        await self.configuration_replica.start()
        await self.watch.start()
        await self.fleet.start()
        await self.table.start()
        await self.ownership.start()
        await self.writer.start()
        await self.dispatcher.start()
        await self.decider.start()
        await self.calls.start()
        await self.keeper.start()
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
        """Fail readiness, finish what runs, and hand the shards over."""
        logger.info(
            "entry: Draining. {} requests run.", self._server.count_active_requests()
        )
        self.state = DRAINING
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.drain_s
        # The balancer goes on sending until it has seen that readiness fails.
        await asyncio.sleep(self.settings.lame_duck_s)
        # From here on no new connection is taken, and requests on those that are
        # open are refused as not run: callers that go on sending would otherwise
        # hold the process up to the bound, and then be cut.
        self.state = STOPPING
        self._server.stop_listening()
        await self.dispatcher.drain(max(0.0, deadline - loop.time()))
        await self.ownership.release_all()
        await self.decider.release()
        cut = await self._server.drain(max(0.0, deadline - loop.time()))
        await self.calls.drain(max(0.0, deadline - loop.time()))
        if cut:
            logger.warning("entry: {} requests are cut.", cut)

    async def close(self):
        """Stop listening and drop all connections."""
        await self._server.close()
        for part in (
            self.bootstrap,
            self.keeper,
            self.decider,
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

    @property
    def is_stopping(self):
        """Whether requests that come now are refused."""
        return self.state == STOPPING

    @property
    def is_ready(self):
        """Whether callers should be sent here."""
        return self.state == READY and self.configuration_replica.ready

    def get_weight(self, workspace):
        """Return the share of a workspace, by its name."""
        found = self.configuration.workspaces.get(workspace)
        return 1.0 if found is None else found.weight

    def find_operator(self, token):
        """Return the operator that a token names, or None.

        Operators stand in the settings, so that there is one before there is any
        configuration, and in the configuration.
        """
        found = tokens.check_token(token, self._operators)
        return found or self.configuration.find_operator_by_token(token)

    async def stop_job(self, job_id):
        """Stop a cancelled job; see `pimentowick.batch.dispatch.Dispatcher`."""
        await self.dispatcher.stop_job(job_id)

    async def publish(self, record):
        """Append a change of the configuration and return what became of it.

        Raises:
            LogError: The change was not appended, or that is not known.
        """
        follower = self.configuration_replica
        if follower.offset == 0:
            # The first record of the stream can't be a version; see
            # docs/CONFIGURATION.md.
            await follower.append(
                [{"type": configuration_fold.OPENING}], self.settings.append_s
            )
        await follower.append([record], self.settings.append_s)
        return self.configuration.find_record(record["id"])

    async def count_in_force(self, version, wait):
        """Return at how many entries a version is in force."""
        return await configuration.count_in_force(self, version, wait)

    def describe(self):
        """Return what operators see of the fleet through this entry."""
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
    """Liveness: the loop turns."""

    def initialize(self, entry):
        """Take the entry."""
        self.entry = entry

    def get(self):
        """Answer that the process lives."""
        self.write_json({"state": self.entry.state})


class ReadyHandler(HealthHandler):
    """Readiness: the balancer may send callers here."""

    def get(self):
        """Answer 200 while callers are welcome, 503 otherwise."""
        status = 200 if self.entry.is_ready else 503
        self.write_json({"state": self.entry.state}, status)
