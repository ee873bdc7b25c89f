"""Configuration and targets as the operator and the targets write them.

Notes:
    Both lie in keyed topics of the store. Entries of targets may come from other
    writers: what cannot be read names no target.
"""

import orjson
import pydantic

from pimentowick import exception
from pimentowick.gateway import route, target, workspace
from pimentowick.platform import store

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "TARGETS_TOPIC",
    "decode_configuration",
    "decode_target",
]

CONFIGURATION_TOPIC = store.make_topic_name("op")
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = store.make_topic_name("servers")
KINDS = {
    "idempotent": route.Kind.IDEMPOTENT,
    "non_idempotent": route.Kind.ONCE,
    "stream": route.Kind.STREAM,
    "batch": route.Kind.BATCH,
}


class _Share(pydantic.BaseModel):
    service: str
    weight: float = 1.0


class _Route(pydantic.BaseModel):
    name: str = ""
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 5000.0
    slo_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: list[_Share] = []
    max_attempts: int = 1
    resumable: bool = False
    run_target_ms: float = 0.0
    retention_s: float = 60.0
    # The wire's name says nothing of the unit: it counts tokens that may wait.
    max_count: float = 0
    public: bool = False


class _Service(pydantic.BaseModel):
    name: str
    max_conns: int = 100


class _Tenant(pydantic.BaseModel):
    name: str = pydantic.Field(min_length=1)
    api_keys: list[str] = pydantic.Field([], repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(pydantic.BaseModel):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Configuration(pydantic.BaseModel):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Registration(pydantic.BaseModel):
    """An entry of a target; `slots` is how many requests it runs at once."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    born: int = 0


def decode_configuration(value):
    """Return the `pimentowick.gateway.route.Configuration` that a record holds.

    Raises:
        ValidationError: The record holds something else.
    """
    try:
        data = _Configuration.model_validate(orjson.loads(value))
    except pydantic.ValidationError as error:
        raise exception.ValidationError(_explain(error)) from None
    except ValueError as error:
        raise exception.ValidationError(f"Configuration: {error}") from error
    return route.Configuration(
        version=data.version,
        routes=tuple(_make_route(entry) for entry in data.routes),
        max_connections={entry.name: entry.max_conns for entry in data.services},
        limits=route.Limits(
            header_bytes=data.limits.max_header_bytes,
            body_bytes=data.limits.max_body_bytes,
            header_timeout_s=data.limits.header_timeout_ms / 1000,
            idle_timeout_s=data.limits.idle_timeout_ms / 1000,
        ),
        workspaces=_make_directory(data.tenants),
    )


def _explain(error):
    """Return what is wrong with a record, without the values that it holds."""
    faults = error.errors(include_url=False, include_input=False, include_context=False)
    rows = [f"{'.'.join(map(str, row['loc']))}: {row['msg']}" for row in faults]
    return f"Configuration: {'; '.join(rows)}"


def _make_directory(tenants):
    if tenants is None:
        return None
    return workspace.Directory(
        {
            workspace.Workspace(
                entry.name, entry.priority, entry.rate_per_s, entry.burst
            ): entry.api_keys
            for entry in tenants
        }
    )


def _make_route(entry):
    shares = {share.service: share.weight for share in entry.split}
    if not shares and entry.service is not None:
        shares = {entry.service: 1.0}
    return route.Route(
        name=entry.name,
        host=entry.host,
        path_prefix=entry.path_prefix,
        # An unknown kind says nothing of repeating: the strictest holds.
        kind=KINDS.get(entry.kind, route.Kind.ONCE),
        services=shares,
        timeout_s=entry.timeout_ms / 1000,
        objective_s=entry.slo_ms / 1000,
        priority=entry.priority,
        max_attempts=entry.max_attempts,
        resumable=entry.resumable,
        due_s=entry.run_target_ms / 1000,
        abandon_after_s=entry.retention_s,
        max_waiting_tokens=entry.max_count,
        is_public=entry.public,
    )


def decode_target(key, value):
    """Return the `pimentowick.gateway.target.Registration` of a record, or None."""
    try:
        data = _Registration.model_validate(orjson.loads(value))
        host, _, port = data.address.rpartition(":")
        port = int(port)
    except ValueError:
        return None
    if data.state not in ("ready", "draining") or not host or data.slots < 1:
        return None
    return target.Registration(
        id=key,
        service=data.service,
        ip=host,
        port=port,
        failure_domain=data.zone,
        slots=data.slots,
        leaving=data.state == "draining",
        started_ms=data.born,
    )
