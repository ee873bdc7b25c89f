"""The platform's weight store, which gives out weights at a limited rate."""

import abc
import dataclasses

from pimentowick import exception

__all__ = ["HttpWeightStore", "WeightStore", "Weights"]


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights that were transferred.

    Attributes:
        name: Name of the model or adapter.
        version: Its version.
        size: Size in bytes.
    """

    name: str
    version: str
    size: int


class WeightStore(abc.ABC):
    """The weight store as the rest of the package sees it."""

    @abc.abstractmethod
    async def transfer(self, name, version):
        """Transfer weights to this host, and return their `Weights`.

        Raises:
            ValidationError: The store has no such weights.
            UnavailableError: The transfer did not end.
        """


class HttpWeightStore(WeightStore):
    """The weight store over HTTP, as docs/PLATFORM.md describes it.

    Args:
        address: ``IP:port`` of the service.
        client: `pimentowick.client.Client` to fetch with.
        timeout_s: Longest time of one transfer, in seconds.
    """

    def __init__(self, address, client, timeout_s):
        self.address = address
        self._client = client
        self._timeout_s = timeout_s

    async def transfer(self, name, version):
        """Transfer weights; see `WeightStore.transfer`."""
        answer = await self._client.fetch(
            "GET",
            self.address,
            f"/weights/{name}/{version}",
            timeout_s=self._timeout_s,
        )
        if answer.status == 404:
            raise exception.ValidationError(f"There are no weights {name}/{version}.")
        if answer.status != 200:
            raise exception.UnavailableError(
                f"The weight store answered {answer.status}."
            )
        data = answer.decode()
        return Weights(data["name"], data["version"], data["bytes"])
