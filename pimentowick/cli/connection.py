"""HTTP client for the entries of a fleet."""

import urllib.parse

from returns import result

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.cli import outcome

__all__ = ["FleetClient", "add_query"]

READ_ONLY_METHODS = frozenset(["GET", "HEAD"])
DEFAULT_TIMEOUT_S = 60.0


class FleetClient:
    """HTTP client that fails over between entries.

    A request that was not executed is retried at the next entry. If the outcome of an
    attempt is unknown, only read-only requests are retried, so that no change is
    applied twice. Refused requests are not retried.

    Args:
        entries: List of addresses, ``IP:port``, in the order in which they are tried.
        token: Token of an operator or a workspace.
        tls: `pimentowick.tls.ClientTls`, or None for plain HTTP.
    """

    def __init__(self, entries, token, tls=None):
        self._entries = entries
        self._token = token
        self._client = http_client.Client(max_connections=4, tls=tls)

    async def start(self):
        """Open the connection pool."""
        await self._client.start()

    async def close(self):
        """Close the connection pool."""
        await self._client.close()

    async def fetch(
        self, method, path, body=None, headers=None, timeout_s=DEFAULT_TIMEOUT_S
    ):
        """Send a request to the first entry that can process it.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Bytes, or data to encode as JSON, or None.
            headers: Additional headers, as a dictionary.
            timeout_s: Timeout of each attempt, in seconds.

        Returns:
            `result.Result` that holds a `pimentowick.client.Response` with a status
            below 300, or the `pimentowick.cli.outcome.Failure` of the last attempt.
        """
        headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        last_failure = None
        for address in self._entries:
            response = await self._fetch_from(
                address, method, path, body, headers, timeout_s
            )
            if isinstance(response, result.Success):
                return response
            last_failure = response
            if not _may_try_next_entry(method, response.failure()):
                return response
        return last_failure

    async def _fetch_from(self, address, method, path, body, headers, timeout_s):
        try:
            response = await self._client.fetch(
                method,
                address,
                path,
                body,
                headers,
                timeout_s=timeout_s,
                new_connection=True,
            )
        except http_client.TransportError as error:
            return result.Failure(_make_transport_failure(error))
        if response.status < 300:
            return result.Success(response)
        return result.Failure(_make_response_failure(response))

    async def fetch_json(self, method, path, body=None, **options):
        """Send a request like `fetch`, and decode the body of the response as JSON."""
        response = await self.fetch(method, path, body, **options)
        return response.map(http_client.Response.decode)


def add_query(path, **parameters):
    """Append query parameters to a path, leaving out those that are None.

    Examples:
        >>> add_query("/v1/audit", by="a b", since=None)
        '/v1/audit?by=a+b'
    """
    query = {name: value for name, value in parameters.items() if value is not None}
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _may_try_next_entry(method, failure):
    if failure.exit_code is outcome.ExitCode.UNREACHABLE:
        return True
    return method in READ_ONLY_METHODS and failure.exit_code is outcome.ExitCode.UNKNOWN


def _make_transport_failure(error):
    if error.verdict is verdict.Verdict.NOT_RUN:
        return outcome.Failure(
            outcome.ExitCode.UNREACHABLE,
            "unreachable",
            f"{error} Check the addresses given with --entry.",
        )
    return outcome.Failure(
        outcome.ExitCode.UNKNOWN,
        "unknown_outcome",
        f"{error} The request may have been executed;"
        " check its effect before retrying.",
    )


def _make_response_failure(response):
    try:
        refusal = verdict.Refusal.from_dict(response.decode())
    except (exception.ValidationError, KeyError, TypeError, ValueError):
        return outcome.Failure(
            outcome.ExitCode.UNKNOWN,
            "malformed_answer",
            f"Unexpected response with status {response.status};"
            " check that the address is an entry's.",
        )
    return outcome.make_refusal_failure(refusal)
