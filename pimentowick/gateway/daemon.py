"""The entry process: its components, their tasks, startup and shutdown."""

import asyncio
import signal
import sys
import time

import orjson
from tornado import httputil

from pimentowick import exception, supervisor
from pimentowick.gateway import (
    admission,
    authentication,
    crash_guard,
    decision_log,
    dispatch,
    exchange,
    feed,
    follower,
    handover,
    health,
    held_bytes,
    job_api,
    job_storage,
    load_report,
    metric,
    ownership,
    peer_configuration,
    pools,
    relay,
    resource_use,
    retention,
    runner,
    stream_origins,
    target,
    traffic,
)
from pimentowick.gateway.policy import (
    graceful_stop,
    outlier_detection,
    quota,
    report_relay,
)
from pimentowick.platform import message, node, operator, store

__all__ = ["Gateway", "run"]

METRICS_PORT = 9464
EXIT_INVALID_SETTINGS = 2
JOBS_TOPIC = store.make_topic_name("jobs")
OUTCOMES_TOPIC = store.make_topic_name("outcomes")
ENTRIES_TOPIC = store.make_topic_name("entries")
# Pauses between two reads of a busy topic. Shorter ones apply changes sooner but cause
# more billed reads.
CONFIGURATION_PAUSE_S = 0.05
JOBS_PAUSE_S = 0.4
ENTRIES_PAUSE_S = 1.0
# Pause as a share of the time within which a draining target must get no new work. Data
# may be two pauses old, and detecting a dead connection takes most of the rest.
TARGETS_PAUSE_SHARE = 0.17
# At startup the jobs are read after the configuration and the targets, or after this
# time at the latest.
MAX_JOBS_DELAY_S = 1.0
# How long the store may hold a long poll. A dead connection is detected after this.
LONG_POLL_S = 1.2
# For topics whose changes must take effect within three seconds, including the time to
# detect a dead connection and event loop delays on a busy host.
SHORT_POLL_S = 0.9
# Of the targets: a target that has left meanwhile gets requests until the next read.
TARGETS_MAX_BACKOFF_S = 0.4
STORE_TIMEOUT_S = 1.0
# The load balancer removes an entry after two failed checks, a second apart.
BALANCER_REMOVAL_S = 2.5
# Reserved at the end of the grace period for closing connections and tasks.
SHUTDOWN_MARGIN_S = 0.4
# Checks for the last answers to callers, twice. They are counted instead of timed, so
# that a busy event loop sends the answers before the connections are closed.
LAST_CHECKS = 5
DRAIN_CHECK_INTERVAL_S = 0.02
STARTUP_CHECK_INTERVAL_S = 0.02
CLEANUP_INTERVAL_S = 5.0
# Shorter than the interval at which entries exchange their outcome counts.
OUTLIER_CHECK_INTERVAL_S = 0.1
# Entries tell each other the pace of new responses every half second.
SPEED_CHECK_INTERVAL_S = 0.3
# Refusals that are logged with their inputs where they are decided.
LOGGED_CODES = frozenset(
    {
        "busy",
        "configuration_old",
        "deadline_passed",
        "no_memory",
        "quarantined",
        "rate_limit",
        "stream_lost",
        "stream_unknown",
        "stream_version_gone",
        "stopping",
        "target_lost",
        "wrong_token",
    }
)


