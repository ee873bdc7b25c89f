"""Exchange of the origins of streams between entries, as UDP datagrams."""

import asyncio
import time

from pimentowick import fingerprint
from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import stream_origin

__all__ = ["StreamOrigins", "compute_key"]

# Covers a lost datagram; most streams last longer.
REPEAT_DELAY_S = 0.1
QUERY_INTERVAL_S = 0.06
QUERY_TIMEOUT_S = 0.3
# An entry that has just started may not know all others yet.
STARTUP_QUERY_TIMEOUT_S = 0.8
CLEANUP_INTERVAL_S = 1.0


def compute_key(workspace, host, request_id):
    """Return the key of a stream, which differs between workspaces.

    Args:
        workspace: Name of the caller's workspace, or None for callers without one.
        host: Host header of the request; case is ignored.
        request_id: Identifier of the attempt that brought the first event.
    """
    return fingerprint.compute_digest(workspace, (host.lower(), request_id))


class _Query:
    """A question for an origin that waits for its answers."""

    def __init__(self):
        self.unknown_at = set()
        self.changed = asyncio.Event()

    async def wait(self, timeout_s):
        """Wait for the next answer, for some seconds at most."""
        self.changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            pass


class StreamOrigins:
    """Remembers which software version began a stream, here and at other entries.

    Args:
        reporter: The `pimentowick.gateway.load_report.LoadReporter`, which sends and
            receives the datagrams.
        metrics: `pimentowick.gateway.metric.Metrics`.
    """

    def __init__(self, reporter, metrics):
        self._reporter = reporter
        self._metrics = metrics
        self._table = stream_origin.OriginTable()
        self._queries = {}

    def __len__(self):
        return len(self._table)

    def get(self, key, now):
        """Return the `stream_origin.Origin` of a stream if this entry knows it."""
        return self._table.get(key, now)

    def record(self, key, origin, left_s):
        """Remember the origin of a stream and send it to some other entries.

        Args:
            key: Key of the stream.
            origin: The `stream_origin.Origin`.
            left_s: Time until its caller's deadline, in seconds.
        """
        self._table.put(key, origin, left_s, time.monotonic())
        live = self._reporter.list_live_peers()
        holders = stream_origin.choose_holders(key, live)
        row = [origin.service, origin.software_version, left_s]
        self._reporter.send_to(holders, {"origins": {key: row}})
        asyncio.get_running_loop().call_later(
            REPEAT_DELAY_S, self._reporter.send_to, holders, {"origins": {key: row}}
        )

    async def find(self, key, request_id, on_lost=lambda: None):
        """Return the `stream_origin.Origin` of a stream, or None if nobody knows it.

        Args:
            key: Key of the stream.
            request_id: Identifier of the request that takes it up, for the log.
            on_lost: Function called if all entries that could know it have answered
                that they do not.
        """
        started_at = time.monotonic()
        origin = self._table.get(key, started_at)
        asked = set()
        is_lost = False
        if origin is None:
            origin, asked, is_lost = await self._ask(key, started_at)
        if is_lost:
            on_lost()
        outcome = "known" if origin is not None else "lost" if is_lost else "unknown"
        self._metrics.count_taken_up(outcome)
        decision_log.log_request_event(
            "stream.origin",
            request_id,
            key=key,
            service=None if origin is None else origin.service,
            version=None if origin is None else origin.software_version,
            asked=len(asked),
            lost=is_lost,
            took_s=time.monotonic() - started_at,
        )
        return origin

    async def _ask(self, key, started_at):
        """Ask other entries for an origin.

        Returns:
            The origin or None, the entries asked, and whether all of those that could
            know it have answered that they do not.
        """
        query = self._queries.setdefault(key, _Query())
        asked = set()
        sent_at = float("-inf")
        try:
            while True:
                now = time.monotonic()
                entries = stream_origin.choose_asked(key, self._reporter.peers)
                if now - sent_at >= QUERY_INTERVAL_S:
                    sent_at = now
                    unanswered = set(entries) - query.unknown_at
                    asked |= unanswered
                    self._reporter.send_to(unanswered, {"origin_query": key})
                await query.wait(sent_at + QUERY_INTERVAL_S - now)
                origin = self._table.get(key, time.monotonic())
                if origin is not None:
                    return origin, asked, False
                if self._is_lost(query, entries):
                    return None, asked, True
                if time.monotonic() - started_at >= self._get_timeout_s():
                    return None, asked, False
        finally:
            if self._queries.get(key) is query:
                del self._queries[key]

    def _is_lost(self, query, entries):
        has_heard = self._reporter.has_heard_peers
        return has_heard and query.unknown_at.issuperset(entries)

    def _get_timeout_s(self):
        has_heard = self._reporter.has_heard_peers
        return QUERY_TIMEOUT_S if has_heard else STARTUP_QUERY_TIMEOUT_S

    def handle(self, message):
        """Handle a datagram about origins.

        Raises:
            ValueError, TypeError, KeyError, AttributeError: It is malformed.
        """
        sender = str(message["from"])
        if "origin_query" in message:
            self._answer(str(message["origin_query"]), sender)
        now = time.monotonic()
        for key, (service, version, left_s) in message.get("origins", {}).items():
            origin = stream_origin.Origin(str(service), str(version))
            self._table.put(key, origin, float(left_s), now)
            self._notify(key)
        key = message.get("origin_unknown")
        if key in self._queries:
            self._queries[key].unknown_at.add(sender)
            self._notify(key)

    def _answer(self, key, sender):
        now = time.monotonic()
        origin = self._table.get(key, now)
        if origin is None:
            self._reporter.send_to([sender], {"origin_unknown": key})
            return
        row = [
            origin.service,
            origin.software_version,
            self._table.get_left_s(key, now),
        ]
        self._reporter.send_to([sender], {"origins": {key: row}})

    async def run(self):
        """Forget the streams that have ended, until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self._table.expire(time.monotonic())

    def _notify(self, key):
        if key in self._queries:
            self._queries[key].changed.set()
