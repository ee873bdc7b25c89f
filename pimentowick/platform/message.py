"""Headers and bodies of requests, answers and batch jobs."""

import base64
import binascii
import dataclasses
import enum
import re

import orjson
import pydantic
from tornado import httputil

from pimentowick import exception
from pimentowick.gateway import job

__all__ = [
    "JobOperation",
    "ListedResult",
    "RequestHeaders",
    "ResponseHeaders",
    "decode_request_headers",
    "decode_response_headers",
    "decode_submission",
    "encode_item_headers",
    "encode_request_headers",
    "encode_results",
    "find_job_operation",
    "remove_hop_headers",
]

REQUEST_ID = "X-Pimentowick-Request-Id"
DEADLINE = "X-Pimentowick-Deadline-Ms"
EXPECT_INSTANCE = "X-Pimentowick-Expect-Instance"
NOT_EXECUTED = "X-Pimentowick-Not-Executed"
STAMP = "X-Pimentowick-Server-Stamp"
LOAD = "X-Pimentowick-Server-Load"
WAIT = "X-Pimentowick-Wait-Ms"
LAST_EVENT = "Last-Event-Id"
AUTHORIZATION = "Authorization"
SCHEME = "Token"
# The wire calls a workspace a tenant.
WORKSPACE = "X-Pimentowick-Tenant"
# Headers that concern one connection only.
HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "content-length",
}
BATCH_PATH = re.compile(r"^/-/(lots|items)/([^/?]+)$")
MAX_ITEMS = 200
MISDIRECTED = 421


class JobOperation(enum.StrEnum):
    """What a caller wants of a batch job."""

    READ = "read"
    """Its results from a position on."""
    BODY = "body"
    """The body of an item."""
    END = "end"
    """That it ends."""
    UNKNOWN = "unknown"
    """Something that there is not."""


# The wire calls a batch job a lot.
BATCH_CALLS = {
    ("GET", "lots"): JobOperation.READ,
    ("GET", "items"): JobOperation.BODY,
    ("DELETE", "lots"): JobOperation.END,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """What a request's headers say.

    Attributes:
        request_id: Identifier of this attempt of the client, or "".
        deadline_s: Seconds that the client waits, or None.
        wait_s: Seconds that a read may be held.
        last_event: Event after which a stream goes on, or "".
        key: Key of the caller's workspace; None if nothing was sent for it, "" if what
            was sent is no key.
    """

    request_id: str
    deadline_s: float | None
    wait_s: float
    last_event: str
    key: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """What the headers of a target's answer say.

    Attributes:
        request_id: Identifier of the request that it answers, or "".
        is_signed: Whether the target's signature is there.
        not_executed: Whether the target states that the request did not run.
        is_misdirected: Whether another target has the address now.
        load: Running requests, waiting ones and slots, or None.
        has_encoding: Whether the body is in an encoding that nobody asked for.
        closes_connection: Whether the connection ends with the answer.
        idle_s: Seconds that the target keeps the connection idle, or None.
    """

    request_id: str
    is_signed: bool
    not_executed: bool
    is_misdirected: bool
    load: tuple | None
    has_encoding: bool
    closes_connection: bool
    idle_s: float | None


def _read_number(headers, name):
    try:
        return float(headers.get(name, ""))
    except ValueError:
        return None


def decode_request_headers(headers):
    """Return the `RequestHeaders` that a client's headers make."""
    deadline = _read_number(headers, DEADLINE)
    wait = _read_number(headers, WAIT)
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        deadline_s=None if deadline is None else deadline / 1000,
        wait_s=0.0 if wait is None else wait / 1000,
        last_event=headers.get(LAST_EVENT, ""),
        key=_decode_key(headers),
    )


def _decode_key(headers):
    found = headers.get_list(AUTHORIZATION)
    if not found:
        return None
    scheme, _, key = found[0].strip().partition(" ")
    if len(found) > 1 or scheme.lower() != SCHEME.lower():
        return ""
    key = key.strip()
    return "" if " " in key else key


