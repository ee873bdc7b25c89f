"""HTTP handlers of configuration documents and of the status of the fleet."""

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

VERSION_POLL_S = 0.1
VERSION_TIMEOUT_S = 5.0
REPORT_TIMEOUT_S = 1.0


class _Change(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    amends: int = pydantic.Field(ge=0)
    body: dict
    wait: bool = False


class DocumentHandler(handler.OperatorHandler):
    """``/v1/admin/{kind}/{name}``: read, publish or amend a document."""

    def get(self, kind, name):
        """Respond with the current version of the document."""
        document = self.entry.configuration.get_document(kind, name)
        if document is None:
            raise http_web.make_input_error(
                f"There is no {kind} {name!r}.", "unknown", 404
            )
        self.write_json(
            {
                "kind": kind,
                "name": name,
                "version": document.version,
                "by": document.by,
                "at": document.at,
                "body": document.body,
            }
        )

    async def put(self, kind, name):
        """Publish a change and respond with its outcome."""
        requested = handler.validate(_Change, self.read_json())
        record = change.make_change(
            kind,
            name,
            requested.amends,
            self.operator.name,
            requested.body,
            time.time(),
            self.get_client_address(),
        )
        outcome = await self._append(record)
        if not outcome.accepted:
            raise exception.RefusedError(_make_rejection(outcome))
        answer = {"version": outcome.version_after}
        answer.update(
            await self.entry.count_in_force(outcome.version_after, requested.wait)
        )
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


def _make_rejection(outcome):
    if outcome.reason.startswith("conflict"):
        return verdict.Refusal(
            409,
            "conflict",
            f"{outcome.reason}. Amend the version in force.",
            retry_after=0,
        )
    return verdict.Refusal(400, "rejected", f"{outcome.reason}. Mend the change.")


class VersionHandler(handler.PeerHandler):
    """``GET /peer/version``: configuration version and state of this entry."""

    def get(self):
        """Respond with the configuration version and state."""
        self.write_json(describe_entry(self.entry))


class StatusHandler(handler.OperatorHandler):
    """``GET /v1/admin/status``: the status of the fleet as seen by this entry."""

    async def get(self):
        """Respond with agents, shards and the status reported by each entry."""
        status = self.entry.describe()
        hosts = list(self.entry.fleet.entries.values())
        reports = await asyncio.gather(*(_fetch_report(self.entry, h) for h in hosts))
        for host, report in zip(hosts, reports, strict=True):
            if host.name in status["entries"]:
                status["entries"][host.name].update(report)
        self.write_json(status)


def describe_entry(entry):
    """Return an entry's configuration version, its state and its replication lag.

    `lag_s` is the time in seconds since the entry last read up to the end of the
    configuration stream; None before the first time.
    """
    caught_up_at = entry.configuration_replica.caught_up_at
    lag_s = None if caught_up_at is None else round(time.monotonic() - caught_up_at, 3)
    return {
        "version": entry.configuration.version,
        "state": entry.state,
        "lag_s": lag_s,
    }


async def _fetch_report(entry, host):
    """Return the report of an entry; its state is "silent" if it does not respond."""
    if host.name == entry.settings.name:
        return describe_entry(entry)
    try:
        answer = await entry.client.fetch(
            "GET", host.address, "/peer/version", timeout_s=REPORT_TIMEOUT_S
        )
        return answer.decode()
    except exception.PimentowickError:
        return {"state": "silent", "version": None, "lag_s": None}


async def count_in_force(entry, version, wait):
    """Return the number of entries that have applied a configuration version.

    Args:
        entry: `pimentowick.entry.daemon.Entry`.
        version: The version.
        wait: Whether to wait up to `VERSION_TIMEOUT_S` for all entries.
    """
    deadline = time.monotonic() + VERSION_TIMEOUT_S
    while True:
        hosts = list(entry.fleet.entries.values())
        checks = [_has_version(entry, host, version) for host in hosts]
        count = sum(await asyncio.gather(*checks))
        if not wait or count == len(hosts) or time.monotonic() >= deadline:
            return {"in_force": count, "of": len(hosts)}
        await asyncio.sleep(VERSION_POLL_S)


async def _has_version(entry, host, version):
    report = await _fetch_report(entry, host)
    return report["version"] is not None and report["version"] >= version
