"""Client for a plain service that runs beside an agent."""

import abc
import dataclasses

import orjson

from pimentowick import client as http_client
from pimentowick import exception, verdict

__all__ = ["HttpService", "Service", "ServiceCall", "ServiceResponse"]

# Hop-by-hop headers and headers that are set anew when the response is forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
        # Added by tornado's client, not sent by the service.
        "x-http-reason",
    ]
)
JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """Request to a plain service."""

    request_id: str
    method: str
    path: str
    headers: dict
    body: bytes
    idempotency_key: str | None
    idempotent: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service."""

    status: int
    headers: dict
    body: bytes


class Service(abc.ABC):
    """Interface of a plain service."""

    @abc.abstractmethod
    async def call(self, call):
        """Send a `ServiceCall` and return the `ServiceResponse`.

        Raises:
            RefusedError: The service did not respond completely.
        """


class HttpService(Service):
    """Plain service with the HTTP interface described in docs/PLATFORM.md."""

    def __init__(self, address, client):
        self.address = address
        self._client = client

    async def call(self, call):
        """Send a call; see `Service.call`."""
        headers = dict(call.headers)
        headers["X-Request-Id"] = call.request_id
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        body = call.body if call.method in ("POST", "PUT", "PATCH") else None
        try:
            response = await self._client.fetch(
                call.method,
                self.address,
                call.path,
                body,
                headers,
                timeout_s=call.deadline_s,
                # A service sends nothing until it responds, so a call on a broken
                # pooled connection would fail only at its deadline. The service runs
                # on the same host, where new connections are cheap.
                new_connection=True,
                needs_framing=False,
            )
        except http_client.TransportError as error:
            if error.timed_out:
                # A deadline that passed does not imply a failure of the service.
                refusal = verdict.make_deadline_refusal(error.verdict)
                raise exception.RefusedError(refusal) from error
            refusal = _make_loss_refusal(str(error), error.verdict)
            raise exception.RefusedError(refusal) from error
        if not (response.is_framed or _tells_its_end(response)):
            refusal = _make_loss_refusal(
                f"The answer from {self.address} may have broken off.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
            raise exception.RefusedError(refusal)
        forwarded = {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        }
        return ServiceResponse(response.status, forwarded, response.body)


def _make_loss_refusal(message, found):
    return verdict.Refusal(502, "target_lost", message, found, retry_after=1.0)


def _tells_its_end(response):
    """Return whether a body tells by itself that it is whole.

    The closing connection does not, as it closes in order if the service ends, too. A
    JSON object or array that is cut before its last bracket is not JSON.

    Examples:
        >>> from tornado import httputil
        >>> headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        >>> _tells_its_end(http_client.Response(200, b'{"run": 1}', headers))
        True
        >>> _tells_its_end(http_client.Response(200, b'{"run": 1', headers))
        False
        >>> _tells_its_end(http_client.Response(200, b"12", headers))
        False
    """
    media_type, _, _ = response.headers.get("Content-Type", "").partition(";")
    if media_type.strip().lower() != JSON_TYPE:
        return False
    try:
        return isinstance(orjson.loads(response.body), dict | list)
    except ValueError:
        return False
