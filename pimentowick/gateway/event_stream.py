"""Splitting of a byte stream into server-sent events, whose bytes stay unchanged."""

import dataclasses

__all__ = ["Event", "EventSplitter"]

MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        raw: Its bytes, including the blank line that ends it.
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
        self._buffer = b""

    def feed(self, chunk):
        """Return the events that `chunk` completes."""
        data = self._buffer + chunk
        if b"\r" in data:
            separator, size = b"\r\n\r\n", 4
        else:
            separator, size = b"\n\n", 2
        events = []
        start = 0
        while (end := data.find(separator, start)) >= 0:
            events.append(_parse_event(data[start : end + size]))
            start = end + size
        self._buffer = data[start:]
        return events

    def is_empty(self):
        """Return whether no incomplete event is buffered."""
        return not self._buffer.strip()


def _parse_event(raw):
    event_id = None
    lines = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ").decode("utf-8", "replace")
        if name == b"id":
            event_id = value
        elif name == b"data":
            lines.append(value)
    return Event(raw, event_id, "\n".join(lines))
