"""The platform's append-only log.

Only what every such service offers is assumed: records in one order a stream,
offsets, a limited time of keeping. Nothing is refused by content, so whether a
record takes effect is decided by the readers' folds.
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
    """Some consecutive records of a stream.

    Attributes:
        records: List of ``(offset, record)``.
        first: Oldest offset that the log still keeps.
        head: Offset that the next append gets.
    """

    records: list
    first: int
    head: int


class Log(abc.ABC):
    """The log service as the rest of the package sees it."""

    @abc.abstractmethod
    async def append(self, stream, records):
        """Append `records` to `stream`, all or none.

        Returns:
            The offset of the first of them.

        Raises:
            LogThrottledError: The log is over its rate; nothing was appended.
            LogUnavailableError: No answer came; the append may have happened, and
                may even happen later.
        """

    @abc.abstractmethod
    async def read(self, stream, offset, limit=READ_LIMIT, wait_s=0.0):
        """Return the `Page` of at most `limit` records from `offset` on.

        Args:
            stream: Name of the stream.
            offset: First offset wanted; older than the oldest one kept means
                that one.
            limit: Most records to return.
            wait_s: How long the log may hold the answer while there is nothing
                to return, in seconds.

        Raises:
            LogUnavailableError: No answer came.
        """


class HttpLog(Log):
    """The log over HTTP, as docs/PLATFORM.md describes it.

    Args:
        address: ``IP:port`` of the service.
        client: `pimentowick.client.Client` to send with.
    """

    def __init__(self, address, client):
        self.address = address
        self._client = client

    async def append(self, stream, records):
        """Append `records`; see `Log.append`."""
        try:
            answer = await self._client.fetch(
                "POST",
                self.address,
                f"/streams/{stream}/records",
                {"records": records},
                timeout_s=APPEND_TIMEOUT_S,
            )
        except http_client.TransportError as error:
            raise exception.LogUnavailableError(str(error)) from error
        if answer.status == 429:
            raise exception.LogThrottledError("The log is over its append rate.")
        if answer.status == 413:
            raise exception.ValidationError("A record is too large for the log.")
        if answer.status != 200:
            raise exception.LogUnavailableError(f"The log answered {answer.status}.")
        return answer.decode()["first"]

    async def read(self, stream, offset, limit=READ_LIMIT, wait_s=0.0):
        """Return records; see `Log.read`."""
        path = f"/streams/{stream}/records?from={offset}&limit={limit}&wait={wait_s:g}"
        try:
            answer = await self._client.fetch(
                "GET", self.address, path, timeout_s=READ_TIMEOUT_S + wait_s
            )
        except http_client.TransportError as error:
            raise exception.LogUnavailableError(str(error)) from error
        if answer.status != 200:
            raise exception.LogUnavailableError(f"The log answered {answer.status}.")
        data = _decode(answer)
        records = [(entry["offset"], entry["record"]) for entry in data["records"]]
        return Page(records, data["first"], data["head"])


def _decode(answer):
    """Return the data of an answer.

    One record with broken text, such as half of a surrogate pair, must not keep
    the readers from all that comes after it. The strict decoder refuses it.
    """
    try:
        return answer.decode()
    except exception.ValidationError:
        pass
    try:
        return json.loads(answer.body)
    except ValueError as error:
        raise exception.LogUnavailableError("The log's answer is broken.") from error


def make_id():
    """Return a random id for a record, which makes a repeated append harmless.

    Examples:
        >>> len(make_id())
        24
    """
    return secrets.token_hex(12)
