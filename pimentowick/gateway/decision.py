"""The decision log: one structured line on standard output for each decision.

Notes:
    A line is a JSON object with the time, the event and its fields. The number of
    lines a second is bounded, and a reader that stops reading blocks nothing: what
    does not fit is dropped and counted in the next line that does.
"""

import os
import sys
import time

import orjson
from loguru import logger

__all__ = ["configure", "count_dropped", "log_event", "log_request_event"]

# Bounds what the log costs; a few lines are written for each request.
LINES_PER_S = 400
BURST_LINES = 800


class _Sink:
    """Writes lines without waiting for the reader."""

    def __init__(self, descriptor, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._allowed = float(BURST_LINES)
        self._at = clock()
        self._rest = b""
        self.dropped = 0
        self.all_dropped = 0

    def write(self, message):
        now = self._clock()
        self._allowed = min(BURST_LINES, self._allowed + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._allowed < 1 or not self._flush():
            self.dropped += 1
            self.all_dropped += 1
            return
        self._allowed -= 1
        line = str(message).encode()
        if self.dropped:
            line = orjson.dumps({"event": "log.dropped", "lines": self.dropped})
            line += b"\n" + str(message).encode()
            self.dropped = 0
        self._rest = line
        self._flush()

    def _flush(self):
        """Write what is left of the last line; return whether nothing is."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; serving goes on.
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


# The sink of this process, once it is configured.
_sinks = []


def count_dropped():
    """Return how many lines of this process were left out."""
    return sum(sink.all_dropped for sink in _sinks)


def configure(level="INFO", descriptor=None):
    """Send the log to standard output.

    Args:
        level: Least level that is shown.
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
            place = trace
            while place is not None and place.tb_next is not None:
                place = place.tb_next
            where = place.tb_frame.f_code if place is not None else None
            data["error"] = f"{getattr(kind, '__name__', kind)}: {value}"
            if where is not None:
                data["at"] = f"{where.co_filename}:{place.tb_lineno}"
        line = orjson.dumps(data, default=str).decode()
        record["extra"]["line"] = line
    return "{extra[line]}\n"


def _write(level, event, fields):
    data = {"time": round(time.time(), 3), "event": event}
    for name, value in fields.items():
        data[name] = round(value, 4) if isinstance(value, float) else value
    line = orjson.dumps(data, default=str).decode()
    logger.bind(line=line).log(level, "")


def log_request_event(event, request_id, **fields):
    """Log a decision on one request.

    Args:
        event: What was decided, as ``part.outcome``.
        request_id: Identifier of the request, item or job.
        **fields: The inputs that decided it, their age or version, the outcome.
    """
    _write("INFO", event, {"id": request_id, **fields})


def log_event(event, **fields):
    """Log a change of what the process believes, or of a dependency."""
    _write("INFO", event, fields)
