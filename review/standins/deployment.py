"""A small deployment of separate processes on loopback, for the cases' scripts.

Gateways are started as the deploy file starts them. The store, the replicas and the
proxies before these are the stand-ins beside this file.
"""

import asyncio
import contextlib
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

HERE = pathlib.Path(__file__).resolve().parent
REPOSITORY = HERE.parent.parent
HOST = "desk.example"
SERVICE = "lm"
START_TIMEOUT_S = 15.0
PARTS = 8
# Three heartbeats, after which the store removes the entry of a silent replica.
SILENCE_S = 3.6


class Unable(Exception):
    """The case could not run."""


def find_port(ip="127.0.0.1"):
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def make_environment(**values):
    """Return the environment of a process, with the built packages on its path."""
    path = f"{REPOSITORY / 'target' / 'deps'}{os.pathsep}{REPOSITORY}"
    return {**os.environ, "PYTHONPATH": path, **values}


class Record:
    """Writes `record.txt`, with seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1, encoding="utf-8")
        self._started_at = time.monotonic()

    def begin(self):
        """Begin anew, with the case itself."""
        self._file.seek(0)
        self._file.truncate()
        self._started_at = time.monotonic()

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def to_seconds(self, monotonic_at):
        """Return a monotonic time as seconds since the start."""
        return monotonic_at - self._started_at

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now:8.3f}  {text}\n")


class Deployment:
    """The processes of one deployment, which `close` ends."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways = []
        self.replica_records = []
        self.proxies = []
        self.replicas = {}
        self._processes = []
        # The port of the metrics is fixed, so that each run takes addresses of its own.
        self._network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._version = 0
        self.store = ""

    def _start(self, name, words, environment, **options):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            words, cwd=REPOSITORY, env=environment, stderr=log, **options
        )
        self._processes.append(process)
        return process

    def _start_stand_in(self, name, *words):
        command = [sys.executable, str(HERE / words[0]), *map(str, words[1:])]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        return self._start(name, command, make_environment(), **pipes)

    def start_store(self):
        """Start the store."""
        port = find_port()
        self.store = f"127.0.0.1:{port}"
        process = self._start_stand_in("store", "platform_store.py", port)
        if process.stdout.readline().strip() != b"ready":
            raise Unable("the store did not start")

    def start_replica(self, name, slots, first_ms, step_ms, has_proxy=False):
        """Start a replica, behind a proxy of its own if so wanted."""
        port = find_port()
        address = f"127.0.0.1:{port}"
        path = self.folder / f"{name}.jsonl"
        self.replica_records.append(path)
        if has_proxy:
            proxy_port = find_port()
            address = f"127.0.0.1:{proxy_port}"
            words = ["proxy.py", proxy_port, port]
            proxy = self._start_stand_in(f"{name}-proxy", *words)
            if proxy.stdout.readline().strip() != b"ready":
                raise Unable("a proxy did not start")
            self.proxies.append(proxy)
        words = [name, port, address, self.store, SERVICE, slots]
        words += [first_ms, step_ms, path]
        self.replicas[name] = self._start_stand_in(name, "replica.py", *words)

    def stop_heartbeat(self, name):
        """Let a replica write to the store no more; it serves on."""
        self.replicas[name].send_signal(signal.SIGUSR1)

    def end_replica(self, name):
        """End a replica."""
        process = self.replicas.pop(name)
        process.kill()
        process.wait()
        self._record_crash(name)

    async def crash_replica(self, name, down_s, successor, *settings):
        """Kill a replica, and start it again under a new id after some seconds."""
        process = self.replicas.pop(name)
        process.kill()
        process.wait()
        self._record_crash(name)
        self.record.write(f"replica {name} crashes")
        await asyncio.sleep(down_s)
        self.start_replica(successor, *settings)
        self.record.write(f"it is back as {successor}")
        await asyncio.sleep(SILENCE_S - down_s)
        await call(self.store, "DELETE", f"/stand-in/servers/{name}")

    def _record_crash(self, name):
        """Record the end of the runs that a crash broke off."""
        open_runs = {}
        for line in self.read_replica_events():
            if line["replica"] == name and "id" in line:
                open_runs[line["id"]] = line["event"] != "ends"
        with open(self.folder / f"{name}.jsonl", "a", encoding="utf-8") as file:
            for request_id in [each for each, is_open in open_runs.items() if is_open]:
                line = {"t": time.monotonic(), "replica": name, "event": "ends"}
                line |= {"id": request_id, "end": "crash", "last": "?"}
                file.write(json.dumps(line) + "\n")

    def start_cut_proxy(self):
        """Start a proxy before the store, which `command_cut` cuts and heals."""
        port = find_port()
        store_port = self.store.rpartition(":")[2]
        self.cut_proxy = self._start_stand_in("cut", "cut.py", port, store_port)
        if self.cut_proxy.stdout.readline().strip() != b"done":
            raise Unable("a proxy did not start")
        return f"127.0.0.1:{port}"

    def command_cut(self, word):
        """Cut the way through the proxy before the store, or heal it."""
        if self._command(self.cut_proxy, word) != ["done"]:
            raise Unable("the proxy before the store has ended")

    def start_gateway(self, number, store=None):
        """Start a gateway with the command of the deploy file."""
        ip = f"{self._network}.{10 + number}"
        front, ready, peer = find_port(ip), find_port(ip), find_port(ip)
        rows = {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": ip,
            "zone": "leon-sala-a",
            "listen.front": f"{ip}:{front}",
            "listen.ready": f"{ip}:{ready}",
            "port_range": f"{peer},{peer}",
            "limits.cpu_share": 0.717,
            "limits.cores": 3,
            "limits.memory_mb": 340,
            "limits.max_fds": 8200,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,recover,batch,stream,engine,platform",
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.status_s": 120,
            "platform.address": store or self.store,
            "platform.form": "log",
            "platform.parts": PARTS,
            "platform.record_bytes": 262144,
            "platform.call_bytes": 2097152,
            "platform.ttl_min_ms": 1000,
        }
        path = self.folder / f"front-{number}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in rows.items()))
        deploy_file = REPOSITORY / "deploy" / "system.toml"
        command = tomllib.loads(deploy_file.read_text())["roles"]["entry"]["run"]
        environment = make_environment(PIMENTOWICK_NODE_FILE=str(path))
        log = open(self.folder / f"front-{number}.out", "ab")
        process = self._start(
            f"front-{number}", command.split(), environment, stdout=log
        )
        self.gateways.append((f"{ip}:{front}", f"{ip}:{ready}", process))

    async def put(self, topic, key, value):
        """Write a record as the operator does."""
        body = json.dumps(value).encode()
        status, _ = await call(self.store, "PUT", f"/stand-in/{topic}/{key}", body)
        if status != 200:
            raise Unable(f"the store answered the operator with {status}")

    async def publish(self, routes):
        """Write the next version of the configuration."""
        self._version += 1
        services = [{"name": SERVICE, "health_path": "/health", "max_conns": 370}]
        data = {"version": self._version, "routes": routes, "services": services}
        await self.put("op", "config", data)
        self.record.write(f"configuration {self._version} is acknowledged")

    async def wait_until_ready(self):
        """Wait until all gateways answer 200 at their readiness addresses."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        for _, ready, _ in self.gateways:
            while True:
                with contextlib.suppress(OSError, ValueError, asyncio.TimeoutError):
                    status, _ = await call(ready, "GET", "/-/readiness")
                    if status == 200:
                        break
                if time.monotonic() > ends_at:
                    raise Unable(f"the gateway at {ready} did not get ready")
                await asyncio.sleep(0.1)

    async def is_listed(self, name):
        """Return whether the store lists a replica."""
        path = "/-/log-newest?topic=keyed.servers&part=0"
        _, body = await call(self.store, "GET", path)
        return any(row["key"] == name for row in json.loads(body)["items"])

    async def list_owners(self):
        """Return the gateway's number for each partition of the batch jobs."""
        path = "/-/log-owners?group=batch"
        _, body = await call(self.store, "GET", path)
        numbers = {
            front.partition(":")[0]: number
            for number, (front, _, _) in enumerate(self.gateways)
        }
        return {
            row[1]: numbers[row[2].partition(":")[0]]
            for row in json.loads(body)["parts"]
        }

    def _command(self, proxy, *words):
        proxy.stdin.write((" ".join(words) + "\n").encode())
        proxy.stdin.flush()
        return proxy.stdout.readline().decode().split()

    def reset(self, prefix, share):
        """Reset a share of a gateway's connections to replicas, drawn at random.

        Args:
            prefix: Prefix of the ids of the requests that the gateway sends.
            share: Share of the connections; what it comes to is rounded down.
        """
        found = [
            (proxy, name)
            for proxy in self.proxies
            for name in self._command(proxy, "list", prefix)
        ]
        drawn = random.sample(found, math.floor(share * len(found)))
        for proxy in self.proxies:
            names = [name for of, name in drawn if of is proxy]
            if names:
                self._command(proxy, "reset", *names)
        self.record.write(
            f"{len(drawn)} of {len(found)} connections to replicas are reset"
        )

    def read_replica_events(self):
        """Return what the replicas saw, in order of time."""
        lines = []
        for path in self.replica_records:
            if path.exists():
                lines += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["t"])

    def close(self):
        """End all processes."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def find_partition(job_id):
    """Return the number of the partition that a batch job belongs to."""
    return zlib.crc32(job_id.encode()) % PARTS


async def call(address, method, path, body=b"", headers=(), timeout_s=6.0):
    """Send one request on a connection of its own; return its status and body."""
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            rows = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
            rows += [f"{name}: {value}" for name, value in dict(headers).items()]
            rows += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(rows).encode() + body)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.transport.abort()
    head, _, rest = answer.partition(b"\r\n\r\n")
    if not head:
        return 0, b""
    if b"transfer-encoding: chunked" in head.lower():
        rest = _join_chunks(rest)
    return int(head.split()[1]), rest


def _join_chunks(data):
    """Return the body of chunks; an incomplete one raises `ValueError`."""
    body = b""
    while True:
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text, 16)
        if not size:
            return body
        if len(data) < size + 2:
            raise ValueError("the answer ends early")
        body += data[:size]
        data = data[size + 2 :]
