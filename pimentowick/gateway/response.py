"""Forwarding of a target's response to the caller."""

import time

from pimentowick import response_head
from pimentowick.gateway import event_stream, performance, upstream
from pimentowick.gateway.policy import memory_budget
from pimentowick.platform import message

__all__ = ["CallerSink"]


class CallerSink(upstream.Sink):
    """Forwards the response of a target to the caller.

    The events of a stream are forwarded as they arrive. Any other response is buffered
    until it is complete, so that a truncated one can be requested from another target.

    Args:
        exchange: The `exchange.Exchange`.
        is_stream: Whether the route streams events.
        on_run_began: Function called before the first event of a target is forwarded.

    Attributes:
        status: Status of the response, 0 before its headers arrive.
        headers: Its headers, or None.
        buffered: Chunks of a body that is not forwarded as events.
        forwards_events: Whether events are forwarded as they arrive.
        out_of_order: Whether the current target sent an event out of order.
        last_event_id: Identifier of the last event forwarded, from any target.
        events: Number of events forwarded.
        first_event_at: Monotonic time at which the first event was forwarded, or None.
        longest_gap_s: Longest time between two forwarded events in seconds, or None.
        event_times: The `performance.EventTimes` of the current target.
    """

    def __init__(self, exchange, is_stream, on_run_began=lambda: None):
        self._exchange = exchange
        self._on_run_began = on_run_began
        self._is_stream = is_stream
        self.last_event_id = None
        self.events = 0
        self.first_event_at = None
        self.longest_gap_s = None
        self._last_forwarded_at = None
        self.reset()

    def reset(self):
        """Discard the state of the last target before the next attempt."""
        self.status = 0
        self.headers = None
        self._clear_buffer()
        self.forwards_events = False
        self._is_framed = True
        self.out_of_order = False
        self._splitter = event_stream.EventSplitter()
        self.event_times = performance.EventTimes()

    def _clear_buffer(self):
        self.buffered = []
        self._buffered_bytes = 0
        self._announced_bytes = 0
        self._exchange.account.set(memory_budget.Kind.RESPONSE, 0)

    async def on_headers(self, status, headers, answer):
        """Store status and headers; see `upstream.Sink`."""
        self.status = status
        self.headers = headers
        self._is_framed = response_head.is_framed(status, headers)
        self.forwards_events = (
            self._is_stream
            and status == 200
            and answer.is_signed
            and not answer.has_encoding
        )
        # Its first event would be missing.
        self.out_of_order = self.forwards_events and message.has_event_field(headers)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and not self.forwards_events:
            self._announced_bytes = int(length)

    async def on_chunk(self, chunk):
        """Forward or buffer part of the body; see `upstream.Sink`."""
        if self.forwards_events:
            await self._forward_events(chunk)
            return
        await self._exchange.wait_for_room()
        self._exchange.account.add(memory_budget.Kind.RESPONSE, len(chunk))
        self._buffered_bytes += len(chunk)
        self.buffered.append(chunk)

    @property
    def may_be_whole(self):
        """Whether the response may be complete; see `upstream.Sink`."""
        if self.forwards_events:
            return self.events > 0 and self.is_complete()
        return self._buffered_bytes > 0

    @property
    def has_content(self):
        """Whether part of the response of the current target has arrived."""
        if self.forwards_events:
            return self.event_times.count > 0
        return self._buffered_bytes > 0

    @property
    def can_continue(self):
        """Whether more of the body may complete the response; see `upstream.Sink`."""
        return (
            not self.out_of_order
            and not self._splitter.is_overlong
            and max(self._buffered_bytes, self._announced_bytes)
            <= upstream.MAX_RESPONSE_BYTES
        )

    async def _forward_events(self, chunk):
        events = self._splitter.feed(chunk)
        in_order = [received for received in events if self._accept(received)]
        if not in_order:
            return
        data = b"".join(received.raw for received in in_order)
        self._update_gap()
        if self.event_times.first_at is None:
            self._on_run_began()
        self.event_times.record(len(in_order), self._last_forwarded_at)
        if not self._exchange.started:
            self.first_event_at = time.monotonic()
            headers = message.remove_hop_headers(self.headers)
            headers.pop("Content-Length", None)
            await self._exchange.start(self.status, headers, data)
            return
        await self._exchange.write(data)

    def _update_gap(self):
        now = time.monotonic()
        if self._last_forwarded_at is not None:
            gap_s = now - self._last_forwarded_at
            self.longest_gap_s = max(self.longest_gap_s or 0.0, gap_s)
        self._last_forwarded_at = now

    def _accept(self, received):
        """Record an event; return whether it is in order and may be forwarded."""
        if self.out_of_order:
            return False
        if not self._is_framed and not event_stream.has_only(
            received.raw, message.EVENT_FIELDS
        ):
            # The bytes of another framing, or of the rest of a head.
            self.out_of_order = True
            return False
        if received.id is not None:
            if self._breaks_order(received.id):
                self.out_of_order = True
                return False
            self.last_event_id = received.id
        self.events += 1
        return True

    def _breaks_order(self, event_id):
        if self.last_event_id is None:
            return False
        try:
            return int(event_id) != int(self.last_event_id) + 1
        except ValueError:
            return False

    @property
    def ends_within_event(self):
        """Whether part of an event arrived after the last whole one."""
        return not self._splitter.is_empty()

    def is_complete(self):
        """Return whether the stream ended after a complete event, all in order."""
        return self._splitter.is_empty() and not self.out_of_order

    async def send_buffered(self):
        """Send the buffered response to the caller."""
        headers = message.remove_hop_headers(self.headers)
        body = b"".join(self.buffered)
        self._clear_buffer()
        headers.pop("Content-Length", None)
        await self._exchange.answer(self.status, headers, body)
