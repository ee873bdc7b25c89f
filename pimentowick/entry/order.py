"""HTTP handlers of operators' orders: drain a host, cancel a job of any workspace.

A drained host accepts no new work, completes its running work and exits, as after
SIGTERM. The platform that runs the process decides whether to restart it.
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
        """Respond 202 once the order is in the log and the host has accepted it."""
        requested = handler.validate(_Order, self.read_json())
        host = self._find_host(requested.host)
        if host.role == "entry" and host.name != self.entry.settings.name:
            # The other entry authorizes the operator and logs the order itself.
            await self._send_order(host, "/v1/admin/drain", {"host": host.name})
        else:
            await self._append_order(host.name)
            await self._execute_order(host)
        self.write_json({"host": host.name, "state": "draining"}, 202)

    async def _execute_order(self, host):
        if host.role == "entry":
            self.entry.shutdown_requests.request_drain()
        else:
            await self._send_order(host, "/drain", {})

    def _find_host(self, name):
        """Return the host named `name`, or the host of the target named `name`.

        Raises:
            RefusedError: There is no such host or target.
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

    async def _append_order(self, name):
        # Orders are logged before they are executed, so that the audit trail misses
        # none. While the log is down, the host can be drained by SIGTERM instead.
        record = change.make_change(
            document.ORDER,
            name,
            0,
            self.operator.name,
            {"action": DRAIN},
            time.time(),
            self.get_client_address(),
        )
        try:
            outcome = await self.entry.publish(record)
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
        if not outcome.accepted:
            raise http_web.make_input_error(f"{outcome.reason}.", "rejected")

    async def _send_order(self, host, path, message):
        headers = {
            "Authorization": self.request.headers["Authorization"],
            handler.FORWARDED_FOR: self.get_client_address(),
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
        """Authenticate the operator."""
        handler.OperatorHandler.prepare(self)

    def get_caller(self):
        """Return the name of the operator."""
        return self.operator.name

    def get_job(self, shard, job_id):
        """Return a job of any workspace.

        Raises:
            RefusedError: The job does not exist.
        """
        batch_job = shard.ledger.jobs.get(job_id)
        if batch_job is None:
            raise http_web.make_input_error("There is no such job.", "unknown_job", 404)
        return batch_job
