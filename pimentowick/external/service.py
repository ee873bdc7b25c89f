"""The plain service beside an agent."""

import abc
import dataclasses

from pimentowick import client as http_client
from pimentowick import exception, verdict

__all__ = ["HttpService", "Service", "ServiceCall", "ServiceResponse"]

# Headers that belong to one connection, or that the answer is framed with anew.
HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
        # Added by tornado's client, not by the peer.
        "x-http-reason",
    ]
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

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
    """The whole answer of a plain service."""

    status: int
    headers: dict
    body: bytes


class Service(abc.ABC):
    """A plain service as the agent sees it."""

    @abc.abstractmethod
    async def call(self, call):
        """Return the `ServiceResponse` to a `ServiceCall`.

        Raises:
            RefusedError: No whole answer came; the refusal carries the verdict.
        """


class HttpService(Service):
    """A plain service over HTTP, as docs/PLATFORM.md describes it."""

    def __init__(self, address, client):
        self.address = address
        self._client = client

    async def call(self, call):
        """Return the answer to a call; see `Service.call`."""
        headers = dict(call.headers)
        headers["X-Request-Id"] = call.request_id
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        body = call.body if call.method in ("POST", "PUT", "PATCH") else None
        try:
            answer = await self._client.fetch(
                call.method,
                self.address,
                call.path,
                body,
                headers,
                timeout_s=call.deadline_s,
                # A pooled connection may be dead without anybody knowing, and a
                # service sends nothing while it works: the call would be lost, and
                # that would show at its deadline only. The service is on this host,
                # so that a connection costs little.
                new_connection=True,
            )
        except http_client.TransportError as error:
            if error.timed_out:
                # A caller that allows little time is no sign of a lost service.
                timed_out = verdict.make_deadline_refusal(error.verdict)
                raise exception.RefusedError(timed_out) from error
            raise exception.RefusedError(
                verdict.Refusal(
                    502, "target_lost", str(error), error.verdict, retry_after=1.0
                )
            ) from error
        kept = {
            name: value
            for name, value in answer.headers.items()
            if name.lower() not in HOP_HEADERS
        }
        return ServiceResponse(answer.status, kept, answer.body)
