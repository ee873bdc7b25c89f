"""Server-sent events, cut at their ends and otherwise left as they came."""

import dataclasses

__all__ = ["Event", "EventSplitter"]

MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        raw: Its bytes with the blank line at the end.
        id: Its identifier, or None.
        data: Its data, lines separated by line feeds.
    """

    raw: bytes
    id: str | None
    data: str


class EventSplitter:
    r"""Cuts a stream of bytes into events; what is incomplete waits.

    A target may stop in the middle of an event. Passed on, the half would be taken
    for data, and a resumed stream would be joined to it.

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
        self._rest = b""

    def feed(self, chunk):
        """Return the events that are whole with `chunk`."""
        data = self._rest + chunk
        if b"\r" in data:
            mark, size = b"\r\n\r\n", 4
        else:
            mark, size = b"\n\n", 2
        events = []
        start = 0
        while (end := data.find(mark, start)) >= 0:
            events.append(_parse_event(data[start : end + size]))
            start = end + size
        self._rest = data[start:]
        return events

    def is_empty(self):
        """Return whether nothing incomplete waits."""
        return not self._rest.strip()


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
