"""Base classes and helpers of the HTTP handlers."""

import asyncio
import secrets

import pydantic

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick import web as http_web
from pimentowick.configuration import tokens
from pimentowick.external import service as external_service

__all__ = [
    "CallerHandler",
    "EntryHandler",
    "OperatorHandler",
    "PeerHandler",
    "check_online_size",
    "forward",
    "validate",
]

# Parsing and encoding a body blocks the event loop, here and at the agent. JSON escapes
# may enlarge it up to six times, which is within the agent's limit.
MAX_ONLINE_BYTES = 8_388_608

FORWARDED_BY = "X-Pimentowick-Forwarded"
FORWARDED_FOR = "X-Forwarded-For"
FORWARD_TIMEOUT_S = 60.0
PEER_QUERY_TIMEOUT_S = 3.0
FORWARDED_HEADERS = (
    "Accept",
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "X-Deadline",
)


class EntryHandler(http_web.JsonHandler):
    """Base of all handlers of the entry; assigns an id to every request."""

    def initialize(self, entry):
        """Set the entry, and the id of the request."""
        self.entry = entry
        self.request_id = "req_" + secrets.token_hex(12)
        self.set_default_headers()

    def set_default_headers(self):
        """Set the id of the request; tornado calls this again for error responses."""
        if self.request_id is None:
            return
        self.set_header("X-Request-Id", self.request_id)
        if self.entry.state != "ready":
            # Makes the caller reconnect, which takes its next request to another entry.
            self.set_header("Connection", "close")

    # Tornado first calls `set_default_headers` before `initialize`.
    request_id = None

    def describe_refusal(self, refusal):
        """Return the response body of a refusal, with the id of the request."""
        data = refusal.to_dict()
        data["error"]["request_id"] = self.request_id
        return data

    def get_token(self):
        """Return the bearer token of the request, or None."""
        scheme, _, text = self.request.headers.get("Authorization", "").partition(" ")
        return text.strip() if scheme.lower() == "bearer" else None

    def get_client_address(self):
        """Return the address of the client that sent the request.

        The header X-Forwarded-For is trusted only from the platform's balancer and from
        other entries; any other client could forge addresses in the audit trail.
        """
        address = self.request.remote_ip
        text = self.request.headers.get(FORWARDED_FOR, "").rpartition(",")[2].strip()
        return text if text and self._is_trusted_proxy(address) else address

    def _is_trusted_proxy(self, address):
        return address in self.entry.settings.trusted_proxies or self.is_peer()

    def is_peer(self):
        """Return whether the request comes from another process of the system.

        With TLS, a client certificate is required. Without TLS, only the address is
        checked, so any process on an entry host passes.
        """
        if self.entry.settings.tls is not None:
            return bool(self.request.get_ssl_certificate())
        hosts = self.entry.fleet.entries.values()
        known = {host.address.rpartition(":")[0] for host in hosts}
        return self.request.remote_ip in known

    async def query_entries(self, path):
        """Send a GET request to all other entries with the token of this request.

        Returns:
            The decoded bodies of the responses with status 200.
        """
        name = self.entry.settings.name
        hosts = [
            host for host in self.entry.fleet.entries.values() if host.name != name
        ]
        answers = await asyncio.gather(
            *(self._query_entry(host, path) for host in hosts)
        )
        return [answer for answer in answers if answer is not None]

    async def _query_entry(self, host, path):
        headers = {"Authorization": self.request.headers.get("Authorization", "")}
        try:
            answer = await self.entry.client.fetch(
                "GET",
                host.address,
                path,
                headers=headers,
                timeout_s=PEER_QUERY_TIMEOUT_S,
            )
            return answer.decode() if answer.status == 200 else None
        except exception.PimentowickError:
            return None

    def check_ready(self):
        """Check that this entry has a configuration and is not stopping.

        Raises:
            RefusedError: This entry has not read the configuration yet, or is stopping.
        """
        if self.entry.is_stopping:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "stopping",
                    "This entry stops. Send the request again.",
                    retry_after=1.0,
                )
            )
        if not self.entry.configuration_replica.ready:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "not_ready",
                    "This entry has no configuration yet. Try again.",
                    retry_after=1.0,
                )
            )


