"""Orders that the placement controller sends to an agent for its engine."""

import dataclasses
import typing

import pydantic

from pimentowick.configuration import validation

__all__ = ["Order", "Status", "parse_order"]

FENCE = "fence"
LOAD = "load"
UNLOAD = "unload"

DONE = "done"
RUNNING = "running"
BUSY = "busy"
FAILED = "failed"
UNKNOWN = "unknown"
SUPERSEDED = "superseded"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order; retries carry the same id.

    Attributes:
        id: Random id.
        fence: Fencing token of the controller's claim.
        boot: Boot id of the agent process that the order is for.
        action: ``fence``, ``load`` or ``unload``; ``fence`` only announces the fencing
            token.
        kind: ``model`` or ``adapter``.
        name: Name of the model or adapter.
        version: Version to load.
    """

    id: str
    fence: int
    boot: str
    action: str
    kind: str = "model"
    name: str = ""
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """An agent's answer about an order.

    Attributes:
        state: ``done``, ``running``, ``busy`` with another one, ``failed``,
            ``superseded``, or ``unknown`` if the engine's answer was lost.
        fence: Highest fencing token that the agent has seen.
        boot: Boot id of the agent process.
        error: Why the order failed, or empty.
    """

    state: str
    fence: int
    boot: str
    error: str = ""


class _OrderModel(validation.Model):
    id: str = pydantic.Field(min_length=8, max_length=64)
    fence: int = pydantic.Field(ge=1, le=validation.MAX_SAFE_INTEGER)
    boot: str
    action: typing.Literal["fence", "load", "unload"]
    kind: typing.Literal["model", "adapter"] = "model"
    name: str = pydantic.Field("", max_length=200)
    version: str = pydantic.Field("", max_length=200)


def parse_order(data):
    """Return an `Order` from JSON.

    Raises:
        ValidationError: The data does not have the documented form.

    Examples:
        >>> parse_order({"id": "0" * 8, "fence": 2, "boot": "b", "action": "fence"})
        Order(id='00000000', fence=2, boot='b', action='fence', kind='model', name='', \
version='')
    """
    return Order(**validation.validate(_OrderModel, data, "order").model_dump())
