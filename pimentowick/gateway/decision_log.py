"""The decision log: one JSON line on standard output per decision.

Notes:
    A line is a JSON object with the time, the event name and the event's fields. The
    log is rate-limited and written without blocking. Lines beyond the rate limit, or
    beyond what the reader takes, are dropped; their number is logged before the next
    line that is written.
"""

import os
import sys
import time

import orjson
from loguru import logger

__all__ = ["configure", "count_dropped", "log_event", "log_request_event"]

# Rate limit of the log: a token bucket that holds MAX_BURST_LINES.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 800


class _Sink:
    """A rate-limited log sink that writes to a file descriptor without blocking."""

    def __init__(self, descriptor, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock()
        self._unwritten = b""
        self.unreported_dropped = 0
        self.total_dropped = 0

    def write(self, message):
        now = self._clock()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 or not self._flush():
            self.unreported_dropped += 1
            self.total_dropped += 1
            return
        self._tokens -= 1
        line = str(message).encode()
        if self.unreported_dropped:
            line = orjson.dumps(
                {"event": "log.dropped", "lines": self.unreported_dropped}
            )
            line += b"\n" + str(message).encode()
            self.unreported_dropped = 0
        self._unwritten = line
        self._flush()

    def _flush(self):
        """Write the rest of the last line; return whether all of it was written."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader closed the pipe; discard the line and go on.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


# The sink of this process; empty until `configure` is called.
_sinks = []


def count_dropped():
    """Return the number of lines dropped since the log was configured."""
    return sum(sink.total_dropped for sink in _sinks)


def configure(level="INFO", descriptor=None):
    """Send the log to a file descriptor and make that descriptor non-blocking.

    Args:
        level: Lowest level that is written.
        descriptor: File descriptor; standard output by default.
    """
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = _Sink(descriptor)
    _sinks[:] = [sink]
    logger.remove()
    logger.add(
        sink.write,
        level=level,
        format=_format,
        diagnose=False,
        backtrace=False,
        catch=False,
    )


def _format(record):
    line = record["extra"].get("line")
    if line is None:
        data = {
            "time": time.time(),
            "event": "message",
            "level": record["level"].name,
            "text": record["message"],
        }
        if record["exception"] is not None:
            kind, value, trace = record["exception"]
            frame = trace
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            code = frame.tb_frame.f_code if frame is not None else None
            data["error"] = f"{getattr(kind, '__name__', kind)}: {value}"
            if code is not None:
                data["at"] = f"{code.co_filename}:{frame.tb_lineno}"
        line = orjson.dumps(data, default=str).decode()
        record["extra"]["line"] = line
    return "{extra[line]}\n"


def _write(level, event, fields):
    data = {"time": round(time.time(), 3), "event": event}
    for name, value in fields.items():
        data[name] = round(value, 4) if isinstance(value, float) else value
    logger.bind(line=_encode(data)).log(level, "")


def _encode(data):
    """Return the JSON of a line; values that JSON can't hold are written as text."""
    try:
        return orjson.dumps(data, default=str).decode()
    except TypeError:
        texts = {name: _make_encodable(value) for name, value in data.items()}
        return orjson.dumps(texts, default=str).decode()


def _make_encodable(value):
    """Return a value or, if JSON can't hold it, its text.

    Examples:
        >>> _make_encodable(5), _make_encodable(2**64)
        (5, '18446744073709551616')
    """
    try:
        orjson.dumps(value, default=str)
    except TypeError:
        return ascii(value)
    return value


def log_request_event(event, request_id, **fields):
    """Log a decision on one request.

    Args:
        event: Name of the event, as ``component.outcome``.
        request_id: Identifier of the request, item or job.
        **fields: The inputs of the decision, their age or version, and the outcome.
    """
    _write("INFO", event, {"id": request_id, **fields})


def log_event(event, **fields):
    """Log a change in the state of the process or of a dependency.

    Args:
        event: Name of the event, as ``component.outcome``.
        **fields: Details of the change.
    """
    _write("INFO", event, fields)
