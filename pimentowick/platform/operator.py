"""Decoding of the operator's configuration and of the targets' registrations.

Notes:
    Both are stored in keyed topics. Other writers may write to the topic of the
    targets, so malformed registrations are ignored.
"""

import re

import orjson
import pydantic

from pimentowick import endpoint, exception
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
# Bounds what entries remember of each stream.
MAX_VERSION_CHARS = 64
MAX_NAME_CHARS = 256
# Far more requests than one process runs at once.
MAX_SLOTS = 65_536
# Requests name their target in a header.
TARGET_ID = re.compile(r"[!-~]+")
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
    # Counts the tokens of waiting batch items, despite the name on the wire.
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
    """Registration of a target; `slots` is its maximum number of running requests."""

    service: str = pydantic.Field(max_length=MAX_NAME_CHARS)
    address: str
    zone: str = pydantic.Field("", max_length=MAX_NAME_CHARS)
    slots: int = pydantic.Field(1, ge=1, le=MAX_SLOTS)
    state: str = "ready"
    born: int = 0
    # Version of its software. Other writers may leave it out or use another type.
    version: object = None


def decode_configuration(value):
    """Decode a record into a `pimentowick.gateway.route.Configuration`.

    Raises:
        ValidationError: The record is malformed.
    """
    try:
        data = _Configuration.model_validate(orjson.loads(value))
    except pydantic.ValidationError as error:
        raise exception.ValidationError(_describe_errors(error)) from None
    except ValueError as error:
        raise exception.ValidationError(f"Configuration: {error}") from error
    return route.Configuration(
        version=data.version,
        routes=tuple(_make_route(route_data) for route_data in data.routes),
        max_connections={service.name: service.max_conns for service in data.services},
        limits=route.Limits(
            header_bytes=data.limits.max_header_bytes,
            body_bytes=data.limits.max_body_bytes,
            header_timeout_s=data.limits.header_timeout_ms / 1000,
            idle_timeout_s=data.limits.idle_timeout_ms / 1000,
        ),
        workspaces=_make_directory(data.tenants),
    )


def _describe_errors(error):
    """Describe the errors in a record without its values, which may be API keys."""
    errors = error.errors(include_url=False, include_input=False, include_context=False)
    rows = [f"{'.'.join(map(str, row['loc']))}: {row['msg']}" for row in errors]
    return f"Configuration: {'; '.join(rows)}"


def _make_directory(tenants):
    if tenants is None:
        return None
    return workspace.Directory(
        {
            workspace.Workspace(
                tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst
            ): tenant.api_keys
            for tenant in tenants
        }
    )


def _make_route(route_data):
    shares = {share.service: share.weight for share in route_data.split}
    if not shares and route_data.service is not None:
        shares = {route_data.service: 1.0}
    return route.Route(
        name=route_data.name,
        host=route_data.host,
        path_prefix=route_data.path_prefix,
        # Requests of an unknown kind may not be idempotent, so they are not retried.
        kind=KINDS.get(route_data.kind, route.Kind.ONCE),
        services=shares,
        timeout_s=route_data.timeout_ms / 1000,
        objective_s=route_data.slo_ms / 1000,
        priority=route_data.priority,
        max_attempts=route_data.max_attempts,
        resumable=route_data.resumable,
        due_s=route_data.run_target_ms / 1000,
        abandon_after_s=route_data.retention_s,
        max_waiting_tokens=route_data.max_count,
        is_public=route_data.public,
    )


def decode_target(key, value):
    """Decode a record into a `pimentowick.gateway.target.Registration`.

    Returns:
        The registration, or None if the record is malformed.
    """
    try:
        data = _Registration.model_validate(orjson.loads(value))
        ip, port = endpoint.parse(data.address)
    except ValueError:
        return None
    if not TARGET_ID.fullmatch(key) or data.state not in ("ready", "draining"):
        return None
    return target.Registration(
        id=key,
        service=data.service,
        ip=ip,
        port=port,
        failure_domain=data.zone,
        slots=data.slots,
        is_draining=data.state == "draining",
        started_ms=data.born,
        software_version=_read_version(data.version),
    )


def _read_version(value):
    """Return a software version, or None if it is missing or malformed.

    Examples:
        >>> _read_version("v1.2")
        'v1.2'
        >>> _read_version(2), _read_version(""), _read_version("v" * 100)
        (None, None, None)
    """
    is_valid = isinstance(value, str) and 0 < len(value) <= MAX_VERSION_CHARS
    return value if is_valid else None
