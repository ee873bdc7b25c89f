"""Pool of connections to one target."""

import dataclasses
import time

from tornado import iostream

from pimentowick.gateway import (
    decision_log,
    descriptors,
    liveness,
    traffic,
    upstream,
)
from pimentowick.gateway.policy import connection_share

__all__ = ["Pool"]

# For a target to say that it has ended its response, while another run may take the
# place of this one.
END_TIMEOUT_S = 1.0


class Pool:
    """Pool of connections to one target.

    Args:
        ip: IP address of the target.
        port: TCP port.
        get_share: Function that returns this entry's share of the connections.
        get_policy: Function that returns the `connection_share.IdlePolicy`.
        on_load: Function called with the `target.ReportedLoad` that came with each
            response, or None.
        counted: The `traffic.Traffic` that counts the bodies.
        release_descriptor: Function that closes an idle connection of another pool if
            there is one, and returns whether it did.

    Attributes:
        opened: Number of connections opened so far.
    """

    def __init__(
        self,
        ip,
        port,
        get_share=lambda: connection_share.MAX_IDLE_CONNECTIONS,
        get_policy=connection_share.EvenShare,
        on_load=lambda load: None,
        counted=None,
        release_descriptor=lambda: False,
    ):
        self._address = (ip, port)
        self._get_share = get_share
        self._get_policy = get_policy
        self._release_descriptor = release_descriptor
        self._peak = connection_share.PeakUse()
        self._on_load = on_load
        self._traffic = counted or traffic.Traffic()
        self._idle = []
        self._busy = 0
        self._lent = 0
        self._is_closed = False
        self.opened = 0

    @property
    def open(self):
        """Number of open connections."""
        return self._busy + self._lent + len(self._idle)

    @property
    def idle(self):
        """Number of idle connections."""
        return len(self._idle)

    async def send(self, request, sink):
        """Send a request and return its `Outcome`.

        Cancellation closes the connection, whereupon the target cancels the request.
        """
        self._busy += 1
        self._peak.record(self._busy, time.monotonic())
        try:
            return await self._send(request, sink)
        finally:
            self._busy -= 1

    async def _send(self, request, sink):
        connection = self._take_idle(request)
        if connection is None:
            try:
                connection = await self._connect()
            except (OSError, TimeoutError, iostream.StreamClosedError) as error:
                reason = f"connect_{type(error).__name__}"
                if descriptors.is_exhausted(error):
                    reason = upstream.NO_DESCRIPTOR
                return upstream.Outcome(upstream.End.NOT_RUN, reason, connected=False)
        refusal = await self._check_run(connection, request.run_check)
        if refusal is not None:
            connection.close()
            if not (request.run_check.is_optional and refusal.is_late_report):
                return refusal
            return await self._send_unchecked(request, sink)
        return await self._send_on(connection, request, sink)

    async def _send_unchecked(self, request, sink):
        """Send a request whose target did not say in time which run it is."""
        unchecked = dataclasses.replace(request.run_check, is_asked=False)
        return await self._send(dataclasses.replace(request, run_check=unchecked), sink)

    async def _send_on(self, connection, request, sink):
        """Send a request on a connection; return its `Outcome`."""
        outcome = await self._exchange(connection, request, sink)
        if outcome.reason == upstream.UNFRAMED:
            outcome = await self._inquire(outcome, request, sink)
        return outcome

    async def _inquire(self, outcome, request, sink):
        """Return the outcome of an unframed response with its `liveness.Inquiry`."""
        inquiry = request.inquiry
        inquiry.body_bytes = outcome.body_bytes
        if sink.may_be_whole:
            check = liveness.LivenessCheck(self, outcome.started_ms, outcome.alive_at)
            is_patient = request.waits_for_target
            await check.ask(inquiry, None if is_patient else END_TIMEOUT_S)
        return dataclasses.replace(outcome, inquiry=inquiry)

    async def _exchange(self, connection, request, sink):
        """Send a request on a connection, and keep that if it can be reused."""
        reusable = False
        try:
            outcome, reusable = await connection.exchange(
                request, sink, self._get_policy()
            )
        except iostream.StreamClosedError:
            outcome = upstream.Outcome(upstream.End.INCOMPLETE, "closed")
        finally:
            self._put_back(connection, reusable)
        return outcome

    async def lend(self, is_new=False):
        """Return a connection for questions to the target; see `take_back`.

        Args:
            is_new: Whether it must not be one that was idle.

        Raises:
            OSError, TimeoutError, StreamClosedError: None could be opened.
        """
        connection = None
        while self._idle and connection is None and not is_new:
            connection = self._idle.pop()
            if not connection.is_reusable(time.monotonic()):
                connection.close()
                connection = None
        connection = connection or await self._connect()
        self._lent += 1
        return connection

    async def ask_run(self, connection):
        """Ask the target on a lent connection; see `upstream.Connection.ask_run`."""
        return await connection.ask_run(self._get_policy())

    def take_back(self, connection):
        """Take a lent connection back."""
        self._lent -= 1
        self._put_back(connection, connection.is_reusable(time.monotonic()))

    def _put_back(self, connection, is_reusable):
        may_keep = is_reusable and not self._is_closed
        if may_keep and len(self._idle) < self._compute_max_idle():
            self._idle.append(connection)
        else:
            connection.close()

    async def _check_run(self, connection, run_check):
        """Return the `Outcome` if a request must not be sent, or None."""
        try:
            if await connection.check_run(run_check):
                return None
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            reason = upstream.REPORT_FAILED + type(error).__name__
            return upstream.Outcome(upstream.End.NOT_RUN, reason, connected=False)
        except BaseException:
            connection.close()
            raise
        return upstream.Outcome(upstream.End.NOT_RUN, upstream.OTHER_RUN)

    def _compute_max_idle(self):
        peak_use = self._peak.get(time.monotonic())
        return self._get_policy().compute_max_idle(self._get_share(), peak_use)

    def close_expired(self):
        """Close the connections that have been idle for too long."""
        now = time.monotonic()
        kept = [each for each in self._idle if now < each.idle_until]
        for connection in self._idle:
            if now >= connection.idle_until:
                connection.close()
        self._idle = kept

    def close_oldest(self):
        """Close the connection that was idle for longest; return whether it existed."""
        if not self._idle:
            return False
        self._idle.pop(0).close()
        return True

    def close(self):
        """Close the idle connections, and the others as they are given back."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, request):
        """Return the idle connection that was used last, or None.

        A connection that carried the request before may still deliver another response
        to it, which could not be told from the response to this attempt. A request
        without an identifier can't tell any response from its own.
        """
        if not request.request_id:
            return None
        now = time.monotonic()
        repeated = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_reusable(now):
                connection.close()
            elif connection.number in request.connections:
                repeated.append(connection)
            else:
                found = connection
        self._idle += reversed(repeated)
        return found

    async def _connect(self):
        """Open a connection, in place of an idle one if descriptors are exhausted."""
        try:
            return await self._open()
        except OSError as error:
            if not descriptors.is_exhausted(error):
                raise
            released = self._release_descriptor()
            decision_log.log_event(
                "descriptors.exhausted", why=str(error), released=released
            )
            if not released:
                raise
        return await self._open()

    async def _open(self):
        connection = await upstream.open_connection(
            self._address, self._on_load, self._traffic
        )
        self.opened += 1
        return connection
