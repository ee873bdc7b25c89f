"""Acceptance of callers' connections, and what is known of the open ones."""

import asyncio
import contextlib
import time

from tornado import ioloop

from pimentowick import web
from pimentowick.gateway import decision_log, descriptors
from pimentowick.gateway.policy import connection_limit, connection_shedding

__all__ = ["AcceptingServer", "CallerConnections", "has_arrived"]

# Connections accepted in one iteration of the event loop. Further ones wait in the
# kernel, so that a flood of them does not hold up requests and readiness checks.
MAX_ACCEPTED_AT_ONCE = 128
MAX_ACCEPTED_UNDER_PRESSURE = 16
# Pause after the process ran out of descriptors. The listener stays readable, so that
# without a pause the event loop would do nothing else.
EXHAUSTED_PAUSE_S = 0.1
# A flood of connections would otherwise take all lines of the log.
MIN_LOG_INTERVAL_S = 1.0


def has_arrived(stream):
    """Return whether a request has arrived on an idle connection.

    The head of a request that was read has left the buffer, and reaches the server in
    the next iteration of the event loop.

    Args:
        stream: The `tornado.iostream.IOStream` of the connection.
    """
    return not (stream.closed() or stream.reading())


class AcceptingServer(web.DrainingServer):
    """HTTP server that goes on when descriptors are exhausted.

    Its delegate is an `exchange.Server`.
    """

    def add_sockets(self, sockets):
        """Accept connections on listening sockets."""
        for sock in sockets:
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = _Listener(sock, self).start()

    def accept(self, connection, address):
        """Serve an accepted connection unless it exceeds a limit."""
        if self.request_callback.connections.admit(address[0]):
            self._handle_connection(connection, address)
        else:
            connection.close()

    def release_descriptors(self):
        """Close a connection that nobody uses, as no descriptor can be had."""
        self.request_callback.connections.close_spare()

    def on_close(self, server_conn):
        """Handle the end of a connection; see `tornado.httpserver.HTTPServer`."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class _Listener:
    """Accepts connections on one listening socket."""

    def __init__(self, sock, server):
        self._socket = sock
        self._server = server
        self._loop = ioloop.IOLoop.current()
        self._resumption = None

    def start(self):
        """Watch the socket; return the function that stops it."""
        self._loop.add_handler(self._socket, self._accept, ioloop.IOLoop.READ)
        return self.stop

    def stop(self):
        """Stop watching the socket."""
        if self._resumption is not None:
            self._resumption.cancel()
            self._resumption = None
            return
        self._loop.remove_handler(self._socket)

    def _accept(self, _socket, _events):
        for _ in range(self._server.request_callback.connections.accepted_at_once):
            try:
                connection, address = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if not descriptors.is_exhausted(error):
                    raise
                self._pause(error)
                return
            self._server.accept(connection, address)

    def _pause(self, error):
        decision_log.log_event("descriptors.exhausted", why=str(error))
        self._loop.remove_handler(self._socket)
        self._resumption = asyncio.get_running_loop().call_later(
            EXHAUSTED_PAUSE_S, self._resume
        )
        self._server.release_descriptors()

    def _resume(self):
        self._resumption = None
        self.start()


class CallerConnections:
    """The open connections of callers, and the limits on them.

    Args:
        get_idle_timeout: Function that returns for how long a caller may be idle, in
            seconds.

    Attributes:
        accepted_at_once: Number of connections accepted in one event loop iteration.
        limit: The `connection_limit.ConnectionLimit`.
        shedding: The `connection_shedding.ConnectionShedding`.
        rejected: Number of connections closed at once for a limit.
        shed: Number of connections closed at once in a flood.
        closed_idle: Number of idle connections closed for a limit.
    """

    def __init__(self, get_idle_timeout):
        self.accepted_at_once = MAX_ACCEPTED_AT_ONCE
        self.limit = connection_limit.ConnectionLimit()
        self.shedding = connection_shedding.ConnectionShedding()
        self.rejected = 0
        self.shed = 0
        self.closed_idle = 0
        self._get_idle_timeout = get_idle_timeout
        self._states = {}
        self._logged_at = float("-inf")

    def __len__(self):
        return len(self._states)

    def set_limit(self, max_sockets):
        """Limit the connections.

        Args:
            max_sockets: Number of sockets that the process may open, or None if
                callers' connections are not limited.
        """
        if max_sockets is None:
            self.accepted_at_once = MAX_ACCEPTED_AT_ONCE
            self.limit.max_connections = None
            return
        self.accepted_at_once = MAX_ACCEPTED_UNDER_PRESSURE
        self.limit.max_connections = connection_limit.compute_limit(max_sockets)

    def admit(self, address):
        """Return whether to serve a new connection, after making room if necessary."""
        if not self.shedding.admit(time.monotonic()):
            self.shed += 1
            return False
        if not self.limit.is_near(len(self._states)):
            return True
        self._mark_arrived()
        decision = self.limit.decide(
            address, self._states.values(), time.monotonic(), self._get_idle_timeout()
        )
        self._close(decision.closed)
        if not decision.accepts:
            self.rejected += 1
        if decision.closed is not None or not decision.accepts:
            self._log_limit(address, decision)
        return decision.accepts

    def observe_load(self, processor_share, request_share):
        """Update the limit on new connections; call at regular intervals.

        Args:
            processor_share: Share of its processor that this entry uses.
            request_share: Share of the running requests of all entries that it holds.
        """
        previous = self.shedding.rate_per_s
        self.shedding.observe(processor_share, request_share, time.monotonic())
        rate_per_s = self.shedding.rate_per_s
        if (previous is None) != (rate_per_s is None):
            decision_log.log_event(
                "caller.shedding",
                outcome="ended" if rate_per_s is None else "began",
                rate_per_s=rate_per_s,
                processor_share=processor_share,
                request_share=request_share,
                shed=self.shed,
            )

    def close_spare(self):
        """Close the connection that is least likely to be used again."""
        self._mark_arrived()
        spare = connection_limit.find_spare(
            self._states.values(), time.monotonic(), self._get_idle_timeout()
        )
        self._close(spare)

    def _mark_arrived(self):
        """Mark the connections as busy on which a request has arrived."""
        for state in self._states.values():
            if state.idle_since is not None and has_arrived(state.key.stream):
                state.idle_since = None

    def _close(self, state):
        if state is None:
            return
        self.closed_idle += 1
        with contextlib.suppress(OSError):
            state.key.stream.close()

    def _log_limit(self, address, decision):
        """Log a decision with the totals so far, once a second at most."""
        now = time.monotonic()
        if now - self._logged_at < MIN_LOG_INTERVAL_S:
            return
        self._logged_at = now
        closed = decision.closed
        decision_log.log_event(
            "caller.connection_limit",
            caller=address,
            outcome="accepted" if decision.accepts else "rejected",
            open=len(self._states),
            of_caller=decision.of_caller,
            limit=self.limit.max_connections,
            closed_caller=None if closed is None else closed.address,
            rejected=self.rejected,
            closed=self.closed_idle,
        )

    def mark_idle(self, server_conn):
        """Record that a connection waits for its next request."""
        state = self._states.get(server_conn)
        now = time.monotonic()
        if state is None:
            address = server_conn.context.address[0]
            self._states[server_conn] = connection_limit.Connection(
                server_conn, address, now
            )
            return
        state.idle_since = now

    def mark_busy(self, server_conn):
        """Record that the headers of a request have arrived on a connection."""
        state = self._states.get(server_conn)
        if state is not None:
            state.idle_since = None
            state.is_proven = True

    def remove(self, server_conn):
        """Forget a closed connection."""
        self._states.pop(server_conn, None)