def encode_request_headers(
    headers, left_s, target_id, length, last_event=None, workspace=None, keyed=False
):
    """Return the headers for a target from those of a client.

    Args:
        headers: `tornado.httputil.HTTPHeaders` of the client.
        left_s: Seconds that the target may take, or None.
        target_id: Identifier that the target must have, so that another one at a
            reused address refuses.
        length: Length of the body, in bytes.
        last_event: Event after which a resumed stream goes on.
        workspace: Name of the caller's workspace, or None without one.
        keyed: Whether callers have keys here, which no target may see.
    """
    dropped = HOP | {DEADLINE.lower(), EXPECT_INSTANCE.lower(), WORKSPACE.lower()}
    if keyed:
        dropped = dropped | {AUTHORIZATION.lower()}
    dropped |= {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    if last_event is not None:
        dropped = dropped | {LAST_EVENT.lower()}
    found = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        # Some servers take an underscore in a name for a dash.
        if name.lower().replace("_", "-") not in dropped:
            found.add(name, value)
    found["Content-Length"] = str(length)
    found[EXPECT_INSTANCE] = target_id
    if left_s is not None:
        found[DEADLINE] = str(max(1, int(left_s * 1000)))
    if last_event is not None:
        found[LAST_EVENT] = last_event
    if workspace is not None:
        found[WORKSPACE] = workspace
    return found


def encode_item_headers(item, size, found, left_s, target_id, last_event=None):
    """Return the headers for a target from those of an item of a batch job.

    Args:
        item: The `pimentowick.gateway.job.Item`.
        size: Length of its body, in bytes.
        found: Its `pimentowick.gateway.job.Job`.
        left_s: Seconds that the target may take.
        target_id: Identifier that the target must have.
        last_event: Event after which a resumed run goes on.
    """
    headers = httputil.HTTPHeaders()
    for name, value in item.headers.items():
        headers.add(name, value)
    headers["Host"] = found.host
    headers[REQUEST_ID] = item.id
    return encode_request_headers(
        headers, left_s, target_id, size, last_event, found.workspace, keyed=True
    )


def decode_response_headers(status, headers):
    """Return what the head of a target's answer says, an `ResponseHeaders`."""
    keep_alive = re.search(r"timeout=(\d+)", headers.get("Keep-Alive", ""))
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        is_signed=STAMP in headers,
        not_executed=NOT_EXECUTED in headers or status == MISDIRECTED,
        is_misdirected=status == MISDIRECTED,
        load=_decode_load(headers.get(LOAD)),
        has_encoding=headers.get("Content-Encoding", "identity") != "identity",
        closes_connection="close" in headers.get("Connection", "").lower(),
        idle_s=float(keep_alive.group(1)) if keep_alive else None,
    )


def _decode_load(text):
    try:
        running, waiting, slots = (int(part) for part in text.split(","))
    except (AttributeError, ValueError):
        return None
    return running, waiting, slots


def remove_hop_headers(headers):
    """Return an answer's headers without those of its connection."""
    dropped = HOP - {"content-length"}
    dropped |= {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    found = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            found.add(name, value)
    return found


class _Item(pydantic.BaseModel):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _Submission(pydantic.BaseModel):
    items: list[_Item] = pydantic.Field(min_length=1, max_length=MAX_ITEMS)


def decode_submission(body):
    """Return (items, bodies) of a batch job.

    Items are `pimentowick.gateway.job.Item` objects without references of bodies.

    Raises:
        ValidationError: The body is no batch job.
    """
    try:
        data = _Submission.model_validate(orjson.loads(body))
        bodies = [base64.b64decode(entry.body, validate=True) for entry in data.items]
    except (ValueError, binascii.Error) as error:
        raise exception.ValidationError(f"Batch job: {error}") from error
    items = [
        job.Item(entry.id, entry.path, entry.headers, entry.tokens)
        for entry in data.items
    ]
    if len({item.id for item in items}) < len(items):
        raise exception.ValidationError("Batch job: an item stands twice.")
    return items, bodies


def find_job_operation(method, path):
    """Return (`JobOperation`, job id) of a call about a batch job, or None.

    Examples:
        >>> find_job_operation("GET", "/-/lots/7c41")
        (<JobOperation.READ: 'read'>, '7c41')
        >>> find_job_operation("PUT", "/-/items/7c41")
        (<JobOperation.UNKNOWN: 'unknown'>, '7c41')
    """
    found = BATCH_PATH.match(path)
    if found is None:
        return None
    collection, job_id = found.groups()
    return BATCH_CALLS.get((method, collection), JobOperation.UNKNOWN), job_id


@dataclasses.dataclass(frozen=True, slots=True)
class ListedResult:
    """A result as callers read it."""

    id: str
    done: bool
    text: str


def encode_results(total, after, results):
    """Return the body that lists results from the position `after` on."""
    rows = [
        {"id": entry.id, "state": "done" if entry.done else "dead", "text": entry.text}
        for entry in results
    ]
    return orjson.dumps({"total": total, "next": after + len(results), "results": rows})
