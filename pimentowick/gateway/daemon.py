"""The entry as a process: its parts, their tasks, start and stop."""

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
    decision,
    dispatch,
    exchange,
    feed,
    follower,
    handover,
    health,
    job_api,
    job_storage,
    metric,
    neighbour,
    ownership,
    peer_configuration,
    pools,
    relay,
    retention,
    runner,
    target,
)
from pimentowick.gateway.policy import news_relay, outlier_detection, quota
from pimentowick.platform import message, node, operator, store

__all__ = ["Gateway", "run"]

METRICS_PORT = 9464
EXIT_SETTINGS = 2
JOBS_TOPIC = store.make_topic_name("jobs")
OUTCOMES_TOPIC = store.make_topic_name("outcomes")
ENTRIES_TOPIC = store.make_topic_name("entries")
# Pauses between two reads of a busy topic: below the times within which a change
# has to be in force, and as long as they allow, since each read is paid for.
CONFIGURATION_PAUSE_S = 0.05
JOBS_PAUSE_S = 0.4
ENTRIES_PAUSE_S = 1.0
# Of the time within which a leaving target gets no new work: what is read then may be
# two pauses old, and a connection that fell silent takes most of it.
TARGETS_PAUSE_SHARE = 0.17
# What is not needed to serve online requests is read after what is; not later than
# this, since jobs can be taken before.
READ_LATER_S = 1.0
# How long the store may hold a read. A silent connection is noticed after this.
HOLD_S = 1.2
# For what has to be in force within three seconds: a connection that fell silent, and a
# busy host's turns, take up to two of them.
SHORT_HOLD_S = 0.9
STORE_TIMEOUT_S = 1.0
# The balancer notices within two checks, a second apart, that an entry leaves.
UNREADY_S = 2.5
# What closing takes (1 ms between its log lines), and room for a slow
# host.
STOP_MARGIN_S = 0.4
DRAIN_CHECK_S = 0.02
READY_CHECK_S = 0.02
CLEAN_EVERY_S = 5.0
# Entries tell each other more seldom than this.
OUTLIERS_CHECK_S = 0.1
# Refusals whose decision has a line of its own, with what decided it.
LOGGED_CODES = frozenset(
    {
        "busy",
        "configuration_old",
        "deadline_passed",
        "rate_limit",
        "target_lost",
        "wrong_token",
    }
)