class PeerHandler(EntryHandler):
    """Base of the handlers for other processes of the system."""

    def prepare(self):
        """Reject requests of other clients; see `is_peer`."""
        if not self.is_peer():
            raise exception.RefusedError(
                verdict.Refusal(
                    403, "no_certificate", "This path is for the system's own."
                )
            )


class CallerHandler(EntryHandler):
    """Base of the handlers for callers of a workspace.

    Attributes:
        workspace: `pimentowick.configuration.workspace.Workspace` of the caller.
    """

    def prepare(self):
        """Authenticate the caller and set its workspace."""
        self.check_ready()
        configuration = self.entry.configuration
        self.workspace = configuration.find_workspace_by_token(self.get_token())
        if self.workspace is None:
            raise exception.RefusedError(_make_token_refusal())
        if self.workspace.stopped:
            raise exception.RefusedError(
                verdict.Refusal(403, "stopped", "This workspace is stopped.")
            )

    def get_caller(self):
        """Return the workspace's name and the id of the caller's token."""
        token_id = self.get_token().partition(tokens.SEPARATOR)[0]
        return f"{self.workspace.name}/{token_id}"


class OperatorHandler(EntryHandler):
    """Base of the handlers for operators.

    Attributes:
        operator: `pimentowick.configuration.tokens.StoredToken` of the operator.
    """

    def prepare(self):
        """Authenticate the operator."""
        self.check_ready()
        self.operator = self.entry.find_operator(self.get_token())
        if self.operator is None:
            raise exception.RefusedError(_make_token_refusal())


def _make_token_refusal():
    return verdict.Refusal(
        401, "wrong_token", "The bearer token is missing or wrong. Check it."
    )


def check_online_size(body):
    """Check the size of an online request's body, since parsing it blocks the loop.

    Raises:
        RefusedError: The body is larger than `MAX_ONLINE_BYTES`.
    """
    if len(body) > MAX_ONLINE_BYTES:
        raise http_web.make_input_error(
            f"An online body holds at most {MAX_ONLINE_BYTES} bytes. Shorten it.",
            "too_large",
            413,
        )


async def forward(handler, number, timeout_s=FORWARD_TIMEOUT_S):
    """Forward a request to an entry that follows a shard, and return its response.

    Args:
        handler: Handler of the request.
        number: Number of the shard.
        timeout_s: Timeout of the request in seconds.

    Raises:
        RefusedError: No entry that follows the shard responded.
    """
    entry = handler.entry
    if FORWARDED_BY in handler.request.headers:
        raise exception.RefusedError(_make_shard_refusal())
    for name in entry.table.list_followers(number):
        host = entry.fleet.entries.get(name)
        if host is None or name == entry.settings.name:
            continue
        try:
            answer = await _send(handler, host, timeout_s)
        except http_client.TransportError as error:
            if error.verdict is verdict.Verdict.NOT_RUN:
                continue
            raise exception.RefusedError(
                verdict.Refusal(502, "entry_lost", str(error), error.verdict, 1.0)
            ) from error
        handler.set_status(answer.status)
        for field, value in answer.headers.items():
            if field.lower() not in external_service.HOP_BY_HOP_HEADERS:
                handler.set_header(field, value)
        handler.finish(answer.body)
        return
    raise exception.RefusedError(_make_shard_refusal())


async def _send(handler, host, timeout_s):
    request = handler.request
    headers = {
        name: request.headers[name]
        for name in FORWARDED_HEADERS
        if name in request.headers
    }
    for name in request.headers:
        if name.lower().startswith("x-idempotent"):
            headers[name] = request.headers[name]
    headers[FORWARDED_BY] = handler.entry.settings.name
    headers[FORWARDED_FOR] = handler.get_client_address()
    body = request.body if request.method in ("POST", "PUT", "PATCH") else None
    return await handler.entry.forward_client.fetch(
        request.method,
        host.address,
        request.uri,
        body,
        headers,
        timeout_s=timeout_s,
        new_connection=request.method != "GET",
    )


def _make_shard_refusal():
    return verdict.Refusal(
        503,
        "moving",
        "No entry that keeps this answers now. Try again.",
        retry_after=1.0,
    )


def validate(model, data):
    """Validate `data` against a pydantic model and return the instance.

    Raises:
        RefusedError: The data is invalid; the message describes the first error.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        details = error.errors()[0]
        path = ".".join(str(part) for part in details["loc"])
        raise http_web.make_input_error(f"{path}: {details['msg']}.") from error
