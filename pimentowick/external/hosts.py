"""Client for the platform's host list (service discovery)."""

import abc
import dataclasses

from pimentowick import exception

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
        self._hosts = [_parse_host(row) for row in response.decode()["hosts"]]
        self._etag = response.headers.get("Etag")
        return self._hosts


def _parse_host(row):
    return Host(
        name=row["host"],
        role=row["role"],
        address=row["address"],
        failure_domain=row["failure_domain"],
        leaving=row["state"] != "live",
    )
