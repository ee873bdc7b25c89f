"""Client for the platform's weight store, which has a limited transfer rate."""

import abc
import dataclasses

from pimentowick import exception

__all__ = ["HttpWeightStore", "WeightStore", "Weights"]


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Transferred weights of a model or adapter.

    Attributes:
        name: Name of the model or adapter.
        version: Version of the weights.
        size: Size in bytes.
    """

    name: str
    version: str
    size: int


class WeightStore(abc.ABC):
    """Interface of the weight store."""

    @abc.abstractmethod
    async def transfer(self, name, version):
        """Transfer weights to this host and return their `Weights`.

        Raises:
            ValidationError: The store does not have these weights.
            UnavailableError: The transfer failed or timed out.
        """


class HttpWeightStore(WeightStore):
    """Weight store with the HTTP interface described in docs/PLATFORM.md.

    Args:
        address: ``IP:port`` of the service.
        client: `pimentowick.client.Client` for the requests.
        timeout_s: Timeout of a transfer, in seconds.
    """

    def __init__(self, address, client, timeout_s):
        self.address = address
        self._client = client
        self._timeout_s = timeout_s

    async def transfer(self, name, version):
        """Transfer weights; see `WeightStore.transfer`."""
        response = await self._client.fetch(
            "GET",
            self.address,
            f"/weights/{name}/{version}",
            timeout_s=self._timeout_s,
        )
        if response.status == 404:
            raise exception.ValidationError(f"There are no weights {name}/{version}.")
        if response.status != 200:
            raise exception.UnavailableError(
                f"The weight store answered {response.status}."
            )
        data = response.decode()
        return Weights(data["name"], data["version"], data["bytes"])
