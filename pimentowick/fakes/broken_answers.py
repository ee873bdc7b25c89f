"""Answers of targets, sound and broken, as bytes.

Notes:
    Each catalog maps a short description to an answer to one request; ``{id}`` stands
    for its identifier.
"""

__all__ = [
    "BODY",
    "BROKEN_STREAMS",
    "CHUNKED",
    "CLOSES",
    "CUT_ANSWERS",
    "DAMAGES",
    "EVENTS",
    "FIELDS",
    "LENGTH",
    "MALFORMED_FRAMINGS",
    "MALFORMED_HEADS",
    "STATUSES",
    "change_framing",
    "change_line",
    "damage_framing",
    "encode_chunks",
    "make_answer",
    "make_chunks",
]

BODY = b"the whole answer of the target"
EVENTS = [b"id: %d\ndata: word %d\n\n" % (number, number) for number in (1, 2, 3)]
FIELDS = b"X-Pimentowick-Request-Id: {id}\r\nX-Pimentowick-Server-Stamp: s\r\n"
CLOSES = b"Connection: close\r\n"
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
# Three digits, but the status of no final response.
STATUSES = [b"000", b"099", b"101", b"600", b"999"]
# By name: how the field that frames the body is lost, from its line and the one before.
DAMAGES = {
    "changed name": lambda before, line: before + line.replace(b"n", b"m", 1),
    "dropped": lambda before, line: before[:-2],
    "empty line": lambda before, line: before + b"\r\n" + line,
    "joined": lambda before, line: before[:-2] + line,
}


def encode_chunks(chunks):
    r"""Return a body in chunks.

    Examples:
        >>> encode_chunks([b"ab", b"c"])
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    """
    return b"".join(b"%x\r\n%s\r\n" % (len(row), row) for row in [*chunks, b""])


def make_answer(start=b"HTTP/1.1 200 OK", fields=FIELDS, body=None):
    """Return an answer; by default a sound one without events.

    Args:
        start: The start line.
        fields: The lines of the other fields.
        body: All that follows; None for a length and `BODY`.
    """
    if body is None:
        body = LENGTH + b"\r\n\r\n" + BODY
    return start + b"\r\n" + fields + body


def make_chunks(events):
    """Return the framing and the body of a stream."""
    return CHUNKED + b"\r\n\r\n" + encode_chunks(events)


def damage_framing(data, damage):
    """Damage the framing of an answer, whose field is the last one of the head.

    Args:
        data: The answer.
        damage: One of `DAMAGES`.
    """
    head, _, body = data.partition(b"\r\n\r\n")
    start = head.rindex(b"\r\n") + 2
    return DAMAGES[damage](head[:start], head[start:]) + b"\r\n\r\n" + body


def change_line(line):
    """Return a sound answer with another line before its framing."""
    return make_answer(fields=FIELDS + line)


def change_framing(framing, body=BODY):
    """Return an answer with another framing and body."""
    return make_answer(body=framing + b"\r\n\r\n" + body)


# Answers that the parser rejects, by what is wrong with them.
MALFORMED_HEADS = {
    "blank in a name": change_line(b"X Odd: 1\r\n"),
    "blank after a name": change_line(b"X-Odd : 1\r\n"),
    "tab in a name": change_line(b"X\tOdd: 1\r\n"),
    "control byte in a name": change_line(b"X\x01Odd: 1\r\n"),
    "zero byte in a name": change_line(b"X\x00Odd: 1\r\n"),
    "DEL in a name": change_line(b"X\x7fOdd: 1\r\n"),
    "no name": change_line(b": 1\r\n"),
    "no colon": change_line(b"X-Odd 1\r\n"),
    "folded line": change_line(b"X-Odd: 1\r\n 2\r\n"),
    "control byte in a value": change_line(b"X-Odd: \x01\r\n"),
    "carriage return in a value": change_line(b"X-Odd: a\rb\r\n"),
    "blank in the name of the framing": change_framing(b"Content-Length : 30"),
    "no start line": make_answer(start=b"X-Odd: 1"),
    "four digits": make_answer(start=b"HTTP/1.1 2000 OK"),
    "two digits": make_answer(start=b"HTTP/1.1 20 OK"),
    "sign": make_answer(start=b"HTTP/1.1 +20 OK"),
    "other protocol": make_answer(start=b"HTTP/2.0 200 OK"),
    "control byte before the status": make_answer(start=b"HTTP/1.1\x01200 OK"),
}
# Answers whose body can't be told from what follows.
MALFORMED_FRAMINGS = {
    "length that is no number": change_framing(b"Content-Length: many"),
    "negative length": change_framing(b"Content-Length: -1"),
    "empty length": change_framing(b"Content-Length:"),
    "lengths that disagree": change_framing(b"Content-Length: 30\r\nContent-Length: 3"),
    "length and chunks": change_framing(
        LENGTH + b"\r\n" + CHUNKED, encode_chunks([BODY])
    ),
    "unknown coding": change_framing(b"Transfer-Encoding: gzip, chunked"),
    "size that is none": change_framing(CHUNKED, b"zz\r\nabc\r\n0\r\n\r\n"),
    "chunk that is too long": change_framing(CHUNKED, b"2\r\nabc\r\n0\r\n\r\n"),
    "last chunk without its end": change_framing(CHUNKED, b"3\r\nabc\r\n0\r\nab"),
}
# Answers whose connection closes before their end.
CUT_ANSWERS = {
    "nothing": b"",
    "part of the start line": b"HTTP/1.1 20",
    "start line": b"HTTP/1.1 200 OK\r\n",
    "part of a field": make_answer()[:60],
    "no empty line": b"HTTP/1.1 200 OK\r\n" + FIELDS + LENGTH + b"\r\n",
    "no body": change_framing(LENGTH, b""),
    "part of the body": change_framing(LENGTH, BODY[:10]),
    "part of the chunks": change_framing(CHUNKED, b"1e\r\n" + BODY + b"\r\n"),
    "part of a chunk": change_framing(CHUNKED, b"1e\r\n" + BODY[:9]),
}
_STREAM = make_answer(body=make_chunks(EVENTS))
_CLOSING_STREAM = make_answer(fields=CLOSES + FIELDS, body=make_chunks(EVENTS))
# Streams whose statuses or framings are broken.
BROKEN_STREAMS = {
    **{
        f"status {status.decode()}": _STREAM.replace(b"200 OK", status + b" Odd")
        for status in STATUSES
    },
    **{f"framing, {damage}": damage_framing(_STREAM, damage) for damage in DAMAGES},
    **{
        f"framing, {damage}, closes": damage_framing(_CLOSING_STREAM, damage)
        for damage in DAMAGES
    },
    "chunks of an old version": _STREAM.replace(b"1.1 200", b"1.0 200"),
    "no content, with chunks": _STREAM.replace(b"200 OK", b"205 Reset Content"),
    "empty signature": _STREAM.replace(b"Stamp: s", b"Stamp: "),
}
