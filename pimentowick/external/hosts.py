"""Client for the platform's host list (service discovery)."""

import abc
import dataclasses

from loguru import logger

from pimentowick import endpoint, exception

__all__ = ["Host", "HostList", "HttpHostList"]

READ_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Host as listed by the platform; the list may be seconds out of date.

    Attributes:
        name: Name of the host.
        role: ``entry`` or ``agent``.
        address: ``IP:port`` of the entry or agent on the host.
        failure_domain: Name of the failure domain.
        leaving: Whether the host is about to be removed.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    leaving: bool = False


class HostList(abc.ABC):
    """Interface of the host list."""

    @abc.abstractmethod
    async def read(self):
        """Return a list of `Host`.

        Raises:
            UnavailableError: The service did not respond successfully.
        """


class HttpHostList(HostList):
    """Host list with the HTTP interface described in docs/PLATFORM.md.

    If the service supports entity tags, an unchanged list is not transferred again.
    """

    def __init__(self, address, client):
        self.address = address
        self._client = client
        self._etag = None
        self._hosts = []
        self._malformed = 0

    async def read(self):
        """Return a list of `Host`; see `HostList.read`."""
        headers = {} if self._etag is None else {"If-None-Match": self._etag}
        response = await self._client.fetch(
            "GET", self.address, "/hosts", headers=headers, timeout_s=READ_TIMEOUT_S
        )
        if response.status == 304 and self._etag is not None:
            return self._hosts
        if response.status != 200:
            raise exception.UnavailableError(
                f"The host list answered {response.status}."
            )
        self._hosts = self._parse_hosts(_decode_rows(response))
        self._etag = response.headers.get("Etag")
        return self._hosts

    def _parse_hosts(self, rows):
        """Return the hosts of the well-formed rows; log how many others there are."""
        parsed = [_parse_host(row) for row in rows]
        found = [host for host in parsed if host is not None]
        malformed = len(parsed) - len(found)
        if malformed != self._malformed:
            logger.warning("The host list has {} malformed rows.", malformed)
        self._malformed = malformed
        return found


def _decode_rows(response):
    """Return the rows of a response.

    Raises:
        UnavailableError: It is malformed.
    """
    try:
        rows = response.decode()["hosts"]
    except (exception.ValidationError, LookupError, TypeError) as error:
        raise exception.UnavailableError("The host list is malformed.") from error
    if not isinstance(rows, list):
        raise exception.UnavailableError("The host list is malformed.")
    return rows


def _parse_host(row):
    """Return the `Host` of a row, or None if it is malformed."""
    try:
        names = [row[name] for name in ("host", "role", "address", "failure_domain")]
        is_leaving = row["state"] != "live"
        if not all(isinstance(name, str) for name in names):
            return None
        endpoint.parse(row["address"])
    except (LookupError, TypeError, ValueError):
        return None
    return Host(*names, is_leaving)
