"""Validation of the head of an HTTP response.

Notes:
    Tornado's parser takes any three digits as a status, and takes a body without
    framing as one that ends with its connection. A damaged head looks like that, too,
    if the field that frames its body is the damaged one.

References:
    RFC 9110, section 15: Status Codes.
    RFC 9112, section 6.3: Message Body Length.
"""

import re

__all__ = [
    "announces_close",
    "find_fault",
    "has_joined_framing",
    "is_final",
    "is_framed",
    "is_interim",
    "is_rest_of_response",
]

SWITCHING_PROTOCOLS = 101
# It has no content, but unlike 204 it says so with a length.
RESET_CONTENT = 205
# It has no chunks.
OLD_VERSION = "HTTP/1.0"
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# No Content and Not Modified.
BODILESS_STATUSES = frozenset({204, 304})
# Of the beginning of a body that is looked at.
MAX_BEGINNING_BYTES = 8_192
FRAMING_FIELD = re.compile(r"(content-length|transfer-encoding):", re.IGNORECASE)
# The line that ends a head; fields up to one that frames the body, whose first letter
# may be lost, or up to the end of the head, unless they are an event's.
REST_OF_HEAD = re.compile(
    rb"\r?\n"
    rb"|(?:[!-9;-~]+:[^\r\n]*\r?\n)*(?:c?ontent-length|t?ransfer-encoding):[^\r\n]*\r?\n"
    rb"|(?!(?:[^\r\n]+\r\n)*?(?:id|data|event|retry):)(?:[!-9;-~]+:[^\r\n]*\r\n)+\r\n",
    re.IGNORECASE,
)
CHUNK_SIZE = re.compile(rb"([0-9a-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n", re.IGNORECASE)


def is_interim(status):
    """Return whether a status is that of a response before the final one.

    No request asks for another protocol, so that 101 is none.

    Examples:
        >>> [is_interim(status) for status in (99, 100, 101, 103, 200)]
        [False, True, False, True, False]
    """
    return 100 <= status < MIN_FINAL_STATUS and status != SWITCHING_PROTOCOLS


def is_final(status):
    """Return whether a status is that of a final response.

    Examples:
        >>> [is_final(status) for status in (0, 100, 200, 599, 600)]
        [False, False, True, True, False]
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def find_fault(start_line, headers):
    """Return a reason code if a head is not that of a final response, or None.

    Args:
        start_line: `tornado.httputil.ResponseStartLine`.
        headers: `tornado.httputil.HTTPHeaders`.

    Examples:
        >>> from tornado import httputil
        >>> find_fault(httputil.ResponseStartLine("HTTP/1.1", 0, "OK"), {})
        'malformed_status'
        >>> line = httputil.ResponseStartLine("HTTP/1.0", 200, "OK")
        >>> find_fault(line, httputil.HTTPHeaders({"transfer-encoding": "chunked"}))
        'malformed_framing'
    """
    if not is_final(start_line.code):
        return "malformed_status"
    is_chunked = "Transfer-Encoding" in headers
    if is_chunked and start_line.version == OLD_VERSION:
        return "malformed_framing"
    if is_chunked and "Content-Length" in headers:
        return "malformed_framing"
    if start_line.code == RESET_CONTENT and headers.get("Content-Length") != "0":
        return "malformed_framing"
    return None


def is_framed(status, headers, method=""):
    """Return whether a head tells where its body ends, apart from the connection.

    Args:
        status: HTTP status.
        headers: `tornado.httputil.HTTPHeaders`.
        method: Method of the request.

    Examples:
        >>> from tornado import httputil
        >>> is_framed(200, httputil.HTTPHeaders({"content-length": "0"}))
        True
        >>> is_framed(200, {}), is_framed(204, {}), is_framed(200, {}, "HEAD")
        (False, True, True)
    """
    has_field = "Content-Length" in headers or "Transfer-Encoding" in headers
    return has_field or status in BODILESS_STATUSES or method == "HEAD"


def has_joined_framing(headers):
    """Return whether the field that frames the body is part of another one's value.

    Examples:
        >>> from tornado import httputil
        >>> has_joined_framing(httputil.HTTPHeaders({"X-Odd": "1Content-Length: 3"}))
        True
        >>> has_joined_framing(httputil.HTTPHeaders({"X-Odd": "1"}))
        False
    """
    return any(FRAMING_FIELD.search(value) for _, value in headers.get_all())


def is_rest_of_response(body):
    r"""Return whether a body without framing begins like what precedes a framed one.

    It is the rest of the head if an empty line was added to that, and chunks if the
    field that announces them was lost.

    Args:
        body: The first `MAX_BEGINNING_BYTES` bytes of the body, or all of it.

    Examples:
        >>> is_rest_of_response(b"X-Odd: 1\r\nContent-Length: 3\r\n\r\nabc")
        True
        >>> is_rest_of_response(b"X-Odd: 1\r\n\r\nabc")
        True
        >>> is_rest_of_response(b"3\r\nabc\r\n0\r\n\r\n")
        True
        >>> is_rest_of_response(b"id: 1\r\ndata: abc\r\n\r\n")
        False
        >>> is_rest_of_response(b"42\r\n")
        False
    """
    return REST_OF_HEAD.match(body) is not None or _begins_with_chunk(body)


def _begins_with_chunk(body):
    size = CHUNK_SIZE.match(body)
    if size is None:
        return False
    end = size.end() + int(size[1], 16)
    if end > MAX_BEGINNING_BYTES - 2:
        return len(body) == MAX_BEGINNING_BYTES
    return body[end : end + 2] == b"\r\n"


def announces_close(headers):
    """Return whether a head says that its connection closes after the response.

    Examples:
        >>> announces_close({"Connection": "Keep-Alive, Close"})
        True
        >>> announces_close({"Connection": "closed"}), announces_close({})
        (False, False)
    """
    options = headers.get("Connection", "").lower().split(",")
    return "close" in (option.strip() for option in options)
