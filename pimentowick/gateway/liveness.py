"""Whether a target is still the run that sent a response.

Notes:
    A response without framing ends with its connection, which also ends in order if the
    target's process does. Only the target can tell the two apart.

    A connection ends with the process that accepted it. So a witness is a second
    connection to the target that is open while the response arrives: whatever comes
    back on it after the end was sent by the same process. It needs no identifier, and
    it can't reach another target that has the address meanwhile. If it is lost, a new
    connection shows the same run only if the target says when it was started.

References:
    RFC 9112, section 6.3: Message Body Length.
"""

import asyncio
import dataclasses
import enum
import time

from tornado import iostream

__all__ = ["Inquiry", "Liveness", "Witness"]

# Between two attempts to reach a target that may be alive.
RETRY_INTERVAL_S = 0.1
# Attempts to open the witness while the response arrives.
MAX_OPEN_ATTEMPTS = 3
# A short response ends before its witness is open. No process is started again, and
# accepts connections, within this time.
MAX_LATE_S = 0.1
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
        asked_on: ``witness`` for the connection that was open before the end, or
            ``new``.
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


class Witness:
    """Asks a target after the end of a response whether it is still the same run.

    Args:
        pool: The `connection_pool.Pool` of the target.
        started_ms: Unix time of the start of the run in milliseconds, as registered; 0
            if the identifier alone names the run.
    """

    def __init__(self, pool, started_ms):
        self._pool = pool
        self._started_ms = started_ms
        self._opening = None
        # When the last attempt to open it began.
        self._attempted_at = None

    def prepare(self):
        """Open the connection; call while the target is known to be alive."""
        if self._opening is None:
            self._opening = asyncio.create_task(self._open())

    async def _open(self):
        """Return the connection, or None if none could be opened."""
        for _ in range(MAX_OPEN_ATTEMPTS):
            self._attempted_at = time.monotonic()
            try:
                return await self._pool.lend()
            except CONNECTION_ERRORS as error:
                if _is_refused(error):
                    break
        return None

    def close(self):
        """Give the connection back to the pool."""
        if self._opening is None or self._opening.cancel():
            return
        connection = self._opening.result()
        if connection is not None:
            self._pool.take_back(connection)

    async def ask(self, inquiry, timeout_s):
        """Find out whether the target is alive, and record it.

        Args:
            inquiry: The `Inquiry`.
            timeout_s: Timeout in seconds, or None.
        """
        inquiry.began_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                liveness = await self._ask_witness(inquiry)
                if liveness is None:
                    liveness = await self._ask_anew(inquiry)
        except TimeoutError:
            liveness = Liveness.UNKNOWN
        inquiry.liveness = liveness
        inquiry.took_s = time.monotonic() - inquiry.began_at

    async def _ask_witness(self, inquiry):
        """Return the `Liveness`, or None if the connection was lost."""
        self.prepare()
        connection = await asyncio.shield(self._opening)
        if connection is None:
            return None
        is_witness = self._attempted_at < inquiry.began_at + MAX_LATE_S
        inquiry.asked_on = "witness" if is_witness else "new"
        try:
            started_ms = await self._pool.ask_run(connection)
        except CONNECTION_ERRORS:
            return None
        return self._judge(started_ms, is_witness)

    def _judge(self, started_ms, is_witness):
        """Return the `Liveness` of a target that answers.

        Args:
            started_ms: Unix time of its start in milliseconds, or 0 if it does not say.
            is_witness: Whether the connection is the witness.
        """
        if self._started_ms and started_ms:
            is_same = started_ms == self._started_ms
            return Liveness.SAME_RUN if is_same else Liveness.OTHER_RUN
        return Liveness.SAME_RUN if is_witness else Liveness.UNKNOWN

    async def _ask_anew(self, inquiry):
        """Return the `Liveness` of the target at the end of a new connection."""
        inquiry.asked_on = "new"
        while True:
            try:
                started_ms = await self._ask_once()
            except CONNECTION_ERRORS as error:
                if _is_refused(error):
                    return Liveness.GONE
                if not self._started_ms:
                    # No answer could show that it is the same run.
                    return Liveness.UNKNOWN
                # It may be out of reach, or have too many connections, for a while.
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            return self._judge(started_ms, is_witness=False)

    async def _ask_once(self):
        connection = await self._pool.lend(is_new=True)
        try:
            return await self._pool.ask_run(connection)
        finally:
            self._pool.take_back(connection)


def _is_refused(error):
    """Return whether no process accepts connections at an address."""
    cause = getattr(error, "real_error", None) or error
    return isinstance(cause, ConnectionRefusedError)
