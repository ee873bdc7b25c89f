"""Client for the platform's append-only log service.

The service is assumed to offer totally ordered streams of records with offsets and a
limited retention, but no conditional appends. The state machines of the readers
determine whether a record takes effect.
"""

import abc
import dataclasses
import json
import secrets

from pimentowick import client as http_client
from pimentowick import exception

__all__ = ["HttpLog", "Log", "Page", "make_id"]

READ_LIMIT = 500
READ_TIMEOUT_S = 3.0
APPEND_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: List of ``(offset, record)`` tuples.
        first: Oldest retained offset.
        head: Offset of the next appended record.
    """

    records: list
    first: int
    head: int


class Log(abc.ABC):
    """Interface of the log service."""

    @abc.abstractmethod
    async def append(self, stream, records):
        """Append `records` to `stream` atomically.

        Returns:
            Offset of the first appended record.

        Raises:
            LogThrottledError: The append rate limit was exceeded; nothing was appended.
            LogUnavailableError: The service did not respond; the records may have been
                appended or may still be appended later.
        """

    @abc.abstractmethod
    async def read(self, stream, offset, limit=READ_LIMIT, wait_s=0.0):
        """Return a `Page` of at most `limit` records, starting at `offset`.

        Args:
            stream: Name of the stream.
            offset: First offset to return; raised to the oldest retained offset.
            limit: Maximum number of records.
            wait_s: Maximum time for which the service waits for a record if there is
                none to return (long polling), in seconds.

        Raises:
            LogUnavailableError: The service did not respond.
        """


class HttpLog(Log):
    """Log service with the HTTP interface described in docs/PLATFORM.md.

    Args:
        address: ``IP:port`` of the service.
        client: `pimentowick.client.Client` for the requests.
    """

    def __init__(self, address, client):
        self.address = address
        self._client = client

    async def append(self, stream, records):
        """Append records; see `Log.append`."""
        try:
            response = await self._client.fetch(
                "POST",
                self.address,
                f"/streams/{stream}/records",
                {"records": records},
                timeout_s=APPEND_TIMEOUT_S,
            )
        except http_client.TransportError as error:
            raise exception.LogUnavailableError(str(error)) from error
        if response.status == 429:
            raise exception.LogThrottledError("The log is over its append rate.")
        if response.status == 413:
            raise exception.ValidationError("A record is too large for the log.")
        if response.status != 200:
            raise exception.LogUnavailableError(f"The log answered {response.status}.")
        return response.decode()["first"]

    async def read(self, stream, offset, limit=READ_LIMIT, wait_s=0.0):
        """Read records; see `Log.read`."""
        path = f"/streams/{stream}/records?from={offset}&limit={limit}&wait={wait_s:g}"
        try:
            response = await self._client.fetch(
                "GET", self.address, path, timeout_s=READ_TIMEOUT_S + wait_s
            )
        except http_client.TransportError as error:
            raise exception.LogUnavailableError(str(error)) from error
        if response.status != 200:
            raise exception.LogUnavailableError(f"The log answered {response.status}.")
        data = _decode(response)
        records = [(row["offset"], row["record"]) for row in data["records"]]
        return Page(records, data["first"], data["head"])


def _decode(response):
    """Return the decoded body of a response.

    Falls back to a lenient decoder, so that a record with an unpaired surrogate does
    not prevent the following records from being read.
    """
    try:
        return response.decode()
    except exception.ValidationError:
        pass
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise exception.LogUnavailableError("The log's answer is broken.") from error


def make_id():
    """Return a random record id, by which readers deduplicate retried appends.

    Examples:
        >>> len(make_id())
        24
    """
    return secrets.token_hex(12)
