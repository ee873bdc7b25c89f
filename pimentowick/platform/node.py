"""The settings file that the platform writes for each process.

Notes:
    Lines of the form ``a.b=value``, lists joined by commas. Fields that are not read
    here are passed over, so that new ones do no harm.
"""

import dataclasses
import os
import pathlib

import pydantic

from pimentowick import exception

__all__ = ["NodeSettings", "find_settings_path", "read_settings"]

PATH_VARIABLE = "PIMENTOWICK_NODE_FILE"
DEFAULT_PATH = "/etc/pimentowick/settings.conf"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process learns about its host.

    Attributes:
        name: Name of the host.
        ip: IP number of the host.
        failure_domain: Failure domain of the host.
        callers_address: ``IP:port`` for callers.
        ready_address: ``IP:port`` of the balancer's readiness checks.
        peer_ports: First and last port for traffic between hosts.
        store_address: ``IP:port`` of the platform's store.
        stop_grace_s: Seconds from SIGTERM until SIGKILL.
        drain_s: Seconds after which a leaving target gets no new work.
        result_retention_s: Seconds after its submission that a job stays readable.
        min_lease_s: Shortest lease that the store's groups take, in seconds.
        record_bytes: Largest record of the store.
        call_bytes: Most bytes of the records of one append.
        parts: Partitions of a topic.
        key_revocation_s: Seconds within which every host must reject a revoked key,
            even a host that cannot reach the store; None if there is no bound.
        link_mbps: What the host's link carries, in megabits a second.
    """

    name: str
    ip: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peer_ports: tuple
    store_address: str
    stop_grace_s: float
    drain_s: float
    result_retention_s: float
    min_lease_s: float
    record_bytes: int
    call_bytes: int
    parts: int
    link_mbps: float = 1000.0
    key_revocation_s: float | None = None


class _Fields(pydantic.BaseModel):
    """The fields of the file, by their names in it."""

    node_name: str
    ip: str
    zone: str
    listen_front: str = pydantic.Field(alias="listen.front")
    listen_ready: str = pydantic.Field(alias="listen.ready")
    port_range: str = pydantic.Field(pattern=r"^\d+(,\d+)?$")
    platform_address: str = pydantic.Field(alias="platform.address")
    grace_s: float = pydantic.Field(8.0, alias="bounds.grace_s")
    drain_ms: float = pydantic.Field(2000.0, alias="bounds.drain_ms")
    status_s: float = pydantic.Field(120.0, alias="bounds.status_s")
    ttl_min_ms: float = pydantic.Field(1000.0, alias="platform.ttl_min_ms")
    record_bytes: int = pydantic.Field(262_144, alias="platform.record_bytes")
    call_bytes: int = pydantic.Field(2_097_152, alias="platform.call_bytes")
    parts: int = pydantic.Field(8, alias="platform.parts")
    link_mbps: float = pydantic.Field(1000.0, alias="limits.link_mbps")
    strict_revoke: bool = pydantic.Field(False, alias="bounds.strict_revoke")
    revoke_ms: float = pydantic.Field(5000.0, alias="bounds.revoke_ms")


def _explain(path, numbers, error):
    """Return a line for each fault: file, line, key, and what was expected."""
    rows = []
    for fault in error.errors(include_url=False):
        key = str(fault["loc"][0])
        place = f"{path}:{numbers[key]}" if key in numbers else str(path)
        given = "" if fault["type"] == "missing" else f", not {fault['input']!r}"
        rows.append(f"{place}: {key}: {fault['msg']}{given}")
    return "\n".join(rows)


def find_settings_path():
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(path):
    """Return the `NodeSettings` that a file holds.

    Raises:
        SettingsError: The file is missing, or a field of it is.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, ValueError) as error:
        raise exception.SettingsError(f"{path}: {error}") from error
    values = {}
    numbers = {}
    for number, line in enumerate(lines, 1):
        key, _, value = line.partition("=")
        values[key.strip()] = value.strip()
        numbers[key.strip()] = number
    try:
        fields = _Fields(**values)
    except pydantic.ValidationError as error:
        raise exception.SettingsError(_explain(path, numbers, error)) from error
    first, _, last = fields.port_range.partition(",")
    ports = (int(first), int(last or first))
    return NodeSettings(
        name=fields.node_name,
        ip=fields.ip,
        failure_domain=fields.zone,
        callers_address=fields.listen_front,
        ready_address=fields.listen_ready,
        peer_ports=ports,
        store_address=fields.platform_address,
        stop_grace_s=fields.grace_s,
        drain_s=fields.drain_ms / 1000,
        result_retention_s=fields.status_s,
        min_lease_s=fields.ttl_min_ms / 1000,
        record_bytes=fields.record_bytes,
        call_bytes=fields.call_bytes,
        parts=fields.parts,
        link_mbps=fields.link_mbps,
        key_revocation_s=fields.revoke_ms / 1000 if fields.strict_revoke else None,
    )
