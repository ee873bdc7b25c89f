"""One soak: traffic, faults, and what must hold at the end."""

import asyncio
import base64
import dataclasses
import itertools
import random

import orjson

from pimentowick import exception
from pimentowick.fakes import platform_site, wait
from pimentowick.soak import fleet, trouble

__all__ = ["Findings", "run_soak"]

REQUEST_ID = "X-Pimentowick-Request-Id"
DEADLINE = "X-Pimentowick-Deadline-Ms"
REQUEST_TIMEOUT_S = 8.0
JOB_TRIES = 200
JOB_TIMEOUT_S = 90.0
ITEMS = 6
CALLERS = 6
PAUSE_S = 0.05
EVENTS = 12
WHOLE = "".join(f"id: {n}\ndata: word {n}\n\n" for n in range(1, EVENTS + 1)).encode()
TEXT = "\n".join(f"word {n}" for n in range(1, EVENTS + 1))


@dataclasses.dataclass
class Findings:
    """What a soak found.

    Attributes:
        seed: Seed of the run.
        faults: Kinds of the faults made, in order.
        served: Number of whole answers.
        jobs: Number of jobs accepted.
        broken: Sentences on promises that did not hold.
    """

    seed: int
    faults: list = dataclasses.field(default_factory=list)
    served: int = 0
    jobs: int = 0
    broken: list = dataclasses.field(default_factory=list)


class _Soak:
    def __init__(self, seed, directory):
        self.draw = random.Random(seed)
        self.fleet = fleet.Fleet(directory)
        self.findings = Findings(seed)
        self.refused = set()
        self.sent_once = set()
        self.accepted = {}
        self._numbers = itertools.count()
        self._ending = asyncio.Event()

    async def run(self, kinds, count):
        callers = []
        await self.fleet.start()
        try:
            callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
            callers.append(asyncio.create_task(self._submit_jobs()))
            maker = trouble.Trouble(self.fleet, self.draw)
            for _ in range(count):
                await maker.make(self.draw.choice(kinds))
                await asyncio.sleep(self.draw.uniform(0.2, 1.0))
            self.findings.faults = maker.made
            self._ending.set()
            await asyncio.gather(*callers)
            await self._start_ended()
            await self.fleet.wait_ready()
            await self._check_jobs()
            self._check_runs()
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.fleet.close()
        return self.findings

    async def _send(self, method, path, body=None, headers=None):
        gateway = self.draw.choice(self.fleet.gateways)
        return await self.fleet.client.fetch(
            method,
            gateway.address,
            path,
            body,
            {"Host": platform_site.HOST, **(headers or {})},
            timeout_s=REQUEST_TIMEOUT_S,
        )

    async def _call(self):
        while not self._ending.is_set():
            request_id = f"r{next(self._numbers)}"
            path = self.draw.choice(["/chat/1", "/draft/1"])
            if path == "/draft/1":
                self.sent_once.add(request_id)
            headers = {REQUEST_ID: request_id, DEADLINE: "6000"}
            try:
                answer = await self._send("POST", path, b"x", headers)
            except exception.UnavailableError:
                pass
            else:
                self._judge(request_id, answer)
            await asyncio.sleep(PAUSE_S)

    def _judge(self, request_id, answer):
        if answer.status == 200:
            self.findings.served += 1
            if answer.body != WHOLE:
                self._report(f"{request_id}: a success with {answer.body[:80]!r}")
        elif answer.status in (429, 503):
            self.refused.add(request_id)

    async def _submit_jobs(self):
        while not self._ending.is_set():
            await self._submit(f"job{next(self._numbers)}")
            await asyncio.sleep(10 * PAUSE_S)

    async def _submit(self, job_id):
        """Send a job until it is accepted, as a caller does."""
        names = [f"{job_id}-{n}" for n in range(ITEMS)]
        rows = [
            {"id": name, "path": "/lot/1", "body": base64.b64encode(b"x").decode()}
            for name in names
        ]
        body = orjson.dumps({"items": rows})
        for _ in range(JOB_TRIES):
            try:
                answer = await self._send("POST", "/lot/1", body, {REQUEST_ID: job_id})
            except exception.UnavailableError:
                await asyncio.sleep(PAUSE_S)
                continue
            if answer.status == 202:
                self.accepted[job_id] = set(names)
                return
            await asyncio.sleep(PAUSE_S)
        self._report(f"{job_id}: never accepted")

    async def _start_ended(self):
        for gateway in self.fleet.gateways:
            if not gateway.is_running:
                self._report(f"{gateway.ip}: ended by itself")
                await gateway.start()

    async def _check_jobs(self):
        self.findings.jobs = len(self.accepted)
        for job_id, names in self.accepted.items():
            pages = []
            for gateway in self.fleet.gateways:
                pages.append(await self._read_whole(job_id, gateway, len(names)))
            if any(page != pages[0] for page in pages):
                self._report(f"{job_id}: gateways list it differently")
            rows = pages[0] or []
            if {row["id"] for row in rows} != names or len(rows) != len(names):
                self._report(f"{job_id}: {len(rows)} of {len(names)} items are listed")
            if any((row["state"], row["text"]) != ("done", TEXT) for row in rows):
                self._report(f"{job_id}: a result is not whole")

    async def _read_whole(self, job_id, gateway, count):
        async def read():
            try:
                answer = await self.fleet.client.fetch(
                    "GET",
                    gateway.address,
                    f"/-/lots/{job_id}?after=0",
                    headers={"Host": platform_site.HOST},
                    timeout_s=REQUEST_TIMEOUT_S,
                )
            except exception.UnavailableError:
                return None
            if answer.status == 404:
                self._report(f"{job_id}: unknown at {gateway.ip}")
                return [[]]
            data = orjson.loads(answer.body)
            whole = answer.status == 200 and len(data["results"]) == count
            return [data["results"]] if whole else None

        try:
            (rows,) = await wait.wait_for(read, JOB_TIMEOUT_S, PAUSE_S)
        except exception.UnavailableError:
            return None
        return rows

    def _check_runs(self):
        runs = {}
        for each in self.fleet.replicas:
            for request_id, count in each.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        for request_id in self.refused & set(runs):
            self._report(f"{request_id}: refused, and it ran")
        for request_id in self.sent_once:
            if runs.get(request_id, 0) > 1:
                self._report(f"{request_id}: ran {runs[request_id]} times")

    def _report(self, sentence):
        self.findings.broken.append(sentence)


async def run_soak(seed, directory, kinds, count):
    """Run one soak.

    Args:
        seed: Seed of what is drawn.
        directory: Where settings and logs of the gateways go.
        kinds: Kinds of faults to draw from; see `pimentowick.soak.trouble.KINDS`.
        count: Number of faults.

    Returns:
        The `Findings`.
    """
    return await _Soak(seed, directory).run(kinds, count)
