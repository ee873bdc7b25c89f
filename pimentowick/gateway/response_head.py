"""Validation of the head of a target's response.

Notes:
    Tornado's parser takes any three digits as a status.

References:
    RFC 9110, section 15: Status Codes.
"""

__all__ = ["find_fault", "is_final", "is_interim"]

SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


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


def find_fault(start_line):
    """Return a reason code if a head is not that of a final response, or None.

    Args:
        start_line: `tornado.httputil.ResponseStartLine`.

    Examples:
        >>> from tornado import httputil
        >>> find_fault(httputil.parse_response_start_line("HTTP/1.1 000 OK"))
        'malformed_status'
    """
    if not is_final(start_line.code):
        return "malformed_status"
    return None
