"""Callers that ask for every accepted job at every gateway until the end of a run."""

import asyncio
import base64
import collections
import dataclasses
import itertools
import random
import time

import orjson

from pimentowick.fakes import platform_site
from pimentowick.soak import fleet

__all__ = ["JobWatch"]

REQUEST_ID_HEADER = "X-Pimentowick-Request-Id"
WAIT_HEADER = "X-Pimentowick-Wait-Ms"
SUBMISSION_PATH = "/lot/1"
CONNECTIONS_PER_GATEWAY = 3
PAUSE_S = 0.02
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 8.0
LONG_POLL_MS = 1000
# From an acceptance, or from a result that was read, to its validity at all gateways.
SETTLE_S = 1.0
# A connection that closes sooner may have crossed the request.
LOSS_SLACK_S = 0.2
# A signal affects a process within this.
SIGNAL_SLACK_S = 1.0
# Calm time after which the items of open jobs must have run.
FINISH_S = 18.0
# Time without a result and with idle replicas after which an item is not waited for.
IDLE_S = 5.0
MAX_FINISH_S = 90.0
# From the first submission on.
STATUS_S = 120.0
BODY_REPEATS = (1, 1, 200, 5000)
ITEMS_PER_SLOW_JOB = 10
SLOW_JOB_INTERVAL_S = 1.5
MAX_RESUBMISSION_AGE_S = 8.0


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    body: bytes


