"""Headers and bodies of requests, responses and batch jobs on the wire."""

import base64
import binascii
import dataclasses
import enum
import math
import re
import urllib.parse

import orjson
import pydantic
from tornado import httputil

from pimentowick import exception, response_head
from pimentowick.gateway import job, target
from pimentowick.gateway.policy import request_cost

__all__ = [
    "JobOperation",
    "ListedResult",
    "RequestHeaders",
    "ResponseHeaders",
    "decode_item_parts",
    "decode_report",
    "decode_request_headers",
    "decode_response_headers",
    "decode_submission",
    "encode_item_headers",
    "encode_request_headers",
    "encode_results",
    "expects_version",
    "find_job_operation",
    "measure_text",
    "remove_hop_headers",
]

REQUEST_ID = "X-Pimentowick-Request-Id"
DEADLINE = "X-Pimentowick-Deadline-Ms"
EXPECT_INSTANCE = "X-Pimentowick-Expect-Instance"
# A condition that callers set; other versions of a target reject the request.
EXPECT_VERSION = "X-Pimentowick-Expect-Version"
NOT_EXECUTED = "X-Pimentowick-Not-Executed"
SERVER_STAMP = "X-Pimentowick-Server-Stamp"
SERVER_LOAD = "X-Pimentowick-Server-Load"
TOKEN_USAGE = "X-Pimentowick-Token-Usage"
LENGTH_HINT = "X-Pimentowick-Length-Hint"
PROMPT_PREFIX = "X-Pimentowick-Prompt-Prefix"
MAX_WAIT = "X-Pimentowick-Wait-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Fields of events. The last one is a header that a stream may repeat within an event.
STANDARD_EVENT_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
EVENT_FIELDS = STANDARD_EVENT_FIELDS | {b"x-pimentowick-weight-versions"}
RESUMES = "Resumes"
# What a replica says of itself.
REPORT_PATH = "/-/report"
AUTHORIZATION = "Authorization"
SCHEME = "Token"
# A workspace is called a tenant on the wire.
WORKSPACE = "X-Pimentowick-Tenant"
# Hop-by-hop headers, which are not forwarded.
HOP_HEADERS = {
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
JOB_PATH = re.compile(r"^/-/(lots|items)/(.+)$")
# Without the characters that end a request line.
ITEM_PATH = re.compile(r"/[^\x00-\x20\x7f]*")
MAX_ITEMS_PER_JOB = 200
# Parts of a prompt that are considered; more are left out in the middle.
MAX_PARTS = 128
STATUS_MISDIRECTED = 421


class JobOperation(enum.StrEnum):
    """Operation that a caller requests on a batch job."""

    READ = "read"
    """Read the results from a position on."""
    BODY = "body"
    """Read the body of an item."""
    END = "end"
    """End the job."""
    UNKNOWN = "unknown"
    """An operation that does not exist."""


# A batch job is called a lot on the wire.
JOB_OPERATIONS = {
    ("GET", "lots"): JobOperation.READ,
    ("GET", "items"): JobOperation.BODY,
    ("DELETE", "lots"): JobOperation.END,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Decoded headers of a client's request.

    Attributes:
        request_id: Identifier of this attempt by the client, or "".
        deadline_s: Seconds until the client gives up, or None.
        wait_s: Seconds for which a long poll may be held.
        last_event: Id of the event after which a stream resumes, or "".
        first_attempt: Identifier of the attempt that brought the first event of the
            stream that resumes, or "".
        key: API key of the caller's workspace; None if the request has no Authorization
            header, "" if the header is malformed.
        cost: What the request takes of a target, as far as its headers tell.
        parts: Identifiers of the shared parts of its prompt.
    """

    request_id: str
    deadline_s: float | None
    wait_s: float
    last_event: str
    first_attempt: str = ""
    key: str | None = dataclasses.field(default=None, repr=False)
    cost: request_cost.Cost = dataclasses.field(default_factory=request_cost.Cost)
    parts: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """Decoded headers of a target's response.

    Attributes:
        request_id: Identifier of the request that it answers, or "".
        is_signed: Whether the target's stamp is present, and not empty.
        not_executed: Whether the target states that the request did not run.
        is_misdirected: Whether the target is not the expected one. The reason may also
            be a condition of the caller (see `expects_version`).
        load: The `target.ReportedLoad`, or None.
        has_encoding: Whether the body has a content encoding that was not requested.
        closes_connection: Whether the target closes the connection after the response.
        idle_s: Keep-alive timeout of the target in seconds, or None.
    """

    request_id: str
    is_signed: bool
    not_executed: bool
    is_misdirected: bool
    load: target.ReportedLoad | None
    has_encoding: bool
    closes_connection: bool
    idle_s: float | None


def _read_number(headers, name):
    """Return the finite number in a header, or None."""
    try:
        number = float(headers.get(name, ""))
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def decode_request_headers(headers):
    """Decode a client's headers into `RequestHeaders`."""
    deadline = _read_number(headers, DEADLINE)
    wait = _read_number(headers, MAX_WAIT)
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        deadline_s=None if deadline is None else deadline / 1000,
        wait_s=0.0 if wait is None else wait / 1000,
        last_event=headers.get(LAST_EVENT_ID, ""),
        first_attempt=headers.get(RESUMES, ""),
        key=_decode_key(headers),
        cost=_decode_cost(headers),
        parts=_decode_parts(headers),
    )


def decode_item_parts(item):
    """Return the identifiers of the shared parts of the prompt of a `job.Item`."""
    return _decode_parts(httputil.HTTPHeaders(item.headers))


def _decode_parts(headers):
    """Return the identifiers of the shared parts of a prompt, in order.

    The last part belongs to the request itself. Parts whose tokens are malformed count,
    so that a malformed one does not hide the others.

    Examples:
        >>> _decode_parts({PROMPT_PREFIX: "5C1e:200, 91bd:x,91bd:9,e440:250"})
        ('5c1e', '91bd')
        >>> _decode_parts({PROMPT_PREFIX: "5c1e:200"}), _decode_parts({})
        ((), ())
    """
    rows = headers.get(PROMPT_PREFIX, "").split(",")[:-1]
    names = dict.fromkeys(row.partition(":")[0].strip().lower() for row in rows)
    names = [name for name in names if name]
    if len(names) > MAX_PARTS:
        names = names[: MAX_PARTS // 2] + names[-MAX_PARTS // 2 :]
    return tuple(names)


def _decode_cost(headers):
    """Decode the token counts of a request; malformed headers count as absent.

    Examples:
        >>> headers = {TOKEN_USAGE: "450,200", PROMPT_PREFIX: "5c1e:200,91bd:250"}
        >>> cost = _decode_cost(headers)
        >>> cost.prompt_tokens, cost.output_tokens, cost.prefix
        (450, 200, (('5c1e', 200), ('91bd', 250)))
        >>> _decode_cost({TOKEN_USAGE: "x"}).prompt_tokens
        0
    """
    try:
        prompt_tokens, max_output_tokens = (
            max(0, int(part)) for part in headers.get(TOKEN_USAGE, "0,0").split(",")
        )
    except ValueError:
        prompt_tokens = max_output_tokens = 0
    try:
        output_tokens = min(int(headers[LENGTH_HINT]), max_output_tokens)
    except (KeyError, ValueError):
        output_tokens = max_output_tokens
    return request_cost.Cost(
        prompt_tokens, max(0, output_tokens), max_output_tokens, _decode_prefix(headers)
    )


def _decode_prefix(headers):
    try:
        parts = [part.split(":") for part in headers[PROMPT_PREFIX].split(",")]
        return tuple((name.strip(), int(tokens)) for name, tokens in parts)
    except (KeyError, ValueError):
        return ()


def _decode_key(headers):
    values = headers.get_list(AUTHORIZATION)
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    if len(values) > 1 or scheme.lower() != SCHEME.lower():
        return ""
    key = key.strip()
    return "" if " " in key else key


def encode_request_headers(
    headers,
    remaining_s,
    target_id,
    length,
    last_event=None,
    workspace=None,
    keyed=False,
):
    """Build the headers of a request to a target from those of a client.

    Args:
        headers: `tornado.httputil.HTTPHeaders` of the client.
        remaining_s: Seconds left until the deadline, or None.
        target_id: Identifier of the expected target, so that a different target at a
            reused address rejects the request.
        length: Length of the body in bytes.
        last_event: Id of the event after which a stream resumes.
        workspace: Name of the caller's workspace, or None.
        keyed: Whether callers authenticate with API keys, which are not forwarded to
            targets.
    """
    dropped = HOP_HEADERS | {
        DEADLINE.lower(),
        EXPECT_INSTANCE.lower(),
        WORKSPACE.lower(),
    }
    if keyed:
        dropped = dropped | {AUTHORIZATION.lower()}
    dropped |= {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    if last_event is not None:
        dropped = dropped | {LAST_EVENT_ID.lower()}
    target_headers = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        # Some servers treat underscores in header names as dashes.
        if name.lower().replace("_", "-") not in dropped:
            target_headers.add(name, value)
    target_headers["Content-Length"] = str(length)
    target_headers[EXPECT_INSTANCE] = target_id
    if remaining_s is not None:
        target_headers[DEADLINE] = str(max(1, int(remaining_s * 1000)))
    if last_event is not None:
        target_headers[LAST_EVENT_ID] = last_event
    if workspace is not None:
        target_headers[WORKSPACE] = workspace
    return target_headers


def encode_item_headers(item, size, batch_job, remaining_s, target_id, last_event=None):
    """Build the headers of a request to a target that runs an item of a batch job.

    Args:
        item: The `pimentowick.gateway.job.Item`.
        size: Length of its body in bytes.
        batch_job: Its `pimentowick.gateway.job.Job`.
        remaining_s: Seconds left until the deadline.
        target_id: Identifier of the expected target.
        last_event: Id of the event after which the run resumes.
    """
    headers = httputil.HTTPHeaders()
    for name, value in item.headers.items():
        headers.add(name, value)
    headers["Host"] = batch_job.host
    headers[REQUEST_ID] = item.id
    return encode_request_headers(
        headers,
        remaining_s,
        target_id,
        size,
        last_event,
        batch_job.workspace,
        keyed=True,
    )


def expects_version(headers):
    """Return whether a caller sends a request on condition of a target's version.

    Some servers treat underscores in header names as dashes.

    Args:
        headers: `tornado.httputil.HTTPHeaders` of the request.

    Examples:
        >>> expects_version(httputil.HTTPHeaders({"x_pimentowick-expect-version": "2"}))
        True
        >>> expects_version(httputil.HTTPHeaders({EXPECT_INSTANCE: "i-1"}))
        False
    """
    return any(
        name.lower().replace("_", "-") == EXPECT_VERSION.lower() for name in headers
    )


def decode_response_headers(status, headers):
    """Decode status and headers of a target's response into `ResponseHeaders`."""
    keep_alive = re.search(r"timeout=(\d+)", headers.get("Keep-Alive", ""))
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        is_signed=bool(headers.get(SERVER_STAMP)),
        not_executed=NOT_EXECUTED in headers or status == STATUS_MISDIRECTED,
        is_misdirected=status == STATUS_MISDIRECTED,
        load=_decode_load(headers.get(SERVER_LOAD)),
        has_encoding=headers.get("Content-Encoding", "identity") != "identity",
        closes_connection=response_head.announces_close(headers),
        idle_s=float(keep_alive.group(1)) if keep_alive else None,
    )


def _decode_load(text):
    """Decode the load that a target reports; None if it is absent or malformed.

    The fourth figure is the time that work takes on the target's host, in percent of
    the usual time. Only targets that share their host report it.

    Examples:
        >>> _decode_load("3,0,8")
        ReportedLoad(running=3, waiting=0, slots=8, slowdown=None)
        >>> _decode_load("3,0,8,250").slowdown, _decode_load("3,0,8,x")
        (2.5, None)
    """
    try:
        figures = [int(part) for part in text.split(",")]
    except (AttributeError, ValueError):
        return None
    if len(figures) not in (3, 4) or min(figures) < 0:
        return None
    slowdown = figures[3] / 100 if len(figures) == 4 and figures[3] else None
    return target.ReportedLoad(*figures[:3], slowdown)


def has_event_field(headers):
    """Return whether a head has a field that belongs to an event.

    It has if the empty line between it and the first event was lost.

    Examples:
        >>> from tornado import httputil
        >>> has_event_field(httputil.HTTPHeaders({"Date": "now", "Id": "1"}))
        True
        >>> has_event_field(httputil.HTTPHeaders({"Date": "now"}))
        False
    """
    return any(name.lower().encode() in STANDARD_EVENT_FIELDS for name in headers)


def decode_report(body):
    """Return when a target was started, from its report.

    Returns:
        Unix time in milliseconds, or 0 if the target does not say.

    Examples:
        >>> decode_report(b'{"born": 1700000000000, "num_running": 3}')
        1700000000000
        >>> decode_report(b'{"born": "today"}'), decode_report(b"busy")
        (0, 0)
    """
    try:
        data = orjson.loads(body)
    except ValueError:
        return 0
    started_ms = data.get("born") if isinstance(data, dict) else None
    return started_ms if type(started_ms) is int else 0


def remove_hop_headers(headers):
    """Return the headers of a response without the hop-by-hop headers."""
    dropped = HOP_HEADERS - {"content-length"}
    dropped |= {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    end_to_end = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            end_to_end.add(name, value)
    return end_to_end


class _Item(pydantic.BaseModel):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _Submission(pydantic.BaseModel):
    items: list[_Item] = pydantic.Field(min_length=1, max_length=MAX_ITEMS_PER_JOB)


def decode_submission(body):
    """Decode a submitted batch job into items and their bodies.

    Items are `pimentowick.gateway.job.Item` objects without body references.

    Raises:
        ValidationError: The submission is malformed.
    """
    try:
        data = _Submission.model_validate(orjson.loads(body))
        bodies = [base64.b64decode(row.body, validate=True) for row in data.items]
        items = [_decode_item(row) for row in data.items]
    except (ValueError, binascii.Error, httputil.HTTPInputError) as error:
        raise exception.ValidationError(f"Batch job: {error}") from error
    if len({item.id for item in items}) < len(items):
        raise exception.ValidationError("Batch job: an item stands twice.")
    return items, bodies


def _decode_item(row):
    """Return the `pimentowick.gateway.job.Item` of a row.

    Raises:
        ValueError, HTTPInputError: It cannot be sent to a target.
    """
    if not row.id:
        raise ValueError("an item has no identifier")
    if ITEM_PATH.fullmatch(row.path) is None:
        raise ValueError(f"{row.path!r} is not the path of a request")
    # Space around the value of a header is no part of it.
    headers = {name: value.strip(" \t") for name, value in row.headers.items()}
    checked = httputil.HTTPHeaders()
    for name, value in [*headers.items(), (REQUEST_ID, row.id)]:
        checked.add(name, value)
        value.encode("latin-1")
    return job.Item(row.id, row.path, headers, row.tokens)


def find_job_operation(method, path):
    """Return the `JobOperation` and job id of a request, or None for other paths.

    Examples:
        >>> find_job_operation("GET", "/-/lots/7c41")
        (<JobOperation.READ: 'read'>, '7c41')
        >>> find_job_operation("PUT", "/-/items/7c41")
        (<JobOperation.UNKNOWN: 'unknown'>, '7c41')
        >>> find_job_operation("GET", "/-/lots/hall%2F7c41")
        (<JobOperation.READ: 'read'>, 'hall/7c41')
    """
    match = JOB_PATH.match(path)
    if match is None:
        return None
    collection, quoted_id = match.groups()
    operation = JOB_OPERATIONS.get((method, collection), JobOperation.UNKNOWN)
    return operation, urllib.parse.unquote(quoted_id)


@dataclasses.dataclass(frozen=True, slots=True)
class ListedResult:
    """A result as listed for callers."""

    id: str
    done: bool
    text: str


def encode_results(total, after, results):
    """Encode the body that lists results, starting at position `after`."""
    rows = [
        {
            "id": result.id,
            "state": "done" if result.done else "dead",
            "text": result.text,
        }
        for result in results
    ]
    return orjson.dumps({"total": total, "next": after + len(results), "results": rows})


def measure_text(text):
    """Return the size of the text of a result in the body that lists it, in bytes.

    Examples:
        >>> measure_text("one"), measure_text('"')
        (5, 4)
    """
    return len(orjson.dumps(text))
