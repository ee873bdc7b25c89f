"""Splitting of a byte stream into server-sent events, whose bytes stay unchanged."""

import dataclasses
import re

__all__ = ["Event", "EventSplitter", "has_only"]

MAX_EVENT_BYTES = 1_048_576
# Blank lines and comments between two events.
MAX_EMPTY_BYTES = 8_192
BLANK_LINES = re.compile(rb"[\r\n]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        raw: Its bytes, including the blank line that ends it, and the comments and
            blank lines before it.
        id: Value of its ``id`` field, or None.
        data: Values of its ``data`` fields, joined by line feeds.
    """

    raw: bytes
    id: str | None
    data: str


class EventSplitter:
    r"""Splits a stream of bytes into events and buffers the incomplete last one.

    A target may fail in the middle of an event. If its first half were forwarded, the
    caller would parse it together with the start of the resumed stream.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        [Event(raw=b'id: 1\ndata: a\n\n', id='1', data='a')]
        >>> splitter.is_empty()
        False
        >>> [event.data for event in splitter.feed(b"ta: b\n\n")]
        ['b']
    """

    def __init__(self):
        self._buffer = bytearray()
        self._has_cr = False
        # What came since the last event and is none.
        self._prefix = bytearray()

    def feed(self, chunk):
        """Return the events that `chunk` completes."""
        # What was searched before is searched again only if the separator changes.
        had_cr, self._has_cr = self._has_cr, self._has_cr or b"\r" in chunk
        start = max(0, len(self._buffer) - 3) if had_cr == self._has_cr else 0
        separator = b"\r\n\r\n" if self._has_cr else b"\n\n"
        self._buffer += chunk
        events = []
        begin = self._skip_blank_lines(0)
        while (end := self._buffer.find(separator, max(begin, start))) >= 0:
            end += len(separator)
            raw = bytes(self._buffer[begin:end])
            begin = self._skip_blank_lines(end)
            event = _parse_event(raw)
            if event is None:
                self._prefix += raw
                if self.is_overlong:
                    break
                continue
            if self._prefix:
                event = dataclasses.replace(event, raw=bytes(self._prefix) + raw)
                self._prefix.clear()
            events.append(event)
        if begin:
            del self._buffer[:begin]
            self._has_cr = b"\r" in self._buffer
        return events

    def _skip_blank_lines(self, begin):
        """Move blank lines to the prefix of the next event; return where they end."""
        found = BLANK_LINES.match(self._buffer, begin)
        if found is None:
            return begin
        self._prefix += found[0]
        return found.end()

    @property
    def is_overlong(self):
        """Whether the bytes are no stream of events, or one of them has no end."""
        return (
            len(self._buffer) > MAX_EVENT_BYTES or len(self._prefix) > MAX_EMPTY_BYTES
        )

    def is_empty(self):
        """Return whether no incomplete event is buffered."""
        return not self._buffer.strip()


def has_only(raw, names):
    r"""Return whether all lines of an event are comments or fields with these names.

    Args:
        raw: Bytes of the event.
        names: Names of fields, as bytes.

    Examples:
        >>> has_only(b": comment\nid: 1\ndata: a\n\n", {b"id", b"data"})
        True
        >>> has_only(b"1f\r\nid: 1\ndata: a\n\n", {b"id", b"data"})
        False
    """
    fields = [line.partition(b":") for line in raw.splitlines() if line]
    return all(colon and (not name or name in names) for name, colon, _ in fields)


def _parse_event(raw):
    """Return an `Event`, or None if it has neither an identifier nor data."""
    if b"id" not in raw and b"data" not in raw:
        return None
    event_id = None
    lines = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ").decode("utf-8", "replace")
        if name == b"id":
            event_id = value
        elif name == b"data":
            lines.append(value)
    if event_id is None and not lines:
        return None
    return Event(raw, event_id, "\n".join(lines))
