"""Soak test: traffic, injected faults and a final check of invariants."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
import re
import time

import orjson

from pimentowick import exception
from pimentowick.fakes import platform_site, wait
from pimentowick.soak import fault_injection, fleet, job_watch

__all__ = ["Findings", "run_soak"]

REQUEST_ID_HEADER = "X-Pimentowick-Request-Id"
DEADLINE_HEADER = "X-Pimentowick-Deadline-Ms"
LAST_EVENT_HEADER = "Last-Event-Id"
FIRST_ATTEMPT_HEADER = "Resumes"
REQUEST_TIMEOUT_S = 8.0
MAX_JOB_SUBMISSIONS = 200
JOB_TIMEOUT_S = 90.0
SERVED_TIMEOUT_S = 60.0
ITEMS_PER_JOB = 6
CALLER_COUNT = 6
PLAIN_CALLER_COUNT = 2
STREAM_PATHS = ("/chat/1", "/draft/1")
ONCE_PATHS = frozenset({"/draft/1", "/confirm/1"})
NO_ANSWER = "no answer"
REQUEST_INTERVAL_S = 0.05
EVENTS_PER_RESPONSE = 12
# Of responses that last for a good part of a grace period.
LONG_EVENT_INTERVAL_S = 0.3
# A gateway gives up a request after this.
ROUTE_TIMEOUT_S = 5.0
# A request that comes sooner after SIGTERM may run until the process ends.
EARLY_S = 3.0
# Work on the hosts of replicas takes the usual time.
USUAL_PERCENT = 100
EXPECTED_EVENTS = [
    f"id: {n}\ndata: word {n}\n\n".encode() for n in range(1, EVENTS_PER_RESPONSE + 1)
]
EXPECTED_BODY = b"".join(EXPECTED_EVENTS)
# The version of the replica that sent an event.
VERSION_LINE = re.compile(rb"^event: (\S+)\n", re.MULTILINE)
# What follows the first event.
EXPECTED_REST = b"".join(EXPECTED_EVENTS[1:])
EXPECTED_TEXT = "\n".join(f"word {n}" for n in range(1, EVENTS_PER_RESPONSE + 1))


@dataclasses.dataclass
class Findings:
    """Results of a soak test.

    Attributes:
        seed: Seed of the run.
        faults: Kinds of the injected faults, in order.
        served: Number of successful responses with streams.
        unframed: Number of requests that replicas answered whole without framing.
        jobs: Number of accepted jobs.
        violations: Descriptions of violated invariants.
        watched: Number of responses about jobs by method and status.
    """

    seed: int
    faults: list = dataclasses.field(default_factory=list)
    served: int = 0
    unframed: int = 0
    jobs: int = 0
    violations: list = dataclasses.field(default_factory=list)
    watched: dict = dataclasses.field(default_factory=dict)


class _Soak:
    def __init__(self, seed, directory, gateways):
        self.rng = random.Random(seed)
        # Draws of its own, so that a seed keeps its faults.
        self.overlap_rng = random.Random(f"overlap {seed}")
        self.plain_rng = random.Random(f"plain {seed}")
        # Odd seeds run the decisions for services on shared hosts.
        self.fleet = fleet.Fleet(
            directory, gateways, slowdown=USUAL_PERCENT if seed % 2 else None
        )
        self.watch = job_watch.JobWatch(self.fleet, seed, EXPECTED_TEXT)
        self.findings = Findings(seed)
        self.refused = set()
        # Requests without a complete answer that neither their timeout nor the end of a
        # stopping process explains.
        self.unanswered = set()
        # Requests that a gateway failed or cut while it was neither killed nor frozen.
        self.failed = set()
        self.at_most_once = set()
        self.accepted = {}
        # Versions of the events that callers got, by the first attempt.
        self.versions_seen = {}
        self._counter = itertools.count()
        self._stopping = asyncio.Event()

    async def run(self, kinds, count, overlaps):
        callers = []
        is_planned = fault_injection.PLANNED_KINDS.issuperset(kinds)
        try:
            await self.fleet.start()
            if is_planned:
                for each in self.fleet.all_replicas:
                    each.event_interval_s = LONG_EVENT_INTERVAL_S
            callers = [
                asyncio.create_task(self._send_requests(STREAM_PATHS, self.rng))
                for _ in range(CALLER_COUNT)
            ]
            callers += [
                asyncio.create_task(
                    self._send_requests(fleet.PLAIN_PATHS, self.plain_rng)
                )
                for _ in range(PLAIN_CALLER_COUNT)
            ]
            callers.append(asyncio.create_task(self._submit_jobs()))
            self.watch.start()
            injector = fault_injection.FaultInjector(self.fleet, self.rng)
            for _ in range(count):
                chosen = [self.rng.choice(kinds)]
                if overlaps:
                    chosen += self._choose_overlapping(kinds, chosen[0])
                async with asyncio.TaskGroup() as group:
                    for kind in chosen:
                        group.create_task(injector.inject(kind))
                await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            self.findings.faults = injector.injected
            self.findings.violations += injector.violations
            await self._wait_until_served()
            self._stopping.set()
            await asyncio.gather(*callers)
            await self._restart_exited()
            await self.fleet.wait_ready()
            await self.watch.finish()
            self.findings.violations += self.watch.violations
            self.findings.watched = self.watch.counts
            await self._check_jobs()
            self._check_executions()
            self._check_versions()
            self._check_whole_responses()
            if is_planned:
                self._check_answers()
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.watch.close()
            await self.fleet.close()
        return self.findings

    async def _wait_until_served(self):
        """Wait until a request was served: processes may start more slowly than end."""
        with contextlib.suppress(exception.UnavailableError):
            await wait.wait_for(
                lambda: self.findings.served, SERVED_TIMEOUT_S, REQUEST_INTERVAL_S
            )

    def _choose_overlapping(self, kinds, kind):
        """Return the kinds of fault to inject at the same time as another one."""
        # Entries that restart forget which part crashes replicas.
        others = [each for each in kinds if each != "crash_part"]
        if kind == "crash_part" or not others:
            return []
        return [self.overlap_rng.choice(others)]

    async def _send(self, method, path, body=None, headers=None, gateway=None):
        gateway = gateway or self.rng.choice(self.fleet.gateways)
        return await self.fleet.client.fetch(
            method,
            gateway.address,
            path,
            body,
            {"Host": platform_site.HOST, **(headers or {})},
            timeout_s=REQUEST_TIMEOUT_S,
        )

    async def _send_online(self, path, headers, rng):
        """Send an online request, and note it if it fails."""
        gateway = rng.choice(self.fleet.gateways)
        request_id = headers[REQUEST_ID_HEADER]
        sent_at = time.monotonic()
        body = _make_body(request_id)
        try:
            response = await self._send("POST", path, body, headers, gateway)
        except exception.UnavailableError:
            self._note_failure(request_id, path, gateway, sent_at, NO_ANSWER)
            raise
        if response.status != 200:
            self._note_failure(request_id, path, gateway, sent_at, response.status)
        return response

    def _note_failure(self, request_id, path, gateway, sent_at, outcome):
        self.fleet.log(f"{request_id} for {path} got {outcome} at {gateway.ip}")
        is_early = 0 <= sent_at - gateway.stop_began_at <= EARLY_S
        has_timed_out = time.monotonic() - sent_at >= ROUTE_TIMEOUT_S
        if is_early or has_timed_out:
            return
        if outcome == NO_ANSWER:
            self.unanswered.add(request_id)
        if not gateway.was_disrupted_since(sent_at):
            self.failed.add(request_id)

    async def _send_requests(self, paths, rng):
        while not self._stopping.is_set():
            request_id = f"r{next(self._counter)}"
            path = rng.choice(paths)
            if path in ONCE_PATHS:
                self.at_most_once.add(request_id)
            headers = {REQUEST_ID_HEADER: request_id, DEADLINE_HEADER: "6000"}
            try:
                response = await self._send_online(path, headers, rng)
            except exception.UnavailableError:
                if path == "/chat/1":
                    await self._take_up(request_id, path)
            else:
                self._check_response(request_id, path, response)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _take_up(self, first_id, path):
        """Go on with a broken stream after its first event."""
        headers = {
            REQUEST_ID_HEADER: f"r{next(self._counter)}",
            DEADLINE_HEADER: "6000",
            LAST_EVENT_HEADER: "1",
            FIRST_ATTEMPT_HEADER: first_id,
        }
        try:
            response = await self._send_online(path, headers, self.rng)
        except exception.UnavailableError:
            return
        if response.status == 200:
            self._check_text(first_id, response.body, EXPECTED_REST)

    def _check_text(self, first_id, body, expected):
        """Check the text of a response, and that its events are of one version."""
        versions = {version.decode() for version in VERSION_LINE.findall(body)}
        if VERSION_LINE.sub(b"", body) != expected:
            self._add_violation(f"{first_id}: a success with {body[:80]!r}")
        if len(versions) != 1:
            self._add_violation(f"{first_id}: one text holds events of {versions}")
        self.versions_seen.setdefault(first_id, set()).update(versions)

    def _check_response(self, request_id, path, response):
        if response.status == 200 and path in fleet.PLAIN_PATHS:
            if response.body != _make_body(request_id):
                self._add_violation(f"{request_id}: a success with {response.body!r}")
        elif response.status == 200:
            self.findings.served += 1
            self._check_text(request_id, response.body, EXPECTED_BODY)
        elif response.status in (429, 503):
            self.refused.add(request_id)

    async def _submit_jobs(self):
        while not self._stopping.is_set():
            await self._submit(f"job{next(self._counter)}")
            await asyncio.sleep(10 * REQUEST_INTERVAL_S)

    async def _submit(self, job_id):
        """Submit a job, and retry until it is accepted."""
        body = self.watch.make_job(job_id, ITEMS_PER_JOB)
        for _ in range(MAX_JOB_SUBMISSIONS):
            try:
                response = await self._send(
                    "POST", "/lot/1", body, {REQUEST_ID_HEADER: job_id}
                )
            except exception.UnavailableError:
                await asyncio.sleep(REQUEST_INTERVAL_S)
                continue
            if response.status == 202:
                self.accepted[job_id] = set(self.watch.jobs[job_id].bodies)
                self.watch.accept(job_id)
                return
            await asyncio.sleep(REQUEST_INTERVAL_S)
        self._add_violation(f"{job_id}: never accepted")

    async def _restart_exited(self):
        for gateway in self.fleet.gateways:
            if not gateway.is_running:
                self._add_violation(f"{gateway.ip}: ended by itself")
                await gateway.start()

    async def _check_jobs(self):
        self.findings.jobs = len(self.accepted)
        for job_id, names in self.accepted.items():
            pages = []
            for gateway in self.fleet.gateways:
                pages.append(
                    await self._read_complete_results(job_id, gateway, len(names))
                )
            if any(page != pages[0] for page in pages):
                self._add_violation(f"{job_id}: gateways list it differently")
            rows = pages[0] or []
            if {row["id"] for row in rows} != names or len(rows) != len(names):
                self._add_violation(
                    f"{job_id}: {len(rows)} of {len(names)} items are listed"
                )
            if any(
                (row["state"], row["text"]) != ("done", EXPECTED_TEXT) for row in rows
            ):
                self._add_violation(f"{job_id}: a result is not whole")

    async def _read_complete_results(self, job_id, gateway, count):
        async def read():
            try:
                response = await self.fleet.client.fetch(
                    "GET",
                    gateway.address,
                    f"/-/lots/{job_id}?after=0",
                    headers={"Host": platform_site.HOST},
                    timeout_s=REQUEST_TIMEOUT_S,
                )
            except exception.UnavailableError:
                return None
            if response.status == 404:
                self._add_violation(f"{job_id}: unknown at {gateway.ip}")
                return [[]]
            data = orjson.loads(response.body)
            complete = response.status == 200 and len(data["results"]) == count
            return [data["results"]] if complete else None

        try:
            (rows,) = await wait.wait_for(read, JOB_TIMEOUT_S, REQUEST_INTERVAL_S)
        except exception.UnavailableError:
            return None
        return rows

    def _check_versions(self):
        """Check that each stream and item went on at the version that began it."""
        began, went_on = {}, {}
        for each in self.fleet.all_replicas:
            versions = {name: iter(rows) for name, rows in each.run_versions.items()}
            for headers in each.headers:
                request_id = headers[REQUEST_ID_HEADER]
                first_id = headers.get(FIRST_ATTEMPT_HEADER, request_id)
                runs = went_on if LAST_EVENT_HEADER in headers else began
                runs.setdefault(first_id, set()).add(next(versions[request_id]))
        for first_id, versions in self.versions_seen.items():
            went_on.setdefault(first_id, set()).update(versions)
        for first_id, versions in went_on.items():
            jobs = self.watch.jobs.values()
            is_item = any(first_id in job.bodies for job in jobs)
            if not versions <= began.get(first_id, set()):
                self._add_violation(f"{first_id}: went on at {versions}")
            if len(versions) > 1 and not is_item:
                self._add_violation(f"{first_id}: holds events of {versions}")

    def _check_whole_responses(self):
        """Check that callers got what replicas sent whole without framing."""
        whole = set()
        for each in self.fleet.all_replicas:
            whole.update(each.whole_responses)
        self.findings.unframed = len(whole)
        for request_id in self.failed & whole:
            self._add_violation(f"{request_id}: sent whole without framing, and failed")

    def _check_answers(self):
        """Check that each request that was passed on got a complete answer."""
        for request_id in self.unanswered & set(self._count_runs()):
            self._add_violation(f"{request_id}: passed on, and cut by a planned stop")

    def _count_runs(self):
        """Return the number of runs at all replicas, by request."""
        return sum(
            (each.runs for each in self.fleet.all_replicas), collections.Counter()
        )

    def _check_executions(self):
        runs = self._count_runs()
        for request_id in self.refused & set(runs):
            self._add_violation(f"{request_id}: refused, and it ran")
        for request_id in self.at_most_once:
            if runs[request_id] > 1:
                self._add_violation(f"{request_id}: ran {runs[request_id]} times")

    def _add_violation(self, violation):
        self.findings.violations.append(violation)


def _make_body(request_id):
    return f"the question of {request_id}".encode()


async def run_soak(seed, directory, kinds, count, gateways=3, overlaps=False):
    """Run a soak test.

    Args:
        seed: Seed of the random choices.
        directory: Directory of the settings and logs of the gateways.
        kinds: Kinds of faults to choose from; see
            `pimentowick.soak.fault_injection.FAULT_KINDS` and ``CHANGE_KINDS``.
        count: Number of faults.
        gateways: Number of gateways.
        overlaps: Whether another fault is injected at the same time as each.

    Returns:
        The `Findings`.
    """
    return await _Soak(seed, directory, gateways).run(kinds, count, overlaps)
