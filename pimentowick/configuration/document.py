"""Configuration documents, audit entries, and the schemas of their records."""

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
"""Type of a record that is only audited and changes no document."""
FLEET_NAME = "fleet"
# Within `WorkspaceBody`, the field `tokens` shadows the module.
StoredTokenBody = tokens.StoredTokenBody
MAX_BODY_BYTES = 150_000
"""Maximum size of a body as JSON, so that it fits one part of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One version of a document.

    Attributes:
        kind: One of `KINDS`.
        name: Name of the document.
        version: Offset of the record that created this version.
        id: Id of that record.
        by: Operator who made the change.
        at: Time of the change in seconds since the epoch, by the clock of the host that
            built the record.
        body: JSON body; must not be modified.
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
    """The outcome of a record.

    Attributes:
        offset: Offset of the record.
        at: Time in the record, in seconds since the epoch; 0 if unreadable.
        by: Operator named in the record; empty if unreadable.
        kind: Kind of the document; empty if unreadable.
        name: Name of the document; empty if unreadable.
        version_before: Version of the document before the record; 0 if none.
        version_after: Version of the document after the record; 0 if none.
        accepted: Whether the record took effect.
        reason: Reason for the rejection; empty if accepted.
        id: Id of the record; empty if unreadable.
        client: Address of the client that requested the change; empty if unknown.
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
    """Settings of the whole fleet.

    Attributes:
        operators: `tokens.StoredToken` by token id.
        shards: Unused; the number of shards is set in the settings of the entries.
        models: `PlacedModel` by name; empty disables placement.
        max_loads: Maximum number of concurrent model loads, which bounds the load on
            the weight store.
    """

    operators: dict = dataclasses.field(default_factory=dict, repr=False)
    shards: int = 8
    models: dict = dataclasses.field(default_factory=dict)
    max_loads: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedModel:
    """The desired placement of a model on engines.

    Attributes:
        version: Version of the weights; empty accepts any version.
        replicas_min: Minimum number of engines that have the model loaded.
        replicas_max: Maximum number of engines that have the model loaded.
        adapters: Versions by name of the adapters to load with the model.
    """

    version: str = ""
    replicas_min: int = 1
    replicas_max: int = 1
    adapters: dict = dataclasses.field(default_factory=dict)


class Envelope(validation.Model):
    """Schema of a record."""

    id: str = pydantic.Field(pattern=r"^[0-9a-f]{8,64}$")
    type: typing.Literal["template", "workspace", "fleet", "order"]
    name: str = pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
    amends: int = pydantic.Field(ge=0)
    by: str = pydantic.Field(min_length=1, max_length=100)
    at: float = pydantic.Field(ge=0, le=validation.MAX_SAFE_INTEGER)
    body: dict[str, typing.Any]
    client: str = pydantic.Field(default="", max_length=100)


class OrderBody(validation.Model):
    """Schema of the body of an operator's order to a host."""

    action: typing.Literal["drain"]


class WorkspaceBody(validation.Model):
    """Schema of the body of a workspace document."""

    template: str
    template_version: int
    parameters: dict[str, typing.Any] = {}
    tokens: list[StoredTokenBody] = []
    stopped: bool = False


class OperatorBody(tokens.StoredTokenBody):
    """Schema of an operator's stored token."""

    name: str = pydantic.Field(min_length=1, max_length=100)


class PlacedModelBody(validation.Model):
    """Schema of a `PlacedModel`."""

    version: str = pydantic.Field(default="", max_length=200)
    replicas_min: int = pydantic.Field(default=1, ge=1, le=100_000)
    replicas_max: int = pydantic.Field(default=1, ge=1, le=100_000)
    adapters: dict[str, str] = {}


class FleetBody(validation.Model):
    """Schema of the body of the fleet document."""

    operators: list[OperatorBody] = []
    shards: int = pydantic.Field(default=8, ge=1, le=4096)
    models: dict[str, PlacedModelBody] = {}
    max_loads: int = pydantic.Field(default=2, ge=1, le=10_000)


def parse_envelope(offset, record):
    """Return the `Document` that a record creates, and the version that it amends.

    Raises:
        exception.ValidationError: If the record is malformed.
    """
    validation.check_json(record)
    envelope = validation.validate(Envelope, record)
    if envelope.type == FLEET_NAME and envelope.name != FLEET_NAME:
        raise exception.ValidationError(f"name: the fleet's is {FLEET_NAME!r}")
    if len(json.dumps(envelope.body)) > MAX_BODY_BYTES:
        raise exception.ValidationError(f"body: larger than {MAX_BODY_BYTES} bytes")
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
        exception.ValidationError: If the body is malformed.
    """
    parsed = validation.validate(FleetBody, body)
    models = {
        name: PlacedModel(**model.model_dump()) for name, model in parsed.models.items()
    }
    return Fleet(
        make_stored_tokens(parsed.operators), parsed.shards, models, parsed.max_loads
    )


def make_stored_tokens(bodies):
    """Return `tokens.StoredToken` by id from validated bodies."""
    stored_tokens = [
        tokens.StoredToken(body.id, body.salt, body.hash, getattr(body, "name", ""))
        for body in bodies
    ]
    return tokens.index_tokens(stored_tokens)
