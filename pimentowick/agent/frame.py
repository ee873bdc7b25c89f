"""The JSON lines that an agent answers an entry with.

Every line names the request and the attempt that it belongs to; the answer is whole
only with its last line, an end or a refusal.
"""

import orjson

__all__ = [
    "make_alive",
    "make_answer",
    "make_end",
    "make_refusal",
    "make_tokens",
    "parse_frame",
]


def _encode(request_id, attempt, **fields):
    return (
        orjson.dumps({"request_id": request_id, "attempt": attempt, **fields}) + b"\n"
    )


def make_tokens(request_id, attempt, index, texts):
    """Return the line with some consecutive tokens."""
    return _encode(request_id, attempt, index=index, texts=texts)


def make_alive(request_id, attempt):
    """Return the line that shows that the connection and the agent live."""
    return _encode(request_id, attempt, alive=True)


def make_end(request_id, attempt, finish_reason, tokens):
    """Return the line that ends a generation."""
    return _encode(
        request_id, attempt, end=True, finish_reason=finish_reason, tokens=tokens
    )


def make_answer(request_id, attempt, status, headers, body):
    """Return the line with the whole answer of a plain service.

    Args:
        request_id: Id of the request.
        attempt: Number of the attempt.
        status: HTTP status.
        headers: Dictionary of headers.
        body: Bytes; sent one character a byte, since JSON holds no bytes.
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
    """Return the line that ends a request without a result."""
    return _encode(request_id, attempt, refusal=refusal.to_dict())


def parse_frame(line, request_id, attempt):
    """Return the line as a dictionary, or None if it is of another attempt.

    Examples:
        >>> parse_frame(make_alive("r", 1), "r", 1)["alive"]
        True
        >>> parse_frame(make_alive("r", 1), "r", 2) is None
        True
    """
    try:
        data = orjson.loads(line)
    except ValueError:
        return None
    if not isinstance(data, dict) or data.get("request_id") != request_id:
        return None
    return data if data.get("attempt") == attempt else None
