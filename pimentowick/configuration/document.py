"""Documents of the configuration, and the records that change them."""

import copy
import dataclasses
import json
import typing

import pydantic

from pimentowick import exception
from pimentowick.configuration import tokens, validation

__all__ = [
    "KINDS",
    "ORDER",
    "AuditEntry",
    "Document",
    "Envelope",
    "Fleet",
    "FleetBody",
    "OperatorBody",
    "OrderBody",
    "PlacedModel",
    "PlacedModelBody",
    "WorkspaceBody",
    "make_stored_tokens",
    "parse_envelope",
    "parse_fleet",
]

KINDS = ("template", "workspace", "fleet")
ORDER = "order"
"""Type of a record that is kept for the audit trail and changes no document."""
FLEET_NAME = "fleet"
# The field of the same name hides the module within the class.
StoredTokenBody = tokens.StoredTokenBody
BODY_LIMIT = 150_000
"""Bytes that a body may have as JSON, so that it fits one part of a dump."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A version of a document.

    Attributes:
        kind: One of `KINDS`.
        name: Name of the document.
        version: Offset of the record that made this version.
        id: Id of that record.
        by: Operator who made it.
        at: Time in seconds since the epoch, as the operator's host told it.
        body: JSON body; not to be changed.
    """

    kind: str
    name: str
    version: int
    id: str
    by: str
    at: float
    body: dict = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """What became of a record.

    Attributes:
        offset: Offset of the record.
        at: Time that it states, in seconds since the epoch; 0 if unreadable.
        by: Operator that it states; empty if unreadable.
        kind: Kind of the document; empty if unreadable.
        name: Name of the document; empty if unreadable.
        version_before: Version of the document before the record, 0 if none.
        version_after: Version of the document after it, 0 if none.
        accepted: Whether the record took effect.
        reason: Why not; empty if accepted.
        id: Id of the record; empty if unreadable.
        client: Address that the change was asked from; empty if unknown.
    """

    offset: int
    at: float
    by: str
    kind: str
    name: str
    version_before: int
    version_after: int
    accepted: bool
    reason: str
    id: str
    client: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What holds for the whole fleet.

    Attributes:
        operators: `tokens.StoredToken` by token id.
        shards: Without effect; the settings of the entries count.
        models: `PlacedModel` by name; empty means that nothing is placed.
        max_loads: Most loads at once, for the sake of the weight store.
    """

    operators: dict = dataclasses.field(default_factory=dict, repr=False)
    shards: int = 8
    models: dict = dataclasses.field(default_factory=dict)
    max_loads: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedModel:
    """A model that the engines are to load.

    Attributes:
        version: Version of its weights; empty means whichever there is.
        replicas_min: Fewest engines that hold it.
        replicas_max: Most engines that hold it.
        adapters: Version by name of the adapters that are loaded with it.
    """

    version: str = ""
    replicas_min: int = 1
    replicas_max: int = 1
    adapters: dict = dataclasses.field(default_factory=dict)


class Envelope(validation.Model):
    """Border model of a record."""

    id: str = pydantic.Field(pattern=r"^[0-9a-f]{8,64}$")
    type: typing.Literal["template", "workspace", "fleet", "order"]
    name: str = pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
    amends: int = pydantic.Field(ge=0)
    by: str = pydantic.Field(min_length=1, max_length=100)
    at: float = pydantic.Field(ge=0, le=validation.MAX_SAFE_INTEGER)
    body: dict[str, typing.Any]
    client: str = pydantic.Field(default="", max_length=100)


class OrderBody(validation.Model):
    """Border model of the body of an order to a host."""

    action: typing.Literal["drain"]


class WorkspaceBody(validation.Model):
    """Border model of the body of a workspace document."""

    template: str
    template_version: int
    parameters: dict[str, typing.Any] = {}
    tokens: list[StoredTokenBody] = []
    stopped: bool = False


class OperatorBody(tokens.StoredTokenBody):
    """Border model of an operator's token entry."""

    name: str = pydantic.Field(min_length=1, max_length=100)


class PlacedModelBody(validation.Model):
    """Border model of a model that the engines are to load."""

    version: str = pydantic.Field(default="", max_length=200)
    replicas_min: int = pydantic.Field(default=1, ge=1, le=100_000)
    replicas_max: int = pydantic.Field(default=1, ge=1, le=100_000)
    adapters: dict[str, str] = {}


class FleetBody(validation.Model):
    """Border model of the body of the fleet document."""

    operators: list[OperatorBody] = []
    shards: int = pydantic.Field(default=8, ge=1, le=4096)
    models: dict[str, PlacedModelBody] = {}
    max_loads: int = pydantic.Field(default=2, ge=1, le=10_000)


def parse_envelope(offset, record):
    """Return a record as the `Document` that it asks for, and what it amends.

    Raises:
        exception.ValidationError: If the record lacks the documented form.
    """
    validation.check_json(record)
    envelope = validation.validate(Envelope, record)
    if envelope.type == FLEET_NAME and envelope.name != FLEET_NAME:
        raise exception.ValidationError(f"name: the fleet's is {FLEET_NAME!r}")
    if len(json.dumps(envelope.body)) > BODY_LIMIT:
        raise exception.ValidationError(f"body: larger than {BODY_LIMIT} bytes")
    body = copy.deepcopy(record["body"])
    document = Document(
        envelope.type,
        envelope.name,
        offset,
        envelope.id,
        envelope.by,
        envelope.at,
        body,
    )
    return document, envelope.amends


def parse_fleet(body):
    """Return the body of the fleet document as a `Fleet`.

    Raises:
        exception.ValidationError: If it lacks the documented form.
    """
    parsed = validation.validate(FleetBody, body)
    models = {
        name: PlacedModel(**model.model_dump()) for name, model in parsed.models.items()
    }
    return Fleet(
        make_stored_tokens(parsed.operators), parsed.shards, models, parsed.max_loads
    )


def make_stored_tokens(bodies):
    """Return token entries by id from their border models."""
    entries = [
        tokens.StoredToken(body.id, body.salt, body.hash, getattr(body, "name", ""))
        for body in bodies
    ]
    return tokens.index_tokens(entries)