class Gateway:
    """One entry.

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
        self.configuration = follower.ConfigurationFollower()
        self.table = target.TargetTable(
            lambda found: self.pools.drop(found),
            lambda target_id: self.neighbours.tell_target(target_id),
        )
        self.admission = admission.Admission(
            self.table,
            settings.failure_domain,
            self._note_load,
            lambda: self.neighbours.round_s,
        )
        address = f"{settings.ip}:{settings.peer_ports[0]}"
        self.outliers = outlier_detection.OutlierDetection(settings.failure_domain)
        self.quotas = quota.SharedCount(time.monotonic())
        self.neighbours = neighbour.Neighbours(
            address,
            news_relay.NewsRelay(address, settings.failure_domain, settings.link_mbps),
            self.table,
            self.admission,
            self.outliers,
            self.quotas,
            self._note_places,
        )
        self.neighbours.get_limit = self._get_limit
        found_health = health.Health(self.outliers)
        self.storage = job_storage.JobStorage(
            self.store, JOBS_TOPIC, OUTCOMES_TOPIC, JOBS_PAUSE_S, HOLD_S, settings
        )
        self.pools = pools.Pools(self.configuration, self.neighbours.peers)
        self._targets = follower.TargetFollower(self.table, self._note_places)
        self.runner = runner.Runner(
            address,
            settings.failure_domain,
            self.storage,
            self.table,
            self.pools.get,
            found_health,
            lambda: self.configuration.current,
            settings.parts,
            self.metrics,
            self.neighbours.note_change,
        )
        self.runner.neighbours = self.neighbours
        self.ownership = ownership.Ownership(
            self.store,
            # The same after a restart: to the store the parts of a process that was
            # killed stay its own until the lease ends, and under a new name it would
            # have none of them for three seconds. Nothing else can use the address.
            address,
            settings.min_lease_s,
            self._note_parts,
            self.neighbours.get_newest_renewal,
        )
        self.neighbours.get_renewal_age = self.ownership.get_age
        self._handover = handover.Handover(
            self.ownership, self.runner, self.storage, self.neighbours
        )
        self.neighbours.get_held_parts = self._handover.list_held
        found_relay = relay.Relay(
            self.admission, self.pools.get, found_health, self.metrics
        )
        jobs = job_api.JobApi(self.storage, lambda: self.ownership.is_cut_off)
        self._callers = exchange.Server(
            settings.callers_address,
            lambda request: self._dispatch.serve(request),
            self.configuration.get_limits,
            self._note_refused,
        )
        self._checks = exchange.Server(settings.ready_address, self._answer_check)
        self._metrics_page = exchange.Server(
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
            self.neighbours.list_heard,
            lambda: self.authentication.is_bounded,
        )
        self._peers = exchange.Server(address, self._peer_configuration.answer)
        self._dispatch = dispatch.Dispatch(
            self.configuration,
            self._feeds["configuration"],
            self.authentication,
            self.quotas,
            found_relay,
            jobs,
        )

    def _make_feeds(self):
        configuration = feed.Feed(
            self.store,
            operator.CONFIGURATION_TOPIC,
            0,
            self.configuration,
            CONFIGURATION_PAUSE_S,
            SHORT_HOLD_S,
        )
        targets = feed.Feed(
            self.store,
            operator.TARGETS_TOPIC,
            0,
            self._targets,
            TARGETS_PAUSE_SHARE * self.settings.drain_s,
            SHORT_HOLD_S,
        )
        self._targets.feed = targets
        entries = feed.Feed(
            self.store,
            ENTRIES_TOPIC,
            0,
            follower.EntryFollower(self.neighbours),
            ENTRIES_PAUSE_S,
            HOLD_S,
        )
        return {
            "configuration": configuration,
            "targets": targets,
            "entries": entries,
        }

    async def start(self):
        """Listen, and begin to follow the store."""
        await self._supervisor.start()
        await self.store.start()
        await self.neighbours.start()
        await self._peer_configuration.start()
        for server in self._list_servers():
            await server.start()
        for name, entry in self._feeds.items():
            self._supervisor.start_child(f"feed {name}", entry.run)
        for name, entry in (
            ("jobs", self.storage.accepted),
            ("outcomes", self.storage.outcomes),
        ):
            self._supervisor.start_child(f"feed {name}", self._follow_later, entry.feed)
            self._supervisor.start_child(f"append {name}", entry.run)
        self._supervisor.start_child("neighbours", self.neighbours.run)
        self._supervisor.start_child("news relay", self.neighbours.relay)
        self._supervisor.start_child("announce", self._announce)
        self._supervisor.start_child("peer configuration", self._peer_configuration.run)
        self._supervisor.start_child("ownership", self.ownership.run)
        self._supervisor.start_child("runner", self.runner.run)
        self._supervisor.start_child("clean", self._clean)
        self._supervisor.start_child("outliers", self._eject_outliers)
        self._supervisor.start_child("slow callers", self._callers.close_slow)
        decision.note_belief(
            "gateway.started", host=self.settings.name, store=self.store.address
        )

    def _list_servers(self):
        return self._callers, self._checks, self._metrics_page, self._peers

    async def _follow_later(self, found):
        """Follow a feed once online requests can be served.

        All hosts return together from a loss of power. Read beside the jobs by all of
        them, the configuration and the targets would wait for megabytes that nobody
        needs to serve.
        """
        ends_at = time.monotonic() + READ_LATER_S
        first = (self._feeds["configuration"], self._feeds["targets"])
        while time.monotonic() < ends_at and None in [entry.end for entry in first]:
            await asyncio.sleep(READY_CHECK_S)
        await found.run()

    async def drain(self):
        """Leave the balancer's rotation and finish what is under way."""
        began_at = time.monotonic()
        self._draining = True
        decision.note_belief("gateway.draining", busy=self._callers.busy)
        self._callers.close_connections()
        ends_at = began_at + self.settings.stop_grace_s - STOP_MARGIN_S
        batch = asyncio.create_task(self._stop_batch(ends_at))
        # The balancer goes on sending callers here while too few other entries are
        # ready. Taken until the end, some would be cut by it.
        await asyncio.sleep(max(0.0, began_at + UNREADY_S - time.monotonic()))
        await self._callers.stop_listening()
        while self._callers.busy and time.monotonic() < ends_at:
            await asyncio.sleep(DRAIN_CHECK_S)
        await batch
        decision.note_belief("gateway.drained", busy=self._callers.busy)

    async def _stop_batch(self, ends_at):
        """Record how far the items are and give the parts back.

        While the store is away that is tried until the process has to end: it may be
        back before, and what is not recorded has to be made again.
        """
        for name in ("ownership", "runner", "take over"):
            self._supervisor.stop_child(name)
        try:
            async with asyncio.timeout(ends_at - time.monotonic()):
                await self.runner.close()
                await self.ownership.leave()
                await self._withdraw()
        except TimeoutError:
            decision.note_belief("gateway.batch_unsaved")

    async def close(self):
        """Close everything."""
        for server in self._list_servers():
            await server.close()
        await self._supervisor.close()
        await self.neighbours.close()
        await self._peer_configuration.close()
        self.pools.close()
        await self.store.close()
        decision.note_belief("gateway.stopped")

    def reload(self):
        """Read the settings file again; what is under way goes on."""
        try:
            found = node.read_settings(node.find_settings_path())
        except exception.SettingsError as error:
            decision.note_belief("settings.unreadable", why=str(error))
            return
        changed = found != self.settings
        self.settings = found
        self.store.address = found.store_address
        decision.note_belief("settings.read", changed=changed)

    @property
    def is_ready(self):
        """Whether requests can be served.

        Jobs may still be read: after a loss of power that takes seconds over a small
        link, and online requests don't need them. Nor do they need all of thousands of
        targets.
        """
        is_begun = self.table.by_id or self._feeds["targets"].end is not None
        return (
            not self._draining
            and self.configuration.current is not None
            and bool(is_begun)
            and not self.authentication.should_leave_rotation
        )

    def _get_limit(self, name):
        """Return the `quota.Limit` of a workspace, or None if it has none."""
        current = self.configuration.current
        found = None if current is None else current.find_limited(name)
        return None if found is None else quota.Limit(found.rate_per_s, found.burst)

    def _note_load(self):
        self.neighbours.note_change()
        self.runner.wake()

    def _note_places(self):
        for service in self.admission.list_services():
            self.admission.serve_share(service)
        self.runner.wake()

    def _note_parts(self):
        self._supervisor.start_child("take over", self._handover.take_over)

    async def _eject_outliers(self):
        """Let targets rest that fail what they get, until cancelled."""
        while True:
            await asyncio.sleep(OUTLIERS_CHECK_S)
            changed = False
            for targets in self.table.list_by_service():
                ids = [found.id for found in targets]
                ejected = self.outliers.find_outliers(ids)
                for found in targets:
                    if found.ejected == (found.id in ejected):
                        continue
                    found.ejected = not found.ejected
                    name = "target.ejected" if found.ejected else "target.readmitted"
                    bad = ejected.get(found.id, 0.0)
                    decision.note_belief(name, target=found.id, bad=bad)
                    changed = True
            if changed:
                self._note_places()

    async def _announce(self):
        """Write this entry's address where the others look, until it is there."""
        data = {
            "failure_domain": self.settings.failure_domain,
            "link_mbps": self.settings.link_mbps,
        }
        records = [store.KeyedRecord(self.neighbours.address, orjson.dumps(data))]
        while True:
            try:
                await self.store.append(ENTRIES_TOPIC, 0, records, None)
                return
            except exception.LogError as error:
                decision.note_belief("gateway.unannounced", why=str(error))
                await asyncio.sleep(1.0)

    async def _withdraw(self):
        records = [store.KeyedRecord(self.neighbours.address, b"")]
        try:
            await self.store.append(ENTRIES_TOPIC, 0, records, None)
        except exception.LogError as error:
            decision.note_belief("gateway.not_withdrawn", why=str(error))

    async def _clean(self):
        """Drop what is out of date: targets that are gone, jobs nobody reads."""
        while True:
            await asyncio.sleep(CLEAN_EVERY_S)
            self._targets.drop_missing()
            await self._retention.remove_old()

    async def _answer_check(self, request):
        status = 200 if self.is_ready else 503
        await request.answer(status, httputil.HTTPHeaders())

    def _note_refused(self, request):
        refusal = request.refused
        self.metrics.count_refusal(refusal, request.workspace)
        if refusal.code not in LOGGED_CODES:
            call = message.decode_request_headers(request.headers)
            decision.note_request(
                "caller.refused",
                call.request_id,
                outcome=refusal.code,
                status=refusal.status,
            )

    def _describe(self):
        """Return the `metric.State`."""
        now = time.monotonic()
        feeds = {
            **self._feeds,
            "jobs": self.storage.accepted.feed,
            "outcomes": self.storage.outcomes.feed,
        }
        services = {found.registration.service for found in self.table.by_id.values()}
        lines = [self.admission.describe(service) for service in services]
        return metric.State(
            ages_s={
                **{name: now - entry.fresh_at for name, entry in feeds.items()},
                "keys": self.authentication.age_s,
            },
            places=sum(line.places for line in lines),
            free=sum(line.free for line in lines),
            waiting=sum(map(self.admission.count_waiting, services)),
            targets=len(self.table.by_id),
            ejected=sum(found.ejected for found in self.table.by_id.values()),
            open_jobs=len(self.storage.book.open_jobs),
            open_requests=self._callers.busy,
            store_calls=self.store.calls,
            store_bytes=self.store.bytes,
            dropped_lines=decision.count_dropped(),
            quota_share=self.quotas.share,
            quota_workspaces=self.quotas.count_buckets(),
        )

    async def _answer_metrics(self, request):
        self.metrics.take_state(self._describe())
        body, headers = self.metrics.render()
        await request.answer(200, httputil.HTTPHeaders(headers), body)


def run():
    """Run an entry until it is told to stop."""
    decision.configure()
    try:
        settings = node.read_settings(node.find_settings_path())
    except exception.SettingsError as error:
        decision.note_belief("settings.unreadable", why=str(error))
        sys.exit(EXIT_SETTINGS)
    asyncio.run(_run(Gateway(settings)))


async def _run(gateway):
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    await stopped.wait()
    await gateway.drain()
    await gateway.close()
