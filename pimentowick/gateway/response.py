"""The answer of a target on its way to a caller."""

import time

from pimentowick.gateway import event, upstream
from pimentowick.platform import message

__all__ = ["Sink"]


class Sink(upstream.Sink):
    """Passes the answer of a target on to the caller.

    Events go on as they come. A plain answer is whole here before its first byte
    goes on, so that one that breaks off can be asked for again.

    Args:
        exchange: The `exchange.Exchange`.
        streaming: Whether the answer is a series of events.
    """

    def __init__(self, exchange, streaming):
        self._exchange = exchange
        self._streaming = streaming
        self.last_event = None
        self.events = 0
        self.first_at = None
        self.longest_pause_s = None
        self._passed_at = None
        self.begin()

    def begin(self):
        """Get ready for the answer of the next target."""
        self.status = 0
        self.headers = None
        self.held = []
        self.passing = False
        self.out_of_order = False
        self._splitter = event.EventSplitter()

    async def take_head(self, status, headers, answer):
        """Take the head; see `upstream.Sink`."""
        self.status = status
        self.headers = headers
        self.passing = (
            self._streaming
            and status == 200
            and answer.is_signed
            and not answer.has_encoding
        )

    async def take_chunk(self, chunk):
        """Take some bytes; see `upstream.Sink`."""
        if self.passing:
            await self._pass_events(chunk)
            return
        self.held.append(chunk)

    async def _pass_events(self, chunk):
        events = self._splitter.feed(chunk)
        wanted = [entry for entry in events if self._is_next(entry)]
        if not wanted:
            return
        data = b"".join(entry.raw for entry in wanted)
        self._note_pause()
        if not self._exchange.started:
            self.first_at = time.monotonic()
            headers = message.remove_hop_headers(self.headers)
            headers.pop("Content-Length", None)
            await self._exchange.start(self.status, headers, data)
            return
        await self._exchange.write(data)

    def _note_pause(self):
        now = time.monotonic()
        if self._passed_at is not None:
            pause_s = now - self._passed_at
            self.longest_pause_s = max(self.longest_pause_s or 0.0, pause_s)
        self._passed_at = now

    def _is_next(self, entry):
        if self.out_of_order:
            return False
        if entry.id is not None:
            if self._breaks_order(entry.id):
                self.out_of_order = True
                return False
            self.last_event = entry.id
        self.events += 1
        return True

    def _breaks_order(self, event_id):
        if self.last_event is None:
            return False
        try:
            return int(event_id) != int(self.last_event) + 1
        except ValueError:
            return False

    def is_whole(self):
        """Return whether a stream ended between two events, all in order."""
        return self._splitter.is_empty() and not self.out_of_order

    async def deliver(self):
        """Send what was held, a whole plain answer."""
        headers = message.remove_hop_headers(self.headers)
        body = b"".join(self.held)
        headers.pop("Content-Length", None)
        await self._exchange.answer(self.status, headers, body)
