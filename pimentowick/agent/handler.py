"""What an agent answers to entries, to the decider on placement, and to probes."""

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

# Entries don't read these; a heartbeat answer is smaller without them.
UNUSED_HEADERS = ("Server", "Date", "Content-Type")


class AgentHandler(http_web.JsonHandler):
    """Knows the agent."""

    def initialize(self, agent):
        """Take the agent."""
        self.agent = agent


class WorkHandler(AgentHandler):
    """One request at work; its connection's task runs it."""

    def initialize(self, agent):
        """Take the agent."""
        super().initialize(agent)
        self.work = None
        self._task = None
        self._idle = False
        self._flushing = False

    async def post(self):
        """Run a request and answer with its lines."""
        work = agent_work.parse_work(self.read_json())
        self.work = work
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            self.agent.check(work)
        except exception.RefusedError as error:
            self._count(error.refusal)
            self.finish(work.make_refusal(error.refusal))
            return
        self._task = asyncio.ensure_future(self._run(work))
        self.agent.running.add(self)
        try:
            await self._task
        except asyncio.CancelledError:
            # The lease lapsed, or the entry is gone: without a last line the entry
            # sees the answer as broken, which is what it is.
            self.request.connection.close()
        except iostream.StreamClosedError:
            return
        finally:
            self.agent.running.discard(self)

    async def _run(self, work):
        try:
            lines = work.run(self.agent.target, self.agent.admission)
            async with contextlib.aclosing(lines):
                async for line in lines:
                    await self._send(line)
        except exception.RefusedError as error:
            self._count(error.refusal)
            self.write(work.make_refusal(error.refusal))
        else:
            self.agent.metrics.count_answered(work.envelope.priority)
        self.finish()

    async def _send(self, line):
        # What came together is flushed at once; the loop goes on to other
        # connections while the kernel takes it.
        self._idle = False
        self.write(line)
        self._flushing = True
        await self.flush()
        self._flushing = False

    def _count(self, refusal):
        self.agent.metrics.count_refused(refusal.code, refusal.verdict)

    def send_alive(self):
        """Send a keep-alive line if nothing was sent since the last call."""
        if self._flushing or self._finished:
            # Tornado forgets a flush that another one overtakes: an entry that was
            # slow to read would never get the rest. What waits in the socket
            # already shows that this end lives.
            return
        if self._idle:
            self.write(self.work.make_alive())
            self.flush()
        self._idle = True

    def cancel(self):
        """End the request."""
        if self._task is not None:
            self._task.cancel()

    def on_connection_close(self):
        """End the request: nobody waits for it any more."""
        self.cancel()


class HeartbeatHandler(AgentHandler):
    """Tells an entry how the agent is, and renews the entry's lease."""

    def post(self):
        """Answer a heartbeat."""
        data = self.read_json()
        answer = self.agent.answer_heartbeat(data["entry"], data.get("have"))
        answer = membership_report.omit_defaults(answer)
        if data.get("renew") is not None:
            answer["lease"] = self.agent.leases.renew(data["entry"], data["renew"])
        for name in UNUSED_HEADERS:
            self.clear_header(name)
        self.write_json(answer)

    def compute_etag(self):
        """Return None: no answer is asked for again."""


class StopJobHandler(AgentHandler):
    """Ends the items of a cancelled job."""

    async def post(self):
        """Answer once no item of the job runs here."""
        job = self.read_json()["job"]
        self.write_json({"cancelled": await self.agent.stop_job(job)})


class DrainHandler(AgentHandler):
    """Makes the agent drain and its process end, as SIGTERM does."""

    def post(self):
        """Answer at once; `GET /ready` shows how it goes on."""
        self.agent.shutdown_requests.request_drain()
        self.write_json({"state": "draining"}, 202)


class OrderHandler(AgentHandler):
    """Takes an order to the engine, or tells how the same order fares."""

    def post(self):
        """Answer with the order's status; 409 if it is not taken."""
        orders = self.agent.orders
        try:
            order = placement_order.parse_order(self.read_json())
            self.write_json(dataclasses.asdict(orders.submit(order)))
        except exception.ValidationError as error:
            self.write_json({"error": str(error)}, 400)
        except exception.ConflictError as error:
            answer = {"error": str(error), "fence": orders.fence, "boot": orders.boot}
            self.write_json(answer, 409)


class HealthHandler(AgentHandler):
    """Liveness: the loop turns."""

    def get(self):
        """Answer that the process lives."""
        self.write_json({"state": self.agent.state})


class ReadyHandler(HealthHandler):
    """Readiness: new work is taken."""

    def get(self):
        """Answer 200 while new work is taken, 503 otherwise."""
        status = 200 if self.agent.is_ready else 503
        self.write_json(self.agent.describe(), status)
