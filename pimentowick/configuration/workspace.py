"""Workspaces: what each customer may use, and how much of it."""

import dataclasses
import typing

import pydantic

from pimentowick.configuration import validation

__all__ = ["ModelPolicy", "ServicePolicy", "Workspace", "parse_workspace"]

Key = typing.Annotated[str, pydantic.Field(min_length=1, max_length=200)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelPolicy:
    """How a workspace uses a model.

    Attributes:
        adapters: Names of the adapters that it may ask for.
        deadline_s: Seconds that an online request may take.
        max_tokens: Most tokens that a request may ask for.
    """

    adapters: tuple = ()
    deadline_s: float = 30.0
    max_tokens: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """How a workspace uses a service.

    Attributes:
        idempotent: Whether a request may safely run twice.
        deadline_s: Seconds that a request may take.
        max_concurrent: Most requests at a time at one entry, or None.
    """

    idempotent: bool = False
    deadline_s: float = 10.0
    max_concurrent: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """One customer's part of the fleet.

    Attributes:
        name: Name of the workspace.
        version: Version of its document.
        weight: Share of the fleet relative to the other workspaces.
        models: `ModelPolicy` by model name; others are refused.
        services: `ServicePolicy` by service name; others are refused.
        max_online_concurrent: Most online requests at a time.
        batch_harm: "averse" or "throughput". Nothing reads it: the agent's setting of
            this name counts. The key stays because templates in the log may have it.
        max_jobs_open: Most batch jobs that are not finished.
        tokens: `tokens.StoredToken` by token id.
        stopped: Whether all its requests are refused.
    """

    name: str
    version: int
    weight: float = 1.0
    models: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    max_online_concurrent: int = 256
    batch_harm: str = "averse"
    max_jobs_open: int = 100
    tokens: dict = dataclasses.field(default_factory=dict, repr=False)
    stopped: bool = False


class _ModelTree(validation.Model):
    adapters: list[Key] = []
    deadline_s: Seconds = 30.0
    max_tokens: Count = 4096


class _ServiceTree(validation.Model):
    idempotent: bool = False
    deadline_s: Seconds = 10.0
    max_concurrent: Count | None = None


class _WorkspaceTree(validation.Model):
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    models: dict[Key, _ModelTree] = {}
    services: dict[Key, _ServiceTree] = {}
    max_online_concurrent: Count = 256
    batch_harm: typing.Literal["averse", "throughput"] = "averse"
    max_jobs_open: Count = 100


def parse_workspace(name, version, rendered_tree, tokens, stopped):
    """Check a filled template and return it as a `Workspace`.

    Args:
        name: Name of the workspace.
        version: Version of its document.
        rendered_tree: What `template.render_workspace` returned.
        tokens: Mapping from token id to `tokens.StoredToken`.
        stopped: Whether its requests are refused.

    Raises:
        exception.ValidationError: If the tree has unknown keys or wrong values;
            the message holds the path of each key.

    Examples:
        >>> tree = {"models": {"m": {"max_tokens": 9}}}
        >>> parse_workspace("acme", 3, tree, {}, False).models["m"].max_tokens
        9
    """
    parsed = validation.validate(_WorkspaceTree, rendered_tree, "workspace")
    return Workspace(
        name=name,
        version=version,
        weight=parsed.weight,
        models={key: _make_model(use) for key, use in parsed.models.items()},
        services={key: _make_service(use) for key, use in parsed.services.items()},
        max_online_concurrent=parsed.max_online_concurrent,
        batch_harm=parsed.batch_harm,
        max_jobs_open=parsed.max_jobs_open,
        tokens=dict(tokens),
        stopped=stopped,
    )


def _make_model(use):
    return ModelPolicy(tuple(use.adapters), use.deadline_s, use.max_tokens)


def _make_service(use):
    return ServicePolicy(use.idempotent, use.deadline_s, use.max_concurrent)
