"""JSON lines of an agent's response to an entry.

Each line contains the id of the request and the number of the attempt. The response is
complete only with its last line, which reports the end or a refusal.
"""

import orjson

__all__ = [
    "make_end",
    "make_keepalive",
    "make_refusal",
    "make_response",
    "make_tokens",
    "parse_frame",
]


def _encode(request_id, attempt, **fields):
    return (
        orjson.dumps({"request_id": request_id, "attempt": attempt, **fields}) + b"\n"
    )


def make_tokens(request_id, attempt, index, texts):
    """Return a line with consecutive tokens, the first of which has the given index."""
    return _encode(request_id, attempt, index=index, texts=texts)


def make_keepalive(request_id, attempt):
    """Return a keep-alive line."""
    return _encode(request_id, attempt, alive=True)


def make_end(request_id, attempt, finish_reason, tokens):
    """Return the last line of a completed generation."""
    return _encode(
        request_id, attempt, end=True, finish_reason=finish_reason, tokens=tokens
    )


def make_response(request_id, attempt, status, headers, body):
    """Return the line with the complete response of a plain service.

    Args:
        request_id: Id of the request.
        attempt: Number of the attempt.
        status: HTTP status.
        headers: Dictionary of headers.
        body: Bytes, encoded in JSON as Latin-1 text.
    """
    return _encode(
        request_id,
        attempt,
        end=True,
        status=status,
        headers=headers,
        body=body.decode("latin-1"),
    )


def make_refusal(request_id, attempt, refusal):
    """Return the last line of a refused or failed request."""
    return _encode(request_id, attempt, refusal=refusal.to_dict())


def parse_frame(line, request_id, attempt):
    """Return the decoded line, or None if it is invalid or of another attempt.

    Examples:
        >>> parse_frame(make_keepalive("r", 1), "r", 1)["alive"]
        True
        >>> parse_frame(make_keepalive("r", 1), "r", 2) is None
        True
    """
    try:
        data = orjson.loads(line)
    except ValueError:
        return None
    if not isinstance(data, dict) or data.get("request_id") != request_id:
        return None
    return data if data.get("attempt") == attempt else None
