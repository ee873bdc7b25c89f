"""Runs a whole deployment as separate processes on loopback.

It is used by the demo, tests and benchmarks. `Deployment.close` stops all processes.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile

import yaml

from pimentowick import client as http_client
from pimentowick import exception
from pimentowick.configuration import tokens
from pimentowick.fakes import wait

__all__ = ["Deployment", "Process", "load_topology"]

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
READY_POLL_S = 0.05
PACKAGE_ROOT = pathlib.Path(__file__).resolve().parents[2]


@dataclasses.dataclass(slots=True)
class Process:
    """One process of a deployment.

    Attributes:
        name: Name of the host, of the target or of the fake.
        address: ``IP:port`` that it listens on.
        handle: The operating system's process.
        registration: Fields of its record in the host list; None if it is no host.
    """

    name: str
    address: str
    handle: asyncio.subprocess.Process
    registration: dict | None = None

    def send_signal(self, number):
        """Send a signal to the process."""
        self.handle.send_signal(number)


def load_topology(path):
    """Load the topology of a deployment from a YAML file."""
    return yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))


class Deployment:
    """The processes of one deployment.

    Args:
        topology: Dictionary as `load_topology` returns it.
        entry_settings: Settings of all entries that differ from the defaults.
        agent_settings: Settings of all agents that differ from the defaults.
        fakes: Settings of the fakes, by their kind.
        log_level: Log level of the daemons.

    Attributes:
        processes: `Process` by name.
        operator_token: API token of an operator.
        workspace_tokens: API token by workspace, set by `publish`.
    """

    def __init__(
        self,
        topology,
        entry_settings=None,
        agent_settings=None,
        fakes=None,
        log_level="WARNING",
    ):
        self.topology = topology
        self.processes = {}
        self.workspace_tokens = {}
        self.operator_token, self._operator = tokens.make_token("demo")
        self.client = http_client.Client(256)
        self._entry_settings = entry_settings or {}
        self._agent_settings = agent_settings or {}
        self._fake_settings = fakes or {}
        self._log_level = log_level
        self._directory = tempfile.TemporaryDirectory(prefix="pimentowick-")
        self._counters = {}

    async def start(self):
        """Start all processes and wait until every entry sees every agent."""
        await self.client.start()
        await asyncio.gather(*(self.start_fake(k, k) for k in ("log", "hosts")))
        starts = []
        for group in self.topology["targets"]:
            for index in range(group["replicas"]):
                starts.append(self.start_target(group, index))
        for index in range(self.topology["entries"]):
            starts.append(self.start_entry(index))
        await asyncio.gather(*starts)
        await self.wait_ready()

    async def close(self):
        """Stop all processes: entries first, then agents, then the rest."""
        for role in ("entry", "agent", None):
            names = [
                name
                for name, process in self.processes.items()
                if role is None or _has_role(process, role)
            ]
            await asyncio.gather(*(self.stop(name) for name in names))
        await self.client.close()
        self._directory.cleanup()

    @property
    def entries(self):
        """The running entries."""
        return [each for each in self.processes.values() if _has_role(each, "entry")]

    @property
    def agents(self):
        """The running agents."""
        return [each for each in self.processes.values() if _has_role(each, "agent")]

    def _get_failure_domain(self, index):
        domains = self.topology["failure_domains"]
        return domains[index % len(domains)]

    async def start_fake(self, name, kind, **fields):
        """Start a fake as a process.

        Args:
            name: Name of the process.
            kind: Kind of the fake; see `pimentowick.fakes.__main__`.
            **fields: Further settings of the fake.
        """
        arguments = ["-m", "pimentowick.fakes", kind]
        for key, value in {**self._fake_settings.get(kind, {}), **fields}.items():
            arguments += ["--set", f"{key}={json.dumps(value)}"]
        return await self._spawn(name, arguments)

    async def start_target(self, group, index):
        """Start a fake target and its agent."""
        name = f"{group['service']}-{index}"
        kind = group["kind"]
        fields = {"models": [group["service"]]} if kind == "engine" else {}
        target = await self.start_fake(name, kind, **fields)
        await self.start_agent(name, group, index, target.address)

    async def start_agent(self, name, group, index, address):
        """Start the agent of a running target."""
        settings = {
            "name": f"agent-{name}",
            "failure_domain": self._get_failure_domain(index),
            "log_level": self._log_level,
            "batch_harm": self.topology.get("batch_harm", "averse"),
            **self._agent_settings,
        }
        target = {
            "name": name,
            "address": address,
            "kind": group["kind"],
            "service": group["service"],
            **self._agent_settings.get("target", {}),
        }
        settings["target"] = target
        await self._start_host("agent", settings)

    async def start_entry(self, index):
        """Start an entry."""
        settings = {
            "name": f"entry-{index}",
            "failure_domain": self._get_failure_domain(index),
            "log_level": self._log_level,
            "operators": [self._operator.to_dict()],
            **self._entry_settings,
        }
        platform = {
            "log": self.processes["log"].address,
            "hosts": self.processes["hosts"].address,
            **self._entry_settings.get("platform", {}),
        }
        settings["platform"] = platform
        await self._start_host("entry", settings)

    async def _start_host(self, role, settings):
        name = settings["name"]
        path = pathlib.Path(self._directory.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        process = await self._spawn(name, ["-m", f"pimentowick.{role}", str(path)])
        process.registration = {
            "role": role,
            "address": process.address,
            "failure_domain": settings["failure_domain"],
            "state": "live",
        }
        await self.register_host(name, **process.registration)

    async def _spawn(self, name, arguments):
        environment = {**os.environ, "PYTHONPATH": str(PACKAGE_ROOT)}
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env=environment,
        )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await handle.stdout.readline()
            address = json.loads(line)["listening"]
        except (TimeoutError, ValueError) as error:
            handle.kill()
            raise exception.UnavailableError(
                f"{name} did not report its address on standard output"
            ) from error
        except asyncio.CancelledError:
            # The process is not registered yet, so `close` would not stop it.
            handle.kill()
            await handle.wait()
            raise
        process = Process(name, address, handle)
        self.processes[name] = process
        return process

    async def register_host(self, name, **fields):
        """Add a host to the host list or update it."""
        await self.client.fetch(
            "PUT", self.processes["hosts"].address, f"/hosts/{name}", fields
        )

    async def unregister_host(self, name):
        """Remove a host from the host list."""
        await self.client.fetch(
            "DELETE", self.processes["hosts"].address, f"/hosts/{name}"
        )

    async def kill(self, name):
        """Kill a process without unregistering its host."""
        process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.handle.kill()
        await process.handle.wait()

    async def stop(self, name):
        """Stop a process with SIGTERM, or SIGKILL on timeout; return its exit code."""
        process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.handle.send_signal(signal.SIGCONT)
            process.handle.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.handle.wait()
        except TimeoutError:
            process.handle.kill()
            return await process.handle.wait()

    async def fetch(self, entry, method, path, body=None, token=None, **fields):
        """Send a request to an entry.

        Args:
            entry: Index of the entry among the running ones.
            method: HTTP method.
            path: Path of the request.
            body: JSON body, or None.
            token: API token; that of the operator if None.
            **fields: Further arguments of `pimentowick.client.Client.fetch`.
        """
        headers = dict(fields.pop("headers", {}))
        headers["Authorization"] = f"Bearer {token or self.operator_token}"
        address = self.entries[entry % len(self.entries)].address
        return await self.client.fetch(method, address, path, body, headers, **fields)

    async def wait_for(self, predicate, timeout_s=START_TIMEOUT_S):
        """Wait for a condition, as `pimentowick.fakes.wait.wait_for` does."""
        return await wait.wait_for(predicate, timeout_s, READY_POLL_S)

    async def wait_ready(self):
        """Wait until every entry is ready and every agent usable."""
        await self.wait_for(self._is_ready)

    async def _is_ready(self):
        expected = {agent.name for agent in self.agents}
        names = {entry.name for entry in self.entries}
        for index in range(len(self.entries)):
            response = await self.fetch(index, "GET", "/v1/admin/status")
            if response.status != 200:
                return False
            status = response.decode()
            usable = {n for n, agent in status["agents"].items() if agent["usable"]}
            if not expected <= usable or not names <= set(status["entries"]):
                return False
            if not all(shard["ready"] for shard in status["shards"].values()):
                return False
        return True

    async def publish(self):
        """Publish the template and the workspaces of the topology, with API tokens."""
        template = self.topology["template"]
        version = await self.change("template", template["name"], 0, template["body"])
        for name, parameters in self.topology["workspaces"].items():
            text, entry = tokens.make_token()
            body = {
                "template": template["name"],
                "template_version": version,
                "parameters": parameters,
                "tokens": [entry.to_dict()],
                "stopped": False,
            }
            await self.change("workspace", name, 0, body)
            self.workspace_tokens[name] = text

    async def change(self, kind, name, amends, body, entry=0):
        """Publish a configuration change, wait until applied, and return its version.

        Args:
            kind: Kind of the document, such as ``workspace``.
            name: Name of the document.
            amends: Version that the change is based on; 0 for a new document.
            body: The document.
            entry: Index of the entry among the running ones.

        Raises:
            ConflictError: The change was rejected.
        """
        message = {"amends": amends, "body": body, "wait": True}
        response = await self.fetch(entry, "PUT", f"/v1/admin/{kind}/{name}", message)
        if response.status != 200:
            raise exception.ConflictError(response.body.decode())
        return response.decode()["version"]


def _has_role(process, role):
    return process.registration is not None and process.registration["role"] == role
