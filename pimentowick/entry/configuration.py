"""What operators publish, amend and look up."""

import asyncio
import time

import pydantic

from pimentowick import exception, verdict
from pimentowick import web as http_web
from pimentowick.configuration import change
from pimentowick.entry import handler

__all__ = [
    "DocumentHandler",
    "StatusHandler",
    "VersionHandler",
    "count_in_force",
    "describe_entry",
]

IN_FORCE_POLL_S = 0.1
IN_FORCE_TIMEOUT_S = 5.0
PEER_TIMEOUT_S = 1.0


class _Change(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    amends: int = pydantic.Field(ge=0)
    body: dict
    wait: bool = False


class DocumentHandler(handler.OperatorHandler):
    """``/v1/admin/{kind}/{name}``: look up, publish or amend a document."""

    def get(self, kind, name):
        """Answer with the document in force."""
        found = self.entry.configuration.get_document(kind, name)
        if found is None:
            raise http_web.make_input_error(
                f"There is no {kind} {name!r}.", "unknown", 404
            )
        self.write_json(
            {
                "kind": kind,
                "name": name,
                "version": found.version,
                "by": found.by,
                "at": found.at,
                "body": found.body,
            }
        )

    async def put(self, kind, name):
        """Publish a change, and answer what became of it."""
        asked = handler.validate(_Change, self.read_json())
        record = change.make_change(
            kind,
            name,
            asked.amends,
            self.operator.name,
            asked.body,
            time.time(),
            self.get_client(),
        )
        note = await self._append(record)
        if not note.accepted:
            raise exception.RefusedError(_explain_note(note))
        answer = {"version": note.version_after}
        answer.update(await self.entry.count_in_force(note.version_after, asked.wait))
        self.write_json(answer)

    async def _append(self, record):
        try:
            return await self.entry.publish(record)
        except exception.LogThrottledError as error:
            raise exception.RefusedError(
                verdict.Refusal(503, "log_full", f"{error} Try again.", retry_after=1.0)
            ) from error
        except exception.LogError as error:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "unknown_outcome",
                    f"{error} Look the document up before you try again.",
                    verdict.Verdict.MAY_HAVE_RUN,
                    retry_after=2.0,
                )
            ) from error


def _explain_note(note):
    if note.reason.startswith("conflict"):
        return verdict.Refusal(
            409,
            "conflict",
            f"{note.reason}. Amend the version in force.",
            retry_after=0,
        )
    return verdict.Refusal(400, "rejected", f"{note.reason}. Mend the change.")


class VersionHandler(handler.PeerHandler):
    """``GET /peer/version``: the version in force at this entry, and its state."""

    def get(self):
        """Answer with the version."""
        self.write_json(describe_entry(self.entry))


class StatusHandler(handler.OperatorHandler):
    """``GET /v1/admin/status``: the fleet as this entry sees it."""

    async def get(self):
        """Answer with agents, shards, and what each entry says of itself."""
        status = self.entry.describe()
        hosts = list(self.entry.fleet.entries.values())
        reports = await asyncio.gather(*(_read_report(self.entry, h) for h in hosts))
        for host, report in zip(hosts, reports, strict=True):
            if host.name in status["entries"]:
                status["entries"][host.name].update(report)
        self.write_json(status)


def describe_entry(entry):
    """Return the version in force at an entry, its state, and how old its copy is.

    `lag_s` is the age of the last read that reached the head of the configuration
    stream, in seconds; None before the first.
    """
    fresh_at = entry.configuration_replica.fresh_at
    lag_s = None if fresh_at is None else round(time.monotonic() - fresh_at, 3)
    return {
        "version": entry.configuration.version,
        "state": entry.state,
        "lag_s": lag_s,
    }


async def _read_report(entry, host):
    """Return what an entry says of itself; only a state if it does not answer."""
    if host.name == entry.settings.name:
        return describe_entry(entry)
    try:
        answer = await entry.client.fetch(
            "GET", host.address, "/peer/version", timeout_s=PEER_TIMEOUT_S
        )
        return answer.decode()
    except exception.PimentowickError:
        return {"state": "silent", "version": None, "lag_s": None}


async def count_in_force(entry, version, wait):
    """Return at how many entries a version is in force.

    Args:
        entry: `pimentowick.entry.daemon.Entry`.
        version: The version.
        wait: Whether to wait until it is in force at all of them, for a while.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        hosts = list(entry.fleet.entries.values())
        checks = [_has_version(entry, host, version) for host in hosts]
        count = sum(await asyncio.gather(*checks))
        if not wait or count == len(hosts) or time.monotonic() >= deadline:
            return {"in_force": count, "of": len(hosts)}
        await asyncio.sleep(IN_FORCE_POLL_S)


async def _has_version(entry, host, version):
    report = await _read_report(entry, host)
    return report["version"] is not None and report["version"] >= version
