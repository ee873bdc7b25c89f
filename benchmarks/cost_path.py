"""Sends load to a small deployment of separate processes and measures their usage."""

import asyncio
import dataclasses
import statistics
import time

import orjson

from benchmarks import cost_process
from pimentowick import client as http_client
from pimentowick.configuration import tokens
from pimentowick.fakes import embedded

__all__ = ["STEP_MS", "STREAM_TOKENS", "RequestPath", "Usage", "get_percentile"]

MODEL = "lm"
STEP_MS = 34
STREAM_TOKENS = 120
READY_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resources used during a load.

    Attributes:
        entry_cpu: Processor time of the entry, in seconds.
        agent_cpu: Processor time of the agent, in seconds.
        latencies: Latency of each request, in seconds.
        chunks: Number of stream events that the callers received.
        entry_memory: Peak resident memory of the entry, in bytes.
        agent_memory: Peak resident memory of the agent, in bytes.
    """

    entry_cpu: float
    agent_cpu: float
    latencies: list
    chunks: int = 0
    entry_memory: int = 0
    agent_memory: int = 0


class RequestPath:
    """One engine, one agent, one entry, a log and a host list in separate processes.

    Args:
        step_ms: Time between tokens at the engine, in milliseconds.
    """

    def __init__(self, step_ms=1):
        self._step_ms = step_ms
        self._children = []
        self.client = http_client.Client(128)

    async def start(self):
        """Start the processes and publish one workspace."""
        await self.client.start()
        log, hosts = self._start_fake("log"), self._start_fake("hosts")
        self.engine = self._start_fake("engine", f"base_step_ms={self._step_ms}")
        target = {
            "name": "lm-0",
            "address": self.engine.address,
            "kind": "engine",
            "service": MODEL,
            "max_online": 128,
        }
        fields = {"name": "agent-0", "failure_domain": "d0", "target": target}
        self.agent = self._track_child(cost_process.start_daemon("agent", fields))
        self.token, operator = tokens.make_token("bench")
        fields = {
            "name": "entry-0",
            "failure_domain": "d0",
            "platform": {"log": log.address, "hosts": hosts.address},
            "operators": [operator.to_dict()],
        }
        self.entry = self._track_child(cost_process.start_daemon("entry", fields))
        await self._register_host(hosts, "agent-0", "agent", self.agent.address)
        await self._register_host(hosts, "entry-0", "entry", self.entry.address)
        await self._publish()

    def _track_child(self, child):
        self._children.append(child)
        return child

    def _start_fake(self, kind, *pairs):
        arguments = ["-m", "pimentowick.fakes", kind]
        for pair in pairs:
            arguments += ["--set", pair]
        if kind == "engine":
            arguments += ["--set", f'models=["{MODEL}"]']
        return self._track_child(cost_process.Child(arguments))

    async def _register_host(self, hosts, name, role, address):
        fields = {"role": role, "address": address, "failure_domain": "d0"}
        fields["state"] = "live"
        await self.client.fetch("PUT", hosts.address, f"/hosts/{name}", fields)

    async def _wait_until(self, check):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while (await check()).status != 200:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"The deployment was not ready within {READY_TIMEOUT_S:g} s."
                )
            await asyncio.sleep(0.1)

    def _fetch_readiness(self):
        return self.client.fetch("GET", self.entry.address, "/ready")

    async def _publish(self):
        await self._wait_until(self._fetch_readiness)
        template = {"amends": 0, "body": embedded.TEMPLATE}
        made = await self._put_configuration("template/plain", template)
        text, token_record = tokens.make_token()
        body = {
            "template": "plain",
            "template_version": made["version"],
            "parameters": {},
            "tokens": [token_record.to_dict()],
            "stopped": False,
        }
        await self._put_configuration("workspace/a", {"amends": 0, "body": body})
        self.headers = {"Authorization": f"Bearer {text}"}
        await self._wait_until(lambda: self.send_chat(1))

    async def _put_configuration(self, path, body):
        headers = {"Authorization": f"Bearer {self.token}"}
        answer = await self.client.fetch(
            "PUT", self.entry.address, f"/v1/admin/{path}", body, headers
        )
        if answer.status != 200:
            raise AssertionError(
                f"PUT {path} failed with status {answer.status}: {answer.body}"
            )
        return answer.decode()

    async def close(self):
        """End the processes."""
        for child in reversed(self._children):
            child.close()
        await self.client.close()

    def make_body(self, max_tokens, stream=False):
        """Return the body of a chat completion."""
        messages = [{"role": "user", "content": "Which stands are free?"}]
        return {
            "model": MODEL,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": stream,
        }

    async def send_chat(self, max_tokens):
        """Send one chat completion and return the response."""
        return await self.client.fetch(
            "POST",
            self.entry.address,
            "/v1/chat/completions",
            self.make_body(max_tokens),
            self.headers,
            timeout_s=30,
        )

    async def send_to_engine(self, max_tokens):
        """Send one generation directly to the engine and return the response."""
        body = {
            "request_id": f"r-{time.monotonic_ns()}",
            "attempt": 1,
            "model": MODEL,
            "adapter": None,
            "prompt": "user: Which stands are free?",
            "max_tokens": max_tokens,
            "resume_tokens": 0,
        }
        return await self.client.fetch(
            "POST", self.engine.address, "/generate", body, timeout_s=30
        )

    async def run_requests(self, send, count, concurrency):
        """Send `count` requests, `concurrency` at a time, and return the `Usage`."""
        latencies = []
        remaining = iter(range(count))

        async def run():
            for _ in remaining:
                started_at = time.perf_counter()
                answer = await send()
                if answer.status != 200:
                    raise AssertionError(
                        f"request failed with status {answer.status}: {answer.body}"
                    )
                latencies.append(time.perf_counter() - started_at)

        before = self.entry.read_cpu(), self.agent.read_cpu()
        await asyncio.gather(*(run() for _ in range(concurrency)))
        return Usage(
            self.entry.read_cpu() - before[0],
            self.agent.read_cpu() - before[1],
            latencies,
        )

    async def run_streams(self, streams):
        """Run concurrent streams and return the `Usage`."""
        before = self.entry.read_cpu(), self.agent.read_cpu()
        running = asyncio.gather(*(self._read_stream() for _ in range(streams)))
        memory = [(0, 0)]
        while not running.done():
            memory.append((self.entry.read_memory(), self.agent.read_memory()))
            await asyncio.sleep(0.2)
        counts = running.result()
        return Usage(
            self.entry.read_cpu() - before[0],
            self.agent.read_cpu() - before[1],
            [],
            sum(counts),
            max(entry for entry, _ in memory),
            max(agent for _, agent in memory),
        )

    async def _read_stream(self):
        stream = self.client.open_stream(
            "POST",
            self.entry.address,
            "/v1/chat/completions",
            orjson.dumps(self.make_body(STREAM_TOKENS, stream=True)),
            self.headers,
            idle_s=30,
        )
        count = 0
        while lines := await stream.read_lines():
            count += sum(line.startswith(b"data: {") for line in lines)
        return count


def get_percentile(values, fraction):
    """Return the value below which a fraction of the values lies."""
    return statistics.quantiles(values, n=100)[round(fraction * 100) - 1]
