"""Client for a plain service that runs beside an agent."""

import abc
import dataclasses

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
            )
        except http_client.TransportError as error:
            if error.timed_out:
                # A deadline that passed does not imply a failure of the service.
                refusal = verdict.make_deadline_refusal(error.verdict)
                raise exception.RefusedError(refusal) from error
            raise exception.RefusedError(
                verdict.Refusal(
                    502, "target_lost", str(error), error.verdict, retry_after=1.0
                )
            ) from error
        forwarded = {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        }
        return ServiceResponse(response.status, forwarded, response.body)
