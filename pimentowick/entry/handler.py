"""What the handlers of callers and operators have in common."""

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

# An online body is parsed and encoded in one turn of the loop each, here and at the
# agent, where it grows by escapes: six times at worst, which an agent still takes.
MAX_ONLINE_BYTES = 8_388_608

FORWARDED = "X-Pimentowick-Forwarded"
CLIENT = "X-Forwarded-For"
FORWARD_TIMEOUT_S = 60.0
ASK_TIMEOUT_S = 3.0
FORWARD_HEADERS = (
    "Accept",
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "X-Deadline",
)


class EntryHandler(http_web.JsonHandler):
    """Knows the entry, and gives every request an id."""

    def initialize(self, entry):
        """Take the entry."""
        self.entry = entry
        self.request_id = "req_" + secrets.token_hex(12)
        self.set_default_headers()

    def set_default_headers(self):
        """Name the request in the answer; tornado asks again for refusals."""
        if self.request_id is None:
            return
        self.set_header("X-Request-Id", self.request_id)
        if self.entry.state != "ready":
            # The caller's next request goes by a new connection to another entry.
            self.set_header("Connection", "close")

    # Tornado asks for the headers once before `initialize`, too.
    request_id = None

    def describe_refusal(self, refusal):
        """Return the body that states a refusal, with the request it is about."""
        data = refusal.to_dict()
        data["error"]["request_id"] = self.request_id
        return data

    def get_token(self):
        """Return the bearer token of the request, or None."""
        scheme, _, text = self.request.headers.get("Authorization", "").partition(" ")
        return text.strip() if scheme.lower() == "bearer" else None

    def get_client(self):
        """Return the address that the request came from.

        The header X-Forwarded-For counts only if it comes from the platform's
        balancer or from another entry: anybody else could put into the audit trail
        what he likes.
        """
        address = self.request.remote_ip
        text = self.request.headers.get(CLIENT, "").rpartition(",")[2].strip()
        return text if text and self._is_proxy(address) else address

    def _is_proxy(self, address):
        return address in self.entry.settings.trusted_proxies or self.is_peer()

    def is_peer(self):
        """Return whether a process of the system asks, as far as that is checked.

        Without encryption only the address tells: a caller elsewhere must not read
        what all workspaces have, and a caller on an entry host could.
        """
        if self.entry.settings.tls is not None:
            return bool(self.request.get_ssl_certificate())
        hosts = self.entry.fleet.entries.values()
        known = {host.address.rpartition(":")[0] for host in hosts}
        return self.request.remote_ip in known

    async def ask_entries(self, path):
        """Ask all other entries the same, with the token of this request.

        Returns:
            The decoded answers of those that answered 200.
        """
        name = self.entry.settings.name
        hosts = [
            host for host in self.entry.fleet.entries.values() if host.name != name
        ]
        answers = await asyncio.gather(*(self._ask_entry(host, path) for host in hosts))
        return [answer for answer in answers if answer is not None]

    async def _ask_entry(self, host, path):
        headers = {"Authorization": self.request.headers.get("Authorization", "")}
        try:
            answer = await self.entry.client.fetch(
                "GET", host.address, path, headers=headers, timeout_s=ASK_TIMEOUT_S
            )
            return answer.decode() if answer.status == 200 else None
        except exception.PimentowickError:
            return None

    def check_ready(self):
        """Refuse while no configuration is known, and when stopping.

        Raises:
            RefusedError: This entry has not read the configuration yet, or takes
                no request any more.
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
    """Handles requests of other processes of the system."""

    def prepare(self):
        """Refuse whoever shows no certificate of the authority."""
        if not self.is_peer():
            raise exception.RefusedError(
                verdict.Refusal(
                    403, "no_certificate", "This path is for the system's own."
                )
            )


class CallerHandler(EntryHandler):
    """Handles requests of a workspace.

    Attributes:
        workspace: `pimentowick.configuration.workspace.Workspace` of the caller.
    """

    def prepare(self):
        """Find the workspace that the token names."""
        self.check_ready()
        configuration = self.entry.configuration
        self.workspace = configuration.find_workspace_by_token(self.get_token())
        if self.workspace is None:
            raise exception.RefusedError(_refuse_token())
        if self.workspace.stopped:
            raise exception.RefusedError(
                verdict.Refusal(403, "stopped", "This workspace is stopped.")
            )

    def get_caller(self):
        """Return the workspace and the public part of the caller's token."""
        token_id = self.get_token().partition(tokens.SEPARATOR)[0]
        return f"{self.workspace.name}/{token_id}"


class OperatorHandler(EntryHandler):
    """Handles requests of operators.

    Attributes:
        operator: `pimentowick.configuration.tokens.Entry` of the operator.
    """

    def prepare(self):
        """Find the operator that the token names."""
        self.check_ready()
        self.operator = self.entry.find_operator(self.get_token())
        if self.operator is None:
            raise exception.RefusedError(_refuse_token())


def _refuse_token():
    return verdict.Refusal(
        401, "wrong_token", "The bearer token is missing or wrong. Check it."
    )


def check_online_size(body):
    """Refuse the body of an online request that would delay all others.

    Raises:
        RefusedError: It is larger than `MAX_ONLINE_BYTES`.
    """
    if len(body) > MAX_ONLINE_BYTES:
        raise http_web.make_input_error(
            f"An online body holds at most {MAX_ONLINE_BYTES} bytes. Shorten it.",
            "too_large",
            413,
        )


async def forward(handler, number, timeout_s=FORWARD_TIMEOUT_S):
    """Pass a request on to an entry that follows a shard, and its answer back.

    Args:
        handler: Handler of the request.
        number: Number of the shard.
        timeout_s: Seconds until the request has to be answered.

    Raises:
        RefusedError: No such entry answered.
    """
    entry = handler.entry
    if FORWARDED in handler.request.headers:
        raise exception.RefusedError(_refuse_moving())
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
    raise exception.RefusedError(_refuse_moving())


async def _send(handler, host, timeout_s):
    request = handler.request
    headers = {
        name: request.headers[name]
        for name in FORWARD_HEADERS
        if name in request.headers
    }
    for name in request.headers:
        if name.lower().startswith("x-idempotent"):
            headers[name] = request.headers[name]
    headers[FORWARDED] = handler.entry.settings.name
    headers[CLIENT] = handler.get_client()
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


def _refuse_moving():
    return verdict.Refusal(
        503,
        "moving",
        "No entry that keeps this answers now. Try again.",
        retry_after=1.0,
    )


def validate(model, data):
    """Return `data` checked by a pydantic model.

    Raises:
        RefusedError: It does not fit; the message names the first fault.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
        place = ".".join(str(part) for part in fault["loc"])
        raise http_web.make_input_error(f"{place}: {fault['msg']}.") from error
