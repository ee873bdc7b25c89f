"""A small deployment within one process, for integration tests.

Real entries and agents communicate with fakes over sockets in a single event loop, so
that a test starts fast and can inspect their state. Tests that kill or suspend
processes use `pimentowick.fakes.deployment`.
"""

import asyncio

import orjson

from pimentowick import client as http_client
from pimentowick import exception
from pimentowick import settings as process_settings
from pimentowick.agent import daemon as agent_daemon
from pimentowick.configuration import tokens
from pimentowick.entry import daemon as entry_daemon
from pimentowick.fakes import engine, hosts, log, service, wait

__all__ = [
    "MODEL",
    "SERVICE",
    "TEMPLATE",
    "EmbeddedDeployment",
    "make_job_lines",
    "run",
]

MODEL = "lm"
SERVICE = "desk"
WAIT_S = 20.0
POLL_S = 0.01
TEMPLATE = {
    "parameters": {"share": {"type": "number", "default": 1.0}},
    "workspace": {
        "weight": "${share}",
        "models": {MODEL: {"deadline_s": 10.0, "max_tokens": 512}},
        "services": {SERVICE: {"idempotent": False, "deadline_s": 5.0}},
    },
}
# The timeouts are shorter than in a real deployment, so that tests run faster.
ENTRY_SETTINGS = {
    "shards": 2,
    "host_poll_s": 0.1,
    "heartbeat_s": 0.1,
    "takeover_s": 1.5,
    "flush_s": 0.05,
    "append_s": 2.0,
    "lame_duck_s": 0.2,
    "drain_s": 5.0,
    "idle_s": 1.0,
}
AGENT_SETTINGS = {
    "lease_s": 1.0,
    "alive_s": 0.2,
    "lame_duck_s": 0.2,
    "drain_s": 5.0,
    "idle_s": 2.0,
}


