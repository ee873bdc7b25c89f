"""Whether a target is still the run that sent a response.

Notes:
    A response without framing ends with its connection, which also ends in order if the
    target's process does. Only the target can tell the two apart.

    A connection ends with the process that accepted it. So an answer on a connection
    that was open before the response ended was sent by the run that sent the response.
    A target that is asked on a later connection shows which run it is if it says when
    it was started. If it does not, its identifier names one run, and no other process
    has its address soon afterwards.

References:
    RFC 9112, section 6.3: Message Body Length.
"""

import asyncio
import dataclasses
import enum
import time

from tornado import iostream

from pimentowick.gateway.policy import backoff

__all__ = ["Inquiry", "Liveness", "LivenessCheck"]

# No process has the address of one that has ended sooner.
MIN_REUSE_S = 1.0
# Between attempts to reach a target that may be alive; doubles with each.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
CONNECTION_ERRORS = (OSError, TimeoutError, iostream.StreamClosedError)


class Liveness(enum.StrEnum):
    """What is known of the run that sent a response, after its end."""

    SAME_RUN = "same_run"
    """It is alive."""
    OTHER_RUN = "other_run"
    """The target has been started again."""
    GONE = "gone"
    """No process accepts connections at its address."""
    UNKNOWN = "unknown"
    """It did not answer in time, or did not say which run it is."""


@dataclasses.dataclass(slots=True)
class Inquiry:
    """The question to a target whether it is still the run that sent a response.

    Attributes:
        body_bytes: Size of a body that ended with its connection, or None without one.
        liveness: The `Liveness`, or None while it is not known.
        asked_on: ``kept`` for a connection that had been open, or ``new``.
        began_at: Monotonic time at which the response ended, or None if the target was
            not asked.
        took_s: Time until the liveness was known, in seconds.
    """

    body_bytes: int | None = None
    liveness: Liveness | None = None
    asked_on: str = ""
    began_at: float | None = None
    took_s: float | None = None

    @property
    def is_alive(self):
        """Whether the run that sent the response is alive after its end."""
        return self.liveness == Liveness.SAME_RUN

    def describe(self):
        """Return the fields of an unframed end for the log; none without one.

        Examples:
            >>> Inquiry().describe()
            {}
            >>> Inquiry(30).describe()
            {'end': 'not_asked', 'end_bytes': 30}
            >>> Inquiry(30, Liveness.GONE, "new", 1.0, 0.25).describe()
            {'end': 'gone', 'end_bytes': 30, 'end_asked_on': 'new', 'end_took_s': 0.25}
        """
        if self.body_bytes is None:
            return {}
        if self.began_at is None:
            return {"end": "not_asked", "end_bytes": self.body_bytes}
        return {
            "end": "pending" if self.liveness is None else str(self.liveness),
            "end_bytes": self.body_bytes,
            "end_asked_on": self.asked_on,
            "end_took_s": self.took_s,
        }


class LivenessCheck:
    """Asks a target after the end of a response whether it is still the same run.

    Args:
        pool: The `connection_pool.Pool` of the target.
        started_ms: Unix time of the start of the run in milliseconds; 0 if the
            identifier alone names the run.
        alive_at: Latest monotonic time at which the run is known to have been alive.
    """

    def __init__(self, pool, started_ms, alive_at):
        self._pool = pool
        self._started_ms = started_ms
        self._alive_at = alive_at

    async def ask(self, inquiry, timeout_s):
        """Find out whether the target is alive, and record it.

        Args:
            inquiry: The `Inquiry`.
            timeout_s: Timeout in seconds, or None.
        """
        inquiry.began_at = time.monotonic()
        found = Liveness.UNKNOWN
        try:
            async with asyncio.timeout(timeout_s):
                found = await self._ask_until_known(inquiry)
        except TimeoutError:
            pass
        inquiry.liveness = found
        inquiry.took_s = time.monotonic() - inquiry.began_at

    async def _ask_until_known(self, inquiry):
        failures = 0
        while True:
            try:
                return await self._ask_once(inquiry, is_new=failures > 0)
            except CONNECTION_ERRORS as error:
                if _is_refused(error):
                    return Liveness.GONE
            # It may be out of reach, or have too many connections, for a while.
            failures += 1
            delay_s = backoff.compute_delay(MIN_RETRY_S, MAX_RETRY_S, failures)
            await asyncio.sleep(delay_s)

    async def _ask_once(self, inquiry, is_new):
        """Ask on one connection; return the `Liveness`."""
        connection = await self._pool.lend(is_new)
        try:
            is_kept = connection.opened_at < inquiry.began_at
            inquiry.asked_on = "kept" if is_kept else "new"
            is_later = connection.opened_at > self._alive_at
            may_be_other = connection.opened_at > self._alive_at + MIN_REUSE_S
            if may_be_other and not self._started_ms:
                return Liveness.UNKNOWN
            started_ms = await self._pool.ask_run(connection)
        finally:
            self._pool.take_back(connection)
        if is_later and self._started_ms and started_ms:
            is_same = started_ms == self._started_ms
            return Liveness.SAME_RUN if is_same else Liveness.OTHER_RUN
        return Liveness.UNKNOWN if may_be_other else Liveness.SAME_RUN


def _is_refused(error):
    """Return whether no process accepts connections at an address."""
    cause = getattr(error, "real_error", None) or error
    return isinstance(cause, ConnectionRefusedError)
