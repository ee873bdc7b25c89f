"""Refusals of callers' requests that are the same for each request."""

from pimentowick import verdict

__all__ = [
    "STOPPING",
    "STREAM_LOST",
    "STREAM_UNKNOWN",
    "STREAM_VERSION_GONE",
    "UNFINISHED",
    "find_for_stream",
]

# What entries tell each other of a stream has arrived by then.
UNKNOWN_RETRY_S = 0.3
STREAM_UNKNOWN = verdict.Refusal(
    503,
    "stream_unknown",
    "It is not known what began this stream. It has to begin anew.",
    retry_after=UNKNOWN_RETRY_S,
)
STREAM_LOST = verdict.Refusal(
    503,
    "stream_lost",
    "No entry remembers what began this stream. It can't go on and has to begin anew, "
    "which it may at once.",
    retry_after=0.0,
)
STREAM_VERSION_GONE = verdict.Refusal(
    503,
    "stream_version_gone",
    "No target runs the software version that began this stream. It has to begin anew, "
    "which it may at once.",
    retry_after=0.0,
)
# The connection is closed, so that a retry reaches another entry.
STOPPING = verdict.Refusal(
    503,
    "stopping",
    "This entry stops and would not finish the request. Send it again; it has not run.",
    retry_after=0.0,
)
UNFINISHED = verdict.Refusal(
    504,
    "unfinished",
    "This entry stops before the answer is complete. The request may have run.",
    verdict.Verdict.MAY_HAVE_RUN,
)
_STREAMS = {
    refusal.code: refusal
    for refusal in (STREAM_UNKNOWN, STREAM_LOST, STREAM_VERSION_GONE)
}


def find_for_stream(code):
    """Return the refusal of a stream that can't go on, or None for another code."""
    return _STREAMS.get(code)