class EmbeddedDeployment:
    """A deployment within this process.

    Args:
        entries: Number of entries.
        engines: Number of engines, each with an agent.
        services: Number of plain services, each with an agent.
        entry_settings: Settings of the entries that differ from `ENTRY_SETTINGS`.
        agent_settings: Settings of the agents that differ from `AGENT_SETTINGS`.
        engine_settings: Settings of the fake engines.
        log_settings: Settings of the fake log.
        host_lag_s: Lag of the fake host list, in seconds.

    Attributes:
        log: The fake log.
        hosts: The fake host list.
        entries: Entries by name; ``entry-0`` and so on.
        agents: Agents by name; ``agent-lm-0``, ``agent-desk-0`` and so on.
        targets: Fake engines and services by name; ``lm-0``, ``desk-0`` and so on.
        tokens: API token by workspace, ``a`` and ``b``.
        caller_client: HTTP client of `fetch`; None for the one that is shared.
    """

    caller_client = None

    def __init__(
        self,
        entries=2,
        engines=2,
        services=1,
        entry_settings=None,
        agent_settings=None,
        engine_settings=None,
        log_settings=None,
        host_lag_s=0.0,
    ):
        self.log = log.Log(**(log_settings or {}))
        self.hosts = hosts.HostList(lag_s=host_lag_s)
        self.entries = {}
        self.agents = {}
        self.targets = {}
        self.tokens = {}
        self.client = http_client.Client(256)
        self.operator_token, self._operator = tokens.make_token("test")
        self._counts = (entries, engines, services)
        self._entry_settings = {**ENTRY_SETTINGS, **(entry_settings or {})}
        self._agent_settings = {**AGENT_SETTINGS, **(agent_settings or {})}
        self._engine_settings = {"base_step_ms": 2, **(engine_settings or {})}

    async def start(self):
        """Start all components and publish the workspaces ``a`` and ``b``."""
        await self.client.start()
        await self.log.start()
        await self.hosts.start()
        entries, engines, services = self._counts
        for index in range(engines):
            target = engine.Engine(models=[MODEL], **self._engine_settings)
            await self.add_target(f"{MODEL}-{index}", "engine", MODEL, target)
        for index in range(services):
            target = service.Service()
            await self.add_target(f"{SERVICE}-{index}", "service", SERVICE, target)
        for index in range(entries):
            await self.add_entry(f"entry-{index}")
        await self.wait_for(self.is_ready)
        await self.publish()

    async def close(self):
        """Close all components."""
        for group in (self.entries, self.agents, self.targets):
            for name in list(group):
                await group.pop(name).close()
        await self.hosts.close()
        await self.log.close()
        await self.client.close()

    async def add_target(self, name, kind, service_name, target, **target_settings):
        """Start a fake target and its agent."""
        await target.start()
        self.targets[name] = target
        await self.add_agent(
            f"agent-{name}", name, kind, service_name, **target_settings
        )

    async def add_agent(self, name, target_name, kind, service_name, **target_settings):
        """Start an agent for a running target."""
        fields = dict(self._agent_settings)
        target = {
            "name": target_name,
            "address": self.targets[target_name].address,
            "kind": kind,
            "service": service_name,
            **fields.pop("target", {}),
            **target_settings,
        }
        settings = process_settings.AgentSettings(
            name=name, failure_domain="here", target=target, **fields
        )
        agent = agent_daemon.Agent(settings)
        await agent.start()
        self.agents[name] = agent
        await self.register_host(name, "agent", agent.address)

    async def add_entry(self, name):
        """Start an entry."""
        platform = {"log": self.log.address, "hosts": self.hosts.address}
        fields = dict(self._entry_settings)
        platform.update(fields.pop("platform", {}))
        settings = process_settings.EntrySettings(
            name=name,
            failure_domain="here",
            platform=platform,
            operators=[self._operator.to_dict()],
            **fields,
        )
        entry = entry_daemon.Entry(settings)
        await entry.start()
        self.entries[name] = entry
        await self.register_host(name, "entry", entry.address)
        return entry

    async def register_host(self, name, role, address, state="live"):
        """Add a host to the host list or update it."""
        fields = {
            "role": role,
            "address": address,
            "failure_domain": "here",
            "state": state,
        }
        await self.client.fetch("PUT", self.hosts.address, f"/hosts/{name}", fields)

    async def unregister_host(self, name):
        """Remove a host from the host list."""
        await self.client.fetch("DELETE", self.hosts.address, f"/hosts/{name}")

    async def crash(self, name):
        """Close an entry, agent or target without draining or unregistering it."""
        for group in (self.entries, self.agents, self.targets):
            if name in group:
                await group.pop(name).close()

    def is_ready(self):
        """Return whether all entries see all agents and have caught up with the log."""
        for entry in self.entries.values():
            if not entry.is_ready or set(entry.fleet.entries) != set(self.entries):
                return False
            if set(entry.fleet.peers) != set(self.agents):
                return False
            if not all(map(entry.fleet.is_usable, entry.fleet.peers.values())):
                return False
            if not _follows_all_shards(entry):
                return False
            if not all(each.replica.ready for each in entry.table.followed.values()):
                return False
        return True

    async def publish(self):
        """Publish the template and the workspaces ``a`` and ``b``."""
        version = await self.change("template", "plain", 0, TEMPLATE)
        for name in ("a", "b"):
            text, entry = tokens.make_token()
            body = {
                "template": "plain",
                "template_version": version,
                "parameters": {},
                "tokens": [entry.to_dict()],
                "stopped": False,
            }
            await self.change("workspace", name, 0, body)
            self.tokens[name] = text

    async def change(self, kind, name, amends, body):
        """Publish a configuration change, wait until applied, and return its version.

        Args:
            kind: Kind of the document, such as ``workspace``.
            name: Name of the document.
            amends: Version that the change is based on; 0 for a new document.
            body: The document.

        Raises:
            ConflictError: The change was rejected.
        """
        message = {"amends": amends, "body": body, "wait": True}
        path = f"/v1/admin/{kind}/{name}"
        response = await self.fetch("PUT", path, message, token=self.operator_token)
        if response.status != 200:
            raise exception.ConflictError(response.body.decode())
        return response.decode()["version"]

    async def fetch(
        self, method, path, body=None, entry=None, token=None, headers=None, **fields
    ):
        """Send a request to an entry; by default to the first, as workspace ``a``."""
        name = next(iter(self.entries)) if entry is None else entry
        headers = dict(headers or {})
        headers["Authorization"] = f"Bearer {token or self.tokens.get('a')}"
        address = self.entries[name].address
        client = self.caller_client or self.client
        return await client.fetch(method, address, path, body, headers, **fields)

    async def chat(self, content, max_tokens=8, **fields):
        """Request a chat completion and return the response."""
        messages = [{"role": "user", "content": content}]
        body = {"model": MODEL, "messages": messages, "max_tokens": max_tokens}
        return await self.fetch("POST", "/v1/chat/completions", body, **fields)

    async def submit(self, lines, key, **fields):
        """Submit a batch job and return the response."""
        headers = {"Idempotency-Key": key, **fields.pop("headers", {})}
        return await self.fetch("POST", "/v1/batches", lines, headers=headers, **fields)

    async def read_results(self, job_id, **fields):
        """Return the results of a job as a list of dictionaries."""
        response = await self.fetch("GET", f"/v1/batches/{job_id}/results", **fields)
        if response.status != 200:
            raise exception.UnavailableError(response.body.decode())
        return [orjson.loads(line) for line in response.body.splitlines()]

    async def wait_for(self, predicate, timeout_s=WAIT_S):
        """Wait for a condition, as `pimentowick.fakes.wait.wait_for` does."""
        return await wait.wait_for(predicate, timeout_s, POLL_S)

    async def wait_for_job(self, job_id, status="completed", **fields):
        """Wait until a job has a status and return the job as a dictionary."""

        async def has_status():
            response = await self.fetch("GET", f"/v1/batches/{job_id}", **fields)
            job = response.decode() if response.status == 200 else {}
            return job if job.get("status") == status else None

        return await self.wait_for(has_status)


def _follows_all_shards(entry):
    """Return whether an entry follows all shards assigned to it."""
    return all(
        number in entry.table.followed
        for number in range(entry.settings.shards)
        if entry.settings.name in entry.table.list_followers(number)
    )


def run(check, **settings):
    """Run ``check(deployment)`` in a new deployment.

    Args:
        check: Coroutine function that takes the `EmbeddedDeployment`.
        **settings: Arguments of `EmbeddedDeployment`.
    """

    async def run_check():
        fleet = EmbeddedDeployment(**settings)
        try:
            await fleet.start()
            await check(fleet)
        finally:
            await fleet.close()

    asyncio.run(run_check())


def make_job_lines(count, max_tokens=4, prefix="item", model=MODEL):
    """Return the JSON lines of a job with the items ``{prefix}-0`` and so on."""
    rows = []
    for number in range(count):
        name = f"{prefix}-{number}"
        messages = [{"role": "user", "content": name}]
        body = {"model": model, "messages": messages, "max_tokens": max_tokens}
        rows.append(orjson.dumps({"custom_id": name, "body": body}))
    return b"\n".join(rows)