class _Connection:
    """A kept connection to a gateway, opened anew only after it has closed."""

    def __init__(self, gateway):
        self.gateway = gateway
        self._streams = None

    async def open(self):
        if self._streams is None:
            host, _, port = self.gateway.address.partition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(host, int(port))

    async def fetch(self, method, path, body, headers):
        reader, writer = self._streams
        fields = {
            "Host": platform_site.HOST,
            "Content-Length": len(body),
            **headers,
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        first, *rest = head.split("\r\n")
        received = dict(line.split(": ", 1) for line in rest if line)
        size = int(received.get("content-length", "0"))
        response = _Response(int(first.split()[1]), await reader.readexactly(size))
        if received.get("connection") == "close":
            self.close()
        return response

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@dataclasses.dataclass
class _Job:
    """What callers know of an accepted job.

    Attributes:
        id: Identifier.
        submission: Body of the submission.
        bodies: Bodies of the items by identifier.
        sent_at: Monotonic time of its first submission.
        accepted_at: Monotonic time of the first 202.
        results: Tuples (id, state, text) by position.
        read_at: Monotonic times at which they were first read.
        is_ended: Whether its end was asked for.
    """

    id: str
    submission: bytes
    bodies: dict
    sent_at: float
    accepted_at: float = float("inf")
    results: list = dataclasses.field(default_factory=list)
    read_at: list = dataclasses.field(default_factory=list)
    is_ended: bool = False

    @property
    def is_owed(self):
        """Whether it has items that must still get a result."""
        return not self.is_ended and len(self.results) < len(self.bodies)

    def list_missing(self):
        """Return the identifiers of the items without a result."""
        return self.bodies.keys() - {name for name, _, _ in self.results}


class JobWatch:
    """Asks for jobs, positions and bodies, and notes what is not as it was before.

    Args:
        running_fleet: `pimentowick.soak.fleet.Fleet`.
        seed: Seed of its random choices.
        text: Text of each completed item.

    Attributes:
        violations: Descriptions of violated invariants.
        counts: Number of responses by method and status.
        jobs: The `_Job` objects by identifier, with those not yet accepted.
    """

    def __init__(self, running_fleet, seed, text):
        self._fleet = running_fleet
        self._rng = random.Random(f"job watch {seed}")
        self._text = text
        self.violations = []
        self.counts = collections.Counter()
        self.jobs = {}
        self._tasks = []
        self._submitting = None
        self._has_stopped = asyncio.Event()

    def make_job(self, job_id, size, path=SUBMISSION_PATH):
        """Return the body of the submission of a new job, with items of one path."""
        bodies = {
            f"{job_id}-{n}": f"{job_id}-{n} ".encode() * self._rng.choice(BODY_REPEATS)
            for n in range(size)
        }
        rows = [
            {"id": name, "path": path, "body": base64.b64encode(body).decode()}
            for name, body in bodies.items()
        ]
        submission = orjson.dumps({"items": rows})
        self.jobs[job_id] = _Job(job_id, submission, bodies, time.monotonic())
        return submission

    def accept(self, job_id):
        """Note the 202 of a job."""
        self.jobs[job_id].accepted_at = time.monotonic()

    def start(self):
        """Start asking."""
        self._tasks = [
            asyncio.create_task(self._ask_repeatedly(gateway))
            for gateway in self._fleet.gateways
            for _ in range(CONNECTIONS_PER_GATEWAY)
        ]
        self._submitting = asyncio.create_task(self._submit_slow_jobs())

    async def finish(self):
        """Wait for owed items after the faults, and read everything from the start."""
        self._has_stopped.set()
        await self._submitting
        await self._wait_for_owed_items()
        await self.close()
        await asyncio.gather(*(self._read_all(each) for each in self._fleet.gateways))

    async def close(self):
        """Stop asking."""
        self._has_stopped.set()
        tasks, self._tasks = self._tasks, []
        if self._submitting is not None:
            tasks.append(self._submitting)
            self._submitting = None
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def _add_violation(self, job, gateway, what):
        description = f"{job.id}: {what} at {gateway.ip}"
        if description not in self.violations:
            self.violations.append(description)
            self._fleet.log(description)

    def _list_accepted(self):
        now = time.monotonic()
        return [
            job
            for job in self.jobs.values()
            if job.accepted_at < now and now - job.sent_at < STATUS_S
        ]

    async def _ask_repeatedly(self, gateway):
        connection = _Connection(gateway)
        try:
            while True:
                jobs = self._list_accepted()
                owed = [job for job in jobs if job.is_owed]
                if jobs:
                    some = owed if owed and self._rng.random() < 0.5 else jobs
                    await self._ask(connection, self._rng.choice(some))
                await asyncio.sleep(PAUSE_S)
        finally:
            connection.close()

    async def _ask(self, connection, job):
        """Send one request about a job."""
        age_s = time.monotonic() - job.accepted_at
        choice = self._rng.random()
        missing = sorted(job.list_missing())
        if choice < 0.3 and missing:
            await self._ask_body(connection, job, self._rng.choice(missing))
        elif choice < 0.35 and SETTLE_S < age_s < MAX_RESUBMISSION_AGE_S:
            await self._submit(connection, job)
        else:
            after = self._rng.randint(0, len(job.results))
            wait_ms = self._rng.choice((0, 0, LONG_POLL_MS))
            await self._read(connection, job, after, wait_ms)

    async def _call(self, connection, job, method, path, body=b"", headers=None):
        """Return the response, or None if another gateway is to be asked."""
        gateway = connection.gateway
        try:
            await connection.open()
        except OSError:
            return None
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await connection.fetch(method, path, body, headers or {})
        except (OSError, asyncio.IncompleteReadError) as error:
            connection.close()
            took_s = time.monotonic() - sent_at
            may_have_crossed = gateway.is_stopping and took_s < LOSS_SLACK_S
            if not may_have_crossed and not gateway.was_disrupted_since(
                sent_at - SIGNAL_SLACK_S
            ):
                what = f"{method} {path} got {error!r} after {took_s:.2f} s"
                self._add_violation(job, gateway, what)
            return None
        self.counts[f"{method} {response.status}"] += 1
        return response

    def _is_unknown(self, job, gateway, response, sent_at):
        """Return whether a response denies a job; note it if that is an error."""
        if response.status not in (404, 410):
            return False
        if sent_at > job.accepted_at + SETTLE_S:
            self._add_violation(job, gateway, f"answered {response.status}")
        return True

    async def _read(self, connection, job, after, wait_ms=0):
        """Return whether a page was read and is as before."""
        headers = {WAIT_HEADER: wait_ms} if wait_ms else {}
        sent_at = time.monotonic()
        path = f"/-/lots/{job.id}?after={after}"
        response = await self._call(connection, job, "GET", path, headers=headers)
        if response is None or response.status == 503:
            return False
        gateway = connection.gateway
        if self._is_unknown(job, gateway, response, sent_at):
            return False
        if response.status != 200:
            self._add_violation(job, gateway, f"a read got {response.status}")
            return False
        data = orjson.loads(response.body)
        rows = [(row["id"], row["state"], row["text"]) for row in data["results"]]
        if (data["total"], data["next"]) != (len(job.bodies), after + len(rows)):
            self._add_violation(job, gateway, "a page has wrong numbers")
        settled = sum(1 for at in job.read_at if at < sent_at - SETTLE_S)
        # A page may hold fewer results than there are, but not none.
        if not rows and after < settled:
            what = f"nothing at position {after}, of {settled} read before"
            self._add_violation(job, gateway, what)
        for position, row in enumerate(rows, after):
            self._check_row(job, gateway, position, row)
        return True

    def _check_row(self, job, gateway, position, row):
        if position < len(job.results):
            if job.results[position] != row:
                self._add_violation(job, gateway, f"position {position} has changed")
            return
        if row[0] not in job.list_missing():
            self._add_violation(job, gateway, f"{row[0]} is listed again, or foreign")
        if row[1] == "done" and row[2] != self._text:
            self._add_violation(job, gateway, f"{row[0]} has another text")
        job.results.append(row)
        job.read_at.append(time.monotonic())

    async def _ask_body(self, connection, job, name):
        sent_at = time.monotonic()
        path = f"/-/items/{job.id}?id={name}"
        response = await self._call(connection, job, "GET", path)
        if response is None or response.status == 503:
            return
        gateway = connection.gateway
        if response.status == 200:
            if response.body != job.bodies[name]:
                self._add_violation(job, gateway, f"{name} has another body")
        elif response.status not in (404, 410):
            self._add_violation(job, gateway, f"a body got {response.status}")
        elif sent_at > job.accepted_at + SETTLE_S and not job.is_ended:
            # What denies a body is a result, which the same gateway must list.
            while not await self._read(connection, job, 0):
                if self._is_noted(job):
                    return
                await asyncio.sleep(PAUSE_S)
            if name in job.list_missing() and not job.is_ended:
                what = f"the body of {name} got {response.status}, and it has no result"
                self._add_violation(job, gateway, what)

    async def _submit(self, connection, job):
        """Submit a job; return whether it was accepted."""
        headers = {REQUEST_ID_HEADER: job.id}
        response = await self._call(
            connection, job, "POST", SUBMISSION_PATH, job.submission, headers
        )
        if response is None or response.status >= 500:
            return False
        if response.status != 202:
            what = f"a submission got {response.status}"
            self._add_violation(job, connection.gateway, what)
            return False
        if job.accepted_at == float("inf"):
            self.accept(job.id)
        return True

    async def _submit_slow_jobs(self):
        """Submit jobs, and end one of two twice, at any gateway."""
        for number in itertools.count():
            if self._has_stopped.is_set():
                return
            job_id = f"slow{number}"
            self.make_job(job_id, ITEMS_PER_SLOW_JOB, fleet.SLOW_PATH)
            job = self.jobs[job_id]
            await self._repeat(self._submit, job)
            await asyncio.sleep(self._rng.uniform(0.0, 2 * SLOW_JOB_INTERVAL_S))
            if number % 2:
                job.is_ended = True
                await self._repeat(self._end, job)
                await self._repeat(self._end, job)

    async def _repeat(self, call, job):
        """Call at drawn gateways until the call succeeds."""
        while True:
            connection = _Connection(self._rng.choice(self._fleet.gateways))
            has_succeeded = await call(connection, job)
            connection.close()
            if has_succeeded:
                return
            await asyncio.sleep(PAUSE_S)

    async def _end(self, connection, job):
        sent_at = time.monotonic()
        path = f"/-/lots/{job.id}"
        response = await self._call(connection, job, "DELETE", path)
        if response is None or response.status >= 500:
            return False
        if self._is_unknown(job, connection.gateway, response, sent_at):
            return sent_at > job.accepted_at + SETTLE_S
        if response.status != 200:
            what = f"an end got {response.status}"
            self._add_violation(job, connection.gateway, what)
        return True

    async def _wait_for_owed_items(self):
        began_at = progressed_at = time.monotonic()
        listed = -1
        while owed := [job for job in self._list_accepted() if job.is_owed]:
            now = time.monotonic()
            count = sum(len(job.results) for job in self.jobs.values())
            if count > listed or not self._fleet.has_idle_replicas:
                listed, progressed_at = count, now
            is_late = now - began_at > FINISH_S and now - progressed_at > IDLE_S
            if is_late or now - began_at > MAX_FINISH_S:
                for job in owed:
                    names = " ".join(sorted(job.list_missing()))
                    self.violations.append(f"{job.id}: no result of {names}")
                return
            await asyncio.sleep(PAUSE_S)

    async def _read_all(self, gateway):
        """Read all jobs from the start, and again after each failure."""
        for job in self._list_accepted():
            connection = _Connection(gateway)
            while not await self._read(connection, job, 0):
                if time.monotonic() - job.sent_at > STATUS_S or self._is_noted(job):
                    break
                await asyncio.sleep(PAUSE_S)
            for name in sorted(job.list_missing()):
                await self._ask_body(connection, job, name)
            connection.close()

    def _is_noted(self, job):
        return any(each.startswith(f"{job.id}: ") for each in self.violations)
