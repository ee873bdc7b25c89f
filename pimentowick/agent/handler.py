"""Request handlers of an agent for entries, placement orders and health probes."""

import asyncio
import contextlib
import dataclasses

from tornado import iostream

from pimentowick import exception
from pimentowick import web as http_web
from pimentowick.agent import work as agent_work
from pimentowick.membership import report as membership_report
from pimentowick.placement import order as placement_order

__all__ = [
    "AgentHandler",
    "DrainHandler",
    "HealthHandler",
    "HeartbeatHandler",
    "OrderHandler",
    "ReadyHandler",
    "StopJobHandler",
    "WorkHandler",
]

# Not read by entries; removed to reduce the size of heartbeat responses.
OMITTED_HEADERS = ("Server", "Date", "Content-Type")


class AgentHandler(http_web.JsonHandler):
    """Base class of handlers with access to the agent."""

    def initialize(self, agent):
        """Store the agent."""
        self.agent = agent


class WorkHandler(AgentHandler):
    """Executes one request and streams the lines of its response."""

    def initialize(self, agent):
        """Store the agent."""
        super().initialize(agent)
        self.work = None
        self._task = None
        self._stop_refusal = None
        self._no_line_sent = False
        self._flushing = False

    async def post(self):
        """Execute the request and respond with its lines."""
        work = agent_work.parse_work(self.read_json())
        self.work = work
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            self.agent.check_admissible(work)
        except exception.RefusedError as error:
            self._record_refusal(error.refusal)
            self.finish(work.make_refusal(error.refusal))
            return
        self._task = asyncio.ensure_future(self._run(work))
        self.agent.running.add(self)
        try:
            await self._task
        except asyncio.CancelledError:
            self._end_cancelled()
        except iostream.StreamClosedError:
            return
        finally:
            self.agent.running.discard(self)

    def _end_cancelled(self):
        if self._stop_refusal is None:
            # The response is left without a last line, and the entry treats it as
            # truncated.
            self.request.connection.close()
            return
        self._record_refusal(self._stop_refusal)
        self.write(self.work.make_refusal(self._stop_refusal))
        self.finish()

    async def _run(self, work):
        try:
            lines = work.run(self.agent.target, self.agent.admission)
            async with contextlib.aclosing(lines):
                async for line in lines:
                    await self._send(line)
        except exception.RefusedError as error:
            self._record_refusal(error.refusal)
            self.write(work.make_refusal(error.refusal))
        else:
            self.agent.metrics.count_answered(work.envelope.priority)
        self.finish()

    async def _send(self, line):
        # Wait for the flush so that a slow reader applies backpressure.
        self._no_line_sent = False
        self.write(line)
        self._flushing = True
        await self.flush()
        self._flushing = False

    def _record_refusal(self, refusal):
        self.agent.metrics.count_refused(refusal.code, refusal.verdict)

    def send_keepalive(self):
        """Send a keep-alive line if no line was sent since the last call."""
        if self._flushing or self._finished:
            # Tornado never resolves a pending flush that is followed by another one,
            # so the response would stall. The unsent data serves as keep-alive.
            return
        if self._no_line_sent:
            self.write(self.work.make_keepalive())
            self.flush()
        self._no_line_sent = True

    def cancel(self, refusal=None):
        """Cancel the request.

        Args:
            refusal: `pimentowick.verdict.Refusal` that tells the entry why; None to
                close the connection.
        """
        if self._task is not None:
            self._stop_refusal = refusal
            self._task.cancel()

    def on_connection_close(self):
        """Cancel the request, as the entry has disconnected."""
        self.cancel()


class HeartbeatHandler(AgentHandler):
    """Reports the agent's state to an entry and renews the entry's lease."""

    def post(self):
        """Respond to a heartbeat."""
        data = self.read_json()
        report = self.agent.answer_heartbeat(data["entry"], data.get("have"))
        report = membership_report.omit_defaults(report)
        if data.get("renew") is not None:
            report["lease"] = self.agent.leases.renew(data["entry"], data["renew"])
        for name in OMITTED_HEADERS:
            self.clear_header(name)
        self.write_json(report)

    def compute_etag(self):
        """Return None, as responses are not cached."""


class StopJobHandler(AgentHandler):
    """Stops the items of a cancelled job."""

    async def post(self):
        """Respond after all items of the job have been cancelled."""
        job = self.read_json()["job"]
        self.write_json({"cancelled": await self.agent.stop_job(job)})


class DrainHandler(AgentHandler):
    """Starts a graceful shutdown of the agent, like SIGTERM."""

    def post(self):
        """Respond immediately; `GET /ready` reports the progress."""
        self.agent.shutdown_requests.request_drain()
        self.write_json({"state": "draining"}, 202)


class OrderHandler(AgentHandler):
    """Accepts a placement order, or reports the status of the same order."""

    def post(self):
        """Respond with the status of the order, or with 409 if it is rejected."""
        orders = self.agent.orders
        try:
            order = placement_order.parse_order(self.read_json())
            self.write_json(dataclasses.asdict(orders.submit(order)))
        except exception.ValidationError as error:
            self.write_json({"error": str(error)}, 400)
        except exception.ConflictError as error:
            body = {"error": str(error), "fence": orders.fence, "boot": orders.boot}
            self.write_json(body, 409)


class HealthHandler(AgentHandler):
    """Liveness probe."""

    def get(self):
        """Respond with the state of the agent."""
        self.write_json({"state": self.agent.state})


class ReadyHandler(HealthHandler):
    """Readiness probe."""

    def get(self):
        """Respond with 200 if new requests are accepted, otherwise with 503."""
        status = 200 if self.agent.is_ready else 503
        self.write_json(self.agent.describe(), status)
