"""The platform's host list: which hosts live and which are leaving."""

import abc
import dataclasses

from pimentowick import exception

__all__ = ["Host", "HostList", "HttpHostList"]

READ_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host as the platform lists it, some seconds ago.

    Attributes:
        name: Name of the host.
        role: ``entry`` or ``agent``.
        address: ``IP:port`` of the process of this package there.
        failure_domain: Name of the failure domain.
        leaving: Whether the host is about to go.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    leaving: bool = False


class HostList(abc.ABC):
    """The host list as the rest of the package sees it."""

    @abc.abstractmethod
    async def read(self):
        """Return the list of `Host`.

        Raises:
            UnavailableError: The host list gave no usable answer.
        """


class HttpHostList(HostList):
    """The host list over HTTP, as docs/PLATFORM.md describes it.

    A list that did not change since the last read is not sent again if the service
    knows entity tags; with thousands of hosts it would be most of the traffic.
    """

    def __init__(self, address, client):
        self.address = address
        self._client = client
        self._tag = None
        self._hosts = []

    async def read(self):
        """Return the list of `Host`; see `HostList.read`."""
        headers = {} if self._tag is None else {"If-None-Match": self._tag}
        answer = await self._client.fetch(
            "GET", self.address, "/hosts", headers=headers, timeout_s=READ_TIMEOUT_S
        )
        if answer.status == 304 and self._tag is not None:
            return self._hosts
        if answer.status != 200:
            raise exception.UnavailableError(f"The host list answered {answer.status}.")
        self._hosts = [_parse_host(entry) for entry in answer.decode()["hosts"]]
        self._tag = answer.headers.get("Etag")
        return self._hosts


def _parse_host(entry):
    return Host(
        name=entry["host"],
        role=entry["role"],
        address=entry["address"],
        failure_domain=entry["failure_domain"],
        leaving=entry["state"] != "live",
    )
