"""Workspaces: the models, services and limits granted to each of them."""

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
    """A workspace's access to a model.

    Attributes:
        adapters: Names of the permitted adapters.
        deadline_s: Maximum duration of an online request, in seconds.
        max_tokens: Maximum number of tokens that a request may generate.
    """

    adapters: tuple = ()
    deadline_s: float = 30.0
    max_tokens: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A workspace's access to a service.

    Attributes:
        idempotent: Whether requests are idempotent, and so may be retried.
        deadline_s: Maximum duration of a request, in seconds.
        max_concurrent: Maximum number of concurrent requests at one entry, or None.
    """

    idempotent: bool = False
    deadline_s: float = 10.0
    max_concurrent: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """The limits and permissions of one workspace.

    Attributes:
        name: Name of the workspace.
        version: Version of its document.
        weight: Fair-share weight relative to the other workspaces.
        models: `ModelPolicy` by model name; requests for other models are rejected.
        services: `ServicePolicy` by service name; requests for other services are
            rejected.
        max_online_concurrent: Maximum number of concurrent online requests.
        batch_harm: "averse" or "throughput". Unused; the agent's setting of this name
            applies. The key is still accepted because templates in the log may have it.
        max_jobs_open: Maximum number of unfinished batch jobs.
        tokens: `tokens.StoredToken` by token id.
        stopped: Whether all requests of the workspace are rejected.
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


class _ModelSchema(validation.Model):
    adapters: list[Key] = []
    deadline_s: Seconds = 30.0
    max_tokens: Count = 4096


class _ServiceSchema(validation.Model):
    idempotent: bool = False
    deadline_s: Seconds = 10.0
    max_concurrent: Count | None = None


class _WorkspaceSchema(validation.Model):
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    models: dict[Key, _ModelSchema] = {}
    services: dict[Key, _ServiceSchema] = {}
    max_online_concurrent: Count = 256
    batch_harm: typing.Literal["averse", "throughput"] = "averse"
    max_jobs_open: Count = 100


def parse_workspace(name, version, rendered_tree, tokens, stopped):
    """Validate a rendered template and return it as a `Workspace`.

    Args:
        name: Name of the workspace.
        version: Version of its document.
        rendered_tree: Settings returned by `template.render_workspace`.
        tokens: Mapping from token id to `tokens.StoredToken`.
        stopped: Whether all requests of the workspace are rejected.

    Raises:
        exception.ValidationError: If the tree has unknown keys or invalid values; the
            message names the path of each invalid key.

    Examples:
        >>> tree = {"models": {"m": {"max_tokens": 9}}}
        >>> parse_workspace("acme", 3, tree, {}, False).models["m"].max_tokens
        9
    """
    parsed = validation.validate(_WorkspaceSchema, rendered_tree, "workspace")
    return Workspace(
        name=name,
        version=version,
        weight=parsed.weight,
        models={name: _make_model_policy(m) for name, m in parsed.models.items()},
        services={name: _make_service_policy(s) for name, s in parsed.services.items()},
        max_online_concurrent=parsed.max_online_concurrent,
        batch_harm=parsed.batch_harm,
        max_jobs_open=parsed.max_jobs_open,
        tokens=dict(tokens),
        stopped=stopped,
    )


def _make_model_policy(parsed):
    return ModelPolicy(tuple(parsed.adapters), parsed.deadline_s, parsed.max_tokens)


def _make_service_policy(parsed):
    return ServicePolicy(parsed.idempotent, parsed.deadline_s, parsed.max_concurrent)
