"""Fingerprint of a request, the same for each attempt of its caller.

Notes:
    A caller gives each attempt a new request identifier. The fingerprint depends on
    what the request asks for and on whose behalf, so that attempts can be linked, also
    at different entries. Requests of different workspaces never share a fingerprint.
"""

import hashlib

__all__ = ["compute_digest", "compute_fingerprint"]

DIGEST_BYTES = 16


def compute_fingerprint(workspace, host, method, uri, body):
    """Return the fingerprint of a request as a hexadecimal string.

    Args:
        workspace: Name of the caller's workspace, or None for callers without one.
        host: Host header; case is ignored.
        method: HTTP method.
        uri: Path and query.
        body: Body as bytes.

    Examples:
        >>> one = compute_fingerprint("a", "desk.example", "POST", "/chat/1", b"hello")
        >>> one == compute_fingerprint("a", "Desk.example", "POST", "/chat/1", b"hello")
        True
        >>> one == compute_fingerprint("b", "desk.example", "POST", "/chat/1", b"hello")
        False
        >>> len(one)
        32
    """
    return compute_digest(workspace, (host.lower(), method, uri), body)


def compute_digest(workspace, fields, body=b""):
    """Return a digest of some fields of a request as a hexadecimal string.

    Args:
        workspace: Name of the caller's workspace, or None for callers without one.
        fields: Strings.
        body: Bytes.

    Examples:
        >>> compute_digest("a", ("b", "c")) == compute_digest("a", ("bc", ""))
        False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    # Without lengths, bytes could move from one field to the next unnoticed.
    caller = "-" if workspace is None else f"w{workspace}"
    for field in (caller, *fields):
        encoded = field.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
