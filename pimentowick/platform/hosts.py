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
    """The host list over HTTP, as docs/PLATFORM.md describes it."""

    def __init__(self, address, client):
        self.address = address
        self._client = client

    async def read(self):
        """Return the list of `Host`; see `HostList.read`."""
        answer = await self._client.fetch(
            "GET", self.address, "/hosts", timeout_s=READ_TIMEOUT_S
        )
        if answer.status != 200:
            raise exception.UnavailableError(f"The host list answered {answer.status}.")
        return [_parse_host(entry) for entry in answer.decode()["hosts"]]


def _parse_host(entry):
    return Host(
        name=entry["host"],
        role=entry["role"],
        address=entry["address"],
        failure_domain=entry["failure_domain"],
        leaving=entry["state"] != "live",
    )
