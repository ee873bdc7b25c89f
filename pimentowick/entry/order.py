"""Orders of operators: drain a host, cancel a job of any workspace.

A drained host takes no new work, finishes what runs and ends its process, as after
SIGTERM. Whether it starts again is up to the platform that runs the process.
"""

import time

import pydantic

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick import web as http_web
from pimentowick.configuration import change, document
from pimentowick.entry import handler, job

__all__ = ["CancelHandler", "DrainHandler"]

DRAIN = "drain"
ORDER_TIMEOUT_S = 5.0


class _Order(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    host: str = pydantic.Field(min_length=1)


class DrainHandler(handler.OperatorHandler):
    """``POST /v1/admin/drain``: drain an entry, an agent or a target."""

    async def post(self):
        """Answer 202 once the order is in the log and its host has it."""
        asked = handler.validate(_Order, self.read_json())
        host = self._find_host(asked.host)
        if host.role == "entry" and host.name != self.entry.settings.name:
            # That entry checks the operator's token and records the order itself.
            await self._pass_on(host, "/v1/admin/drain", {"host": host.name})
        else:
            await self._record(host.name)
            await self._carry_out(host)
        self.write_json({"host": host.name, "state": "draining"}, 202)

    async def _carry_out(self, host):
        if host.role == "entry":
            self.entry.shutdown_requests.request_drain()
        else:
            await self._pass_on(host, "/drain", {})

    def _find_host(self, name):
        """Return the host that is called `name`, or whose target is.

        Raises:
            RefusedError: There is none.
        """
        fleet = self.entry.fleet
        if name in fleet.entries:
            return fleet.entries[name]
        for peer in fleet.peers.values():
            if name in (peer.name, peer.report.get("target")):
                return peer.host
        known = ", ".join(sorted([*fleet.entries, *fleet.peers]))
        raise http_web.make_input_error(
            f"There is no host or target {name!r}. There are: {known}.", "unknown", 404
        )

    async def _record(self, name):
        # The record comes first: an order that was carried out and then lost from
        # the trail couldn't be accounted for. While the log is down, SIGTERM on the
        # host does the same without it.
        record = change.make_change(
            document.ORDER,
            name,
            0,
            self.operator.name,
            {"action": DRAIN},
            time.time(),
            self.get_client(),
        )
        try:
            note = await self.entry.publish(record)
        except exception.LogError as error:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "log_unavailable",
                    f"{error} The order was not passed on. Try again, or send SIGTERM"
                    " to the process on its host.",
                    retry_after=2.0,
                )
            ) from error
        if not note.accepted:
            raise http_web.make_input_error(f"{note.reason}.", "rejected")

    async def _pass_on(self, host, path, message):
        headers = {
            "Authorization": self.request.headers["Authorization"],
            handler.CLIENT: self.get_client(),
        }
        try:
            answer = await self.entry.client.fetch(
                "POST",
                host.address,
                path,
                message,
                headers,
                timeout_s=ORDER_TIMEOUT_S,
                new_connection=True,
            )
        except http_client.TransportError as error:
            raise exception.RefusedError(
                verdict.Refusal(
                    502,
                    "host_silent",
                    f"{host.name} did not confirm the order: {error} Look at the"
                    " status of the fleet, then order it again.",
                    error.verdict,
                    retry_after=1.0,
                )
            ) from error
        if answer.status != 202:
            raise exception.RefusedError(
                verdict.Refusal(
                    502,
                    "host_refused",
                    f"{host.name} refused the order with status {answer.status}.",
                )
            )


class CancelHandler(job.CancelHandler):
    """``POST /v1/admin/batches/{id}/cancel``: stop a job of any workspace."""

    def prepare(self):
        """Find the operator that the token names."""
        handler.OperatorHandler.prepare(self)

    def get_caller(self):
        """Return the name of the operator."""
        return self.operator.name

    def get_job(self, shard, job_id):
        """Return the job, whatever its workspace.

        Raises:
            RefusedError: There is none.
        """
        found = shard.ledger.jobs.get(job_id)
        if found is None:
            raise http_web.make_input_error("There is no such job.", "unknown_job", 404)
        return found
