"""The settings file that the platform writes for each process.

Notes:
    The file consists of lines of the form ``a.b=value``, with comma-separated lists.
    Unknown fields are ignored for forward compatibility.
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
    """The host's addresses and the platform's limits, as decoded from the file.

    Attributes:
        name: Name of the host.
        ip: IP address of the host.
        failure_domain: Failure domain of the host.
        callers_address: ``IP:port`` of the endpoint for callers.
        ready_address: ``IP:port`` of the readiness endpoint for the balancer.
        peer_ports: First and last port of the range for traffic between hosts.
        store_address: ``IP:port`` of the platform's store.
        stop_grace_s: Seconds from SIGTERM until SIGKILL.
        drain_s: Seconds after which a draining target must receive no new work.
        result_retention_s: Seconds after submission for which a job stays readable.
        min_lease_s: Minimum lease of a group membership in the store, in seconds.
        record_bytes: Maximum size of a record in the store.
        call_bytes: Maximum total size of the records of one append.
        parts: Number of partitions of a topic.
        key_revocation_s: Seconds within which every host must reject a revoked key,
            even a host that cannot reach the store; None if there is no bound.
        link_mbps: Bandwidth of the host's network link in megabits per second.
        processor_cores: Processor time that the process may use per second, in cores;
            None if it is not limited.
        memory_mb: Memory that the process may use, in megabytes; None if it is not
            limited.
        max_descriptors: Number of file descriptors that the process may open; None if
            it is not limited.
        expects_pressure: Whether callers may press beyond the usual: open connections,
            or send headers, without end.
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
    processor_cores: float | None = None
    memory_mb: float | None = None
    max_descriptors: int | None = None
    expects_pressure: bool = False


class _Fields(pydantic.BaseModel):
    """Schema of the file; the aliases are the names used there."""

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
    cpu_share: float | None = pydantic.Field(None, gt=0, alias="limits.cpu_share")
    cores: float = pydantic.Field(1.0, gt=0, alias="limits.cores")
    memory_mb: float | None = pydantic.Field(None, gt=0, alias="limits.memory_mb")
    max_fds: int | None = pydantic.Field(None, gt=0, alias="limits.max_fds")
    # The parts of the platform's contract that are in force.
    contracts: str = ""


def _describe_errors(path, line_numbers, error):
    """Describe each validation error with file, line number, key and expected value."""
    rows = []
    for details in error.errors(include_url=False):
        key = str(details["loc"][0])
        location = f"{path}:{line_numbers[key]}" if key in line_numbers else str(path)
        actual = "" if details["type"] == "missing" else f", not {details['input']!r}"
        rows.append(f"{location}: {key}: {details['msg']}{actual}")
    return "\n".join(rows)


def find_settings_path():
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(path):
    """Read the `NodeSettings` from a file.

    Raises:
        SettingsError: The file is unreadable, or a field is missing or invalid.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, ValueError) as error:
        raise exception.SettingsError(f"{path}: {error}") from error
    values = {}
    line_numbers = {}
    for number, line in enumerate(lines, 1):
        key, _, value = line.partition("=")
        values[key.strip()] = value.strip()
        line_numbers[key.strip()] = number
    try:
        fields = _Fields(**values)
    except pydantic.ValidationError as error:
        raise exception.SettingsError(
            _describe_errors(path, line_numbers, error)
        ) from error
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
        processor_cores=(
            None if fields.cpu_share is None else fields.cpu_share * fields.cores
        ),
        memory_mb=fields.memory_mb,
        max_descriptors=fields.max_fds,
        expects_pressure="pressure" in fields.contracts.split(","),
    )