class Gateway:
    """One entry process.

    Args:
        settings: `pimentowick.platform.node.NodeSettings`.
        metrics_port: TCP port of the metrics page.
    """

    def __init__(self, settings, metrics_port=METRICS_PORT):
        self.settings = settings
        self._supervisor = supervisor.Supervisor("gateway")
        self._draining = False
        self.store = store.Store(settings.store_address, STORE_TIMEOUT_S)
        self.metrics = metric.Metrics()
        self._traffic = traffic.Traffic()
        self.configuration = follower.ConfigurationFollower()
        self.table = target.TargetTable(
            lambda removed: self.pools.remove_pool(removed),
            lambda target_id: self.load_reporter.update_target_load(target_id),
        )
        self.admission = admission.Admission(
            self.table,
            settings.failure_domain,
            self._on_load_change,
            lambda: self.load_reporter.propagation_delay_s,
        )
        address = f"{settings.ip}:{settings.peer_ports[0]}"
        self.outliers = outlier_detection.OutlierDetection(settings.failure_domain)
        self.quotas = quota.SharedQuota(time.monotonic())
        self.load_reporter = load_report.LoadReporter(
            address,
            report_relay.ReportRelay(
                address, settings.failure_domain, settings.link_mbps
            ),
            self.table,
            self.admission,
            self.outliers,
            self.quotas,
            self._on_capacity_change,
        )
        self.load_reporter.get_limit = self._get_limit
        self.crash_guard = crash_guard.SharedCrashGuard(
            self.store, address, self.load_reporter.list_live_peers, self.metrics
        )
        self.load_reporter.build_crash_report = self.crash_guard.build_report
        self.load_reporter.merge_crash_report = self.crash_guard.merge_report
        self.stream_origins = stream_origins.StreamOrigins(
            self.load_reporter, self.metrics
        )
        self.load_reporter.handle_origins = self.stream_origins.handle
        target_health = health.Health(self.outliers)
        self.storage = job_storage.JobStorage(
            self.store, JOBS_TOPIC, OUTCOMES_TOPIC, JOBS_PAUSE_S, LONG_POLL_S, settings
        )
        self.pools = pools.Pools(
            self.configuration,
            self.load_reporter.peers,
            self.load_reporter.performance.record_load,
            self._traffic,
            self.table.has_shared_hosts,
        )
        self._targets = follower.TargetFollower(
            self.table,
            self._on_capacity_change,
            self.crash_guard.record_target_survival,
        )
        self.runner = runner.Runner(
            address,
            settings.failure_domain,
            self.storage,
            self.table,
            self.pools.get,
            target_health,
            lambda: self.configuration.current,
            settings.parts,
            self.metrics,
            self.load_reporter.schedule_report,
            self.crash_guard,
        )
        self.runner.load_reporter = self.load_reporter
        self.ownership = ownership.Ownership(
            self.store,
            # The owner's name is the same after a restart, so that the entry gets its
            # partitions back without waiting for the previous lease to expire: the
            # store keeps them for the name of a killed process until then.
            address,
            settings.min_lease_s,
            self._on_partitions_change,
            self.load_reporter.get_latest_peer_renewal,
        )
        self.load_reporter.get_renewal_age = self.ownership.get_lease_age
        self._handover = handover.Handover(
            self.ownership, self.runner, self.storage, self.load_reporter
        )
        self.load_reporter.get_held_partitions = self._handover.list_held_partitions
        self._graceful_stop = graceful_stop.GracefulStop()
        self._relay = relay.Relay(
            self.admission,
            self.pools.get,
            target_health,
            self.metrics,
            self.crash_guard,
            self.load_reporter.performance,
            self.load_reporter.slow_targets,
            self.stream_origins,
            self._graceful_stop,
        )
        jobs = job_api.JobApi(
            self.storage, lambda: self.ownership.is_cut_off, self._graceful_stop
        )
        self._caller_server = exchange.Server(
            settings.callers_address,
            lambda request: self._dispatcher.serve(request),
            self.configuration.get_limits,
            self._on_refused,
            lambda request: held_bytes.find_rank(self.configuration.current, request),
        )
        self._caller_server.traffic = self._traffic
        self.resources = resource_use.ResourceMonitor(
            settings,
            self._caller_server.held.budget,
            lambda: len(self._caller_server.connections) + self.pools.count_open(),
            self._traffic,
            self._on_processor_use,
        )
        self._readiness_server = exchange.Server(
            settings.ready_address, self._answer_readiness
        )
        self._metrics_server = exchange.Server(
            f"{settings.ip}:{metrics_port}", self._answer_metrics
        )
        self._feeds = self._make_feeds()
        self._retention = retention.Retention(settings, self.ownership, self.storage)
        self.authentication = authentication.Authentication(
            self.configuration,
            self._feeds["configuration"],
            settings.key_revocation_s,
            lambda: self.ownership.is_cut_off,
        )
        self._peer_configuration = peer_configuration.PeerConfiguration(
            self.configuration,
            self._feeds["configuration"],
            self.load_reporter.list_live_peers,
            lambda: self.authentication.enforces_max_age,
        )
        self._peer_server = exchange.Server(
            address, self._peer_configuration.handle_request
        )
        self._dispatcher = dispatch.Dispatcher(
            self.configuration,
            self._feeds["configuration"],
            self.authentication,
            self.quotas,
            self._relay,
            jobs,
        )

    def _make_feeds(self):
        configuration = feed.Feed(
            self.store,
            operator.CONFIGURATION_TOPIC,
            0,
            self.configuration,
            CONFIGURATION_PAUSE_S,
            SHORT_POLL_S,
        )
        targets = feed.Feed(
            self.store,
            operator.TARGETS_TOPIC,
            0,
            self._targets,
            TARGETS_PAUSE_SHARE * self.settings.drain_s,
            SHORT_POLL_S,
            max_backoff_s=TARGETS_MAX_BACKOFF_S,
        )
        self._targets.feed = targets
        self.load_reporter.on_peer_renewal = self._targets.record_peer_contact
        entries = feed.Feed(
            self.store,
            ENTRIES_TOPIC,
            0,
            follower.EntryFollower(self.load_reporter, self.crash_guard),
            ENTRIES_PAUSE_S,
            LONG_POLL_S,
        )
        self.crash_guard.feed = entries
        return {
            "configuration": configuration,
            "targets": targets,
            "entries": entries,
        }

    async def start(self):
        """Start the servers and the background tasks."""
        await self._supervisor.start()
        await self.store.start()
        await self.load_reporter.start()
        await self._peer_configuration.start()
        for server in self._list_servers():
            await server.start()
        for name, topic_feed in self._feeds.items():
            self._supervisor.start_child(f"feed {name}", topic_feed.run)
        for name, log in (
            ("jobs", self.storage.accepted),
            ("outcomes", self.storage.outcomes),
        ):
            self._supervisor.start_child(
                f"feed {name}", self._follow_after_startup, log.feed
            )
            self._supervisor.start_child(f"append {name}", log.run)
        self._supervisor.start_child("missing targets", self._targets.run)
        self._supervisor.start_child("neighbours", self.load_reporter.run)
        self._supervisor.start_child("news relay", self.load_reporter.run_relay)
        self._supervisor.start_child("announce", self._register)
        self._supervisor.start_child("peer configuration", self._peer_configuration.run)
        self._supervisor.start_child("ownership", self.ownership.run)
        self._supervisor.start_child("runner", self.runner.run)
        self._supervisor.start_child("quarantine", self.crash_guard.run)
        self._supervisor.start_child("stream origins", self.stream_origins.run)
        self._supervisor.start_child("clean", self._clean_up)
        self._supervisor.start_child("outliers", self._eject_outliers)
        self._supervisor.start_child(
            "slow callers", self._caller_server.close_slow_connections
        )
        self._supervisor.start_child("idle connections", self.pools.close_expired)
        self._watch_resources()
        decision_log.log_event(
            "gateway.started", host=self.settings.name, store=self.store.address
        )

    def _watch_resources(self):
        """Observe the host's resources if the settings limit any."""
        has_pressure = self.settings.expects_pressure
        self._caller_server.connections.set_limit(
            self.resources.max_sockets if has_pressure else None
        )
        if not self.resources.is_limited:
            return
        self._supervisor.start_child("resources", self.resources.run)
        self._supervisor.start_child(
            "slow readers",
            self._caller_server.held.end_stalled_readers,
            lambda: self.configuration.get_limits().idle_timeout_s,
        )

    def _list_servers(self):
        return (
            self._caller_server,
            self._readiness_server,
            self._metrics_server,
            self._peer_server,
        )

    async def _follow_after_startup(self, deferred_feed):
        """Follow a feed once the configuration and the targets are read.

        After a power loss all hosts start together. Reading the jobs at the same time
        would delay the much smaller topics needed to serve online requests.
        """
        ends_at = time.monotonic() + MAX_JOBS_DELAY_S
        required = (self._feeds["configuration"], self._feeds["targets"])
        while time.monotonic() < ends_at and None in [
            topic_feed.end for topic_feed in required
        ]:
            await asyncio.sleep(STARTUP_CHECK_INTERVAL_S)
        await deferred_feed.run()

    async def drain(self, began_at=None):
        """Leave the load balancer's rotation and finish the requests in flight.

        Args:
            began_at: Monotonic time at which the grace period began; now if None.
        """
        if began_at is None:
            began_at = time.monotonic()
        self._draining = True
        decision_log.log_event(
            "gateway.draining",
            busy=self._caller_server.active_requests,
            late_s=time.monotonic() - began_at,
        )
        listens_until = began_at + BALANCER_REMOVAL_S
        ends_at = began_at + self.settings.stop_grace_s - SHUTDOWN_MARGIN_S
        accepts_until = listens_until + exchange.IDLE_GRACE_S
        self._graceful_stop.begin(began_at, ends_at, accepts_until)
        self._caller_server.close_after_response()
        self._relay.stop()
        batch = asyncio.create_task(self._stop_batch_work(ends_at))
        # The load balancer may keep sending requests if too few other entries are
        # ready. The listener closes early enough for these to finish.
        await asyncio.sleep(max(0.0, listens_until - time.monotonic()))
        await self._caller_server.stop_listening()
        # A request whose body is still on its way counts, too.
        while (
            self._caller_server.has_unfinished_requests and time.monotonic() < ends_at
        ):
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        # The relay has given up its requests at the same time.
        await self._wait_for_last_answers()
        self._caller_server.give_up_requests()
        await self._wait_for_last_answers()
        await batch
        decision_log.log_event(
            "gateway.drained", busy=self._caller_server.active_requests
        )

    async def _wait_for_last_answers(self):
        for _ in range(LAST_CHECKS):
            if not self._caller_server.has_unfinished_requests:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def _stop_batch_work(self, ends_at):
        """Save the progress of batch items and release the partitions.

        Writes are retried until `ends_at` while the store is unavailable, since items
        without saved progress start over at another entry.

        Args:
            ends_at: Monotonic time at which to give up.
        """
        for name in ("ownership", "runner", "take over"):
            self._supervisor.stop_child(name)
        try:
            async with asyncio.timeout(ends_at - time.monotonic()):
                await self.runner.close()
                await self.ownership.leave()
                await self._unregister()
        except TimeoutError:
            decision_log.log_event("gateway.batch_unsaved")

    async def close(self):
        """Close all servers, tasks and connections."""
        for server in self._list_servers():
            await server.close()
        await self._supervisor.close()
        await self.load_reporter.close()
        await self._peer_configuration.close()
        self.pools.close()
        await self.store.close()
        decision_log.log_event("gateway.stopped")

    def reload(self):
        """Read the settings file again without interrupting requests.

        An unreadable file is logged and the current settings stay in force.
        """
        try:
            settings = node.read_settings(node.find_settings_path())
        except exception.SettingsError as error:
            decision_log.log_event("settings.unreadable", why=str(error))
            return
        changed = settings != self.settings
        self.settings = settings
        self.store.address = settings.store_address
        if changed:
            self.resources.settings = settings
            self._watch_resources()
        decision_log.log_event("settings.read", changed=changed)

    @property
    def is_ready(self):
        """Whether online requests can be served.

        This requires neither the jobs nor the complete list of targets, which can take
        seconds to read over a slow link.
        """
        are_targets_known = self.table.by_id or self._feeds["targets"].end is not None
        return (
            not self._draining
            and self.configuration.current is not None
            and bool(are_targets_known)
            and not self.authentication.should_leave_rotation
        )

    def _get_limit(self, name):
        """Return the `quota.Limit` of a workspace, or None if it has none."""
        current = self.configuration.current
        limited = None if current is None else current.find_rate_limited(name)
        return (
            None if limited is None else quota.Limit(limited.rate_per_s, limited.burst)
        )

    def _on_processor_use(self, processor_share):
        # Without other entries, a retry would come back to this one.
        has_peers = bool(self.load_reporter.list_live_peers())
        request_share = self.admission.compute_request_share() if has_peers else 0.0
        self._caller_server.connections.observe_load(processor_share, request_share)

    def _on_load_change(self):
        self.load_reporter.schedule_report()
        self.runner.wake()

    def _on_capacity_change(self):
        for service in self.admission.list_services():
            self.admission.end_unservable_waits(service)
            self.admission.grant_share(service)
        self.runner.wake()

    def _on_partitions_change(self):
        self._supervisor.start_child("take over", self._handover.take_over)

    async def _eject_outliers(self):
        """Eject and readmit targets by their failure counts, until cancelled."""
        speeds_due_at = time.monotonic()
        while True:
            await asyncio.sleep(OUTLIER_CHECK_INTERVAL_S)
            changed = False
            now = time.monotonic()
            if now >= speeds_due_at:
                speeds_due_at = now + SPEED_CHECK_INTERVAL_S
                self.load_reporter.performance.update_speeds(now)
                changed = self.load_reporter.slow_targets.update(now)
            self.admission.observe_services()
            for targets in self.table.list_by_service():
                ids = [listed.id for listed in targets]
                outliers = self.outliers.find_outliers(ids)
                for listed in targets:
                    if listed.ejected == (listed.id in outliers):
                        continue
                    listed.ejected = not listed.ejected
                    event = "target.ejected" if listed.ejected else "target.readmitted"
                    failures = outliers.get(listed.id, 0.0)
                    decision_log.log_event(event, target=listed.id, bad=failures)
                    changed = True
            if changed:
                self._on_capacity_change()

    async def _register(self):
        """Register this entry in the store, retrying until it succeeds."""
        data = {
            "failure_domain": self.settings.failure_domain,
            "link_mbps": self.settings.link_mbps,
        }
        records = [store.KeyedRecord(self.load_reporter.address, orjson.dumps(data))]
        while True:
            try:
                await self.store.append(ENTRIES_TOPIC, 0, records, None)
                return
            except exception.LogError as error:
                decision_log.log_event("gateway.unannounced", why=str(error))
                await asyncio.sleep(1.0)

    async def _unregister(self):
        records = [store.KeyedRecord(self.load_reporter.address, b"")]
        try:
            await self.store.append(ENTRIES_TOPIC, 0, records, None)
        except exception.LogError as error:
            decision_log.log_event("gateway.not_withdrawn", why=str(error))

    async def _clean_up(self):
        """Remove missing targets and expired jobs, and log waits, until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self._targets.remove_missing_targets()
            self.runner.log_long_waits()
            await self._retention.remove_expired_jobs()

    async def _answer_readiness(self, request):
        status = 200 if self.is_ready else 503
        await request.answer(status, httputil.HTTPHeaders())

    def _on_refused(self, request):
        refusal = request.sent_refusal
        self.metrics.count_refusal(refusal, request.workspace)
        if refusal.code not in LOGGED_CODES:
            call = message.decode_request_headers(request.headers)
            decision_log.log_request_event(
                "caller.refused",
                call.request_id,
                outcome=refusal.code,
                status=refusal.status,
            )

    def _collect_state(self):
        """Return the current `metric.State`."""
        now = time.monotonic()
        feeds = {
            **self._feeds,
            "jobs": self.storage.accepted.feed,
            "outcomes": self.storage.outcomes.feed,
        }
        services = {listed.registration.service for listed in self.table.by_id.values()}
        queues = [self.admission.get_queue_state(service) for service in services]
        suspects, quarantined, parts = self.crash_guard.policy.count_suspects()
        return metric.State(
            ages_s={
                **{
                    name: now - topic_feed.fresh_at
                    for name, topic_feed in feeds.items()
                },
                "keys": self.authentication.age_s,
            },
            slots=sum(queue.slots for queue in queues),
            free_slots=sum(queue.free_slots for queue in queues),
            waiting=sum(map(self.admission.count_queued, services)),
            targets=len(self.table.by_id),
            ejected=sum(listed.ejected for listed in self.table.by_id.values()),
            slow=sum(listed.is_slow for listed in self.table.by_id.values()),
            open_jobs=len(self.storage.job_table.open_jobs),
            open_requests=self._caller_server.active_requests,
            store_calls=self.store.calls,
            store_bytes=self.store.bytes,
            dropped_lines=decision_log.count_dropped(),
            quota_share=self.quotas.share,
            quota_workspaces=self.quotas.count_buckets(),
            suspects=suspects,
            quarantined=quarantined,
            quarantined_parts=parts,
            host=self._collect_host_state(),
            workspaces=self.admission.sharing.collect_workspaces(),
        )

    def _collect_host_state(self):
        """Return the current `metric.HostState`."""
        connections, held = self._caller_server.connections, self._caller_server.held
        return metric.HostState(
            uses=self.resources.uses,
            levels=self.resources.levels,
            loop_delay_s=self.resources.loop_delay_s,
            held_bytes=held.budget.by_kind,
            capacity_bytes=held.budget.capacity,
            caller_connections=len(connections),
            target_connections=self.pools.count_open(),
            opened=self.pools.count_opened(),
            events={
                "response_paused": held.paused_responses,
                "reader_ended": held.ended_readers,
                "connection_rejected": connections.rejected,
                "connection_closed": connections.closed_idle,
                "connection_shed": connections.shed,
            },
        )

    async def _answer_metrics(self, request):
        self.metrics.set_state(self._collect_state())
        body, headers = self.metrics.render()
        await request.answer(200, httputil.HTTPHeaders(headers), body)


def run():
    """Run an entry until SIGTERM or SIGINT arrives, then drain it."""
    decision_log.configure()
    try:
        settings = node.read_settings(node.find_settings_path())
    except exception.SettingsError as error:
        decision_log.log_event("settings.unreadable", why=str(error))
        sys.exit(EXIT_INVALID_SETTINGS)
    asyncio.run(_run(Gateway(settings)))


class _StopSignal:
    """The first signal to stop, and when it came.

    A busy event loop calls its own signal handlers late, while the grace period runs.
    So the time is recorded by a handler of the interpreter.
    """

    def __init__(self):
        self._received = asyncio.Event()
        self._received_at = None

    def watch(self, loop, number):
        """Watch for a signal."""
        loop.add_signal_handler(number, self._received.set)
        signal.signal(number, self._record)
        signal.siginterrupt(number, False)

    def _record(self, _number, _frame):
        if self._received_at is None:
            self._received_at = time.monotonic()

    async def wait(self):
        """Wait for the signal; return the monotonic time at which it came."""
        await self._received.wait()
        return self._received_at


async def _run(gateway):
    stop_signal = _StopSignal()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        stop_signal.watch(loop, number)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    await gateway.drain(await stop_signal.wait())
    await gateway.close()
