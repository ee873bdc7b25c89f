"""Requests from the command line to the entries of a fleet."""

import urllib.parse

from returns import result

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.cli import outcome

__all__ = ["Connection", "make_path"]

READ_METHODS = frozenset(["GET", "HEAD"])
DEFAULT_TIMEOUT_S = 60.0


class Connection:
    """Asks the entries in turn until one answers.

    A request that only reads goes on to the next entry after any failure. One that
    changes something does so only if the failed one is known not to have run:
    otherwise it could take effect twice.

    Args:
        entries: List of ``IP:port``.
        token: Token of an operator or a workspace.
        tls: `pimentowick.tls.ClientTls`, or None.
    """

    def __init__(self, entries, token, tls=None):
        self._entries = entries
        self._token = token
        self._client = http_client.Client(max_connections=4, tls=tls)

    async def start(self):
        """Make the pool of connections."""
        await self._client.start()

    async def close(self):
        """Drop all connections."""
        await self._client.close()

    async def fetch(
        self, method, path, body=None, headers=None, timeout_s=DEFAULT_TIMEOUT_S
    ):
        """Send a request.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Bytes, or data to send as JSON, or None.
            headers: Dictionary of headers besides that of the token.
            timeout_s: Bound of one exchange, in seconds.

        Returns:
            `result.Result` of the `pimentowick.client.Response`, whose status is below
            300, or the `pimentowick.cli.outcome.Failure`.
        """
        headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        failure = None
        for address in self._entries:
            answer = await self._try(address, method, path, body, headers, timeout_s)
            if isinstance(answer, result.Success):
                return answer
            failure = answer
            if not _may_go_on(method, answer.failure()):
                return answer
        return failure

    async def _try(self, address, method, path, body, headers, timeout_s):
        try:
            answer = await self._client.fetch(
                method,
                address,
                path,
                body,
                headers,
                timeout_s=timeout_s,
                new_connection=True,
            )
        except http_client.TransportError as error:
            return result.Failure(_explain_transport(error))
        if answer.status < 300:
            return result.Success(answer)
        return result.Failure(_explain_answer(answer))

    async def fetch_json(self, method, path, body=None, **fields):
        """Send a request; like `fetch`, with the decoded body as the result."""
        answer = await self.fetch(method, path, body, **fields)
        return answer.map(http_client.Response.decode)


def make_path(path, **fields):
    """Return a path with the fields that are not None as its query.

    Examples:
        >>> make_path("/v1/audit", by="a b", since=None)
        '/v1/audit?by=a+b'
    """
    given = {name: value for name, value in fields.items() if value is not None}
    return f"{path}?{urllib.parse.urlencode(given)}" if given else path


def _may_go_on(method, failure):
    if failure.exit_code is outcome.ExitCode.UNREACHABLE:
        return True
    return method in READ_METHODS and failure.exit_code is outcome.ExitCode.UNKNOWN


def _explain_transport(error):
    if error.verdict is verdict.Verdict.NOT_RUN:
        return outcome.Failure(
            outcome.ExitCode.UNREACHABLE,
            "unreachable",
            f"{error} Check the addresses given with --entry.",
        )
    return outcome.Failure(
        outcome.ExitCode.UNKNOWN,
        "unknown_outcome",
        f"{error} The request may have run. Look before you send it again.",
    )


def _explain_answer(answer):
    try:
        refusal = verdict.Refusal.from_dict(answer.decode())
    except (exception.ValidationError, KeyError, TypeError, ValueError):
        return outcome.Failure(
            outcome.ExitCode.UNKNOWN,
            "malformed_answer",
            f"Status {answer.status} without a refusal. Is that an entry?",
        )
    return outcome.explain_refusal(refusal)
