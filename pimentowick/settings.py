"""Settings of the daemons, read from YAML files and validated at startup."""

import pathlib

import pydantic
import yaml

from pimentowick import exception

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "OperatorSettings",
    "PlatformSettings",
    "TargetSettings",
    "TlsSettings",
    "load_settings",
    "parse_settings",
]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TlsSettings(_StrictModel):
    """Encryption between the system's own processes, and towards callers."""

    certificate: str = pydantic.Field(description="PEM file of the certificate.")
    key: str = pydantic.Field(description="PEM file of the private key.")
    authority: str = pydantic.Field(
        description="PEM file of the authority that signs the certificates of peers."
    )


class PlatformSettings(_StrictModel):
    """Where the platform's services are."""

    log: str = pydantic.Field(description="IP:port of the log service.")
    hosts: str = pydantic.Field(description="IP:port of the host list.")
    weights: str | None = pydantic.Field(
        None, description="IP:port of the weight store."
    )
    log_adapter: str = pydantic.Field(
        "http", description="http, or module:Class of another adapter of the log."
    )
    hosts_adapter: str = pydantic.Field(
        "http", description="http, or module:Class of another adapter of the hosts."
    )
    log_retention_s: float = pydantic.Field(
        86_400.0, gt=0, description="How long the log keeps a record, in seconds."
    )
    log_record_bytes: int = pydantic.Field(
        262_144, ge=4096, description="Largest record that the log takes, in bytes."
    )
    tls: TlsSettings | None = pydantic.Field(
        None, description="Encryption towards the platform; absent means plain HTTP."
    )


class _DaemonSettings(_StrictModel):
    name: str = pydantic.Field(min_length=1, description="Name of the host.")
    failure_domain: str = pydantic.Field(
        min_length=1, description="Failure domain of the host."
    )
    address: str = pydantic.Field(
        "127.0.0.1", description="IP number to listen on and to be reached at."
    )
    port: int = pydantic.Field(
        0, ge=0, le=65535, description="TCP port; 0 lets the kernel choose."
    )
    log_level: str = pydantic.Field("INFO", description="Least level that is logged.")
    log_json: bool = pydantic.Field(False, description="Whether logs are JSON lines.")
    lame_duck_s: float = pydantic.Field(
        1.0,
        ge=0,
        description="How long a stopping process still takes requests, in seconds.",
    )
    drain_s: float = pydantic.Field(
        30.0, ge=0, description="Longest time to finish what runs, in seconds."
    )
    tls: TlsSettings | None = pydantic.Field(
        None, description="Encryption; absent means plain HTTP."
    )


class OperatorSettings(_StrictModel):
    """An operator that is known before there is any configuration."""

    name: str = pydantic.Field(min_length=1, description="Name of the operator.")
    id: str = pydantic.Field(min_length=1, description="Public part of the token.")
    salt: str = pydantic.Field(description="Salt of the hash, hexadecimal.")
    hash: str = pydantic.Field(description="SHA-256 of salt and secret.")


class EntrySettings(_DaemonSettings):
    """Settings of one entry."""

    platform: PlatformSettings
    operators: list[OperatorSettings] = pydantic.Field(
        [], description="Operators besides those of the configuration."
    )
    trusted_proxies: list[str] = pydantic.Field(
        [], description="IP numbers of balancers whose X-Forwarded-For is believed."
    )
    shards: int = pydantic.Field(
        8, ge=1, le=4096, description="Number of shards; the same on every entry."
    )
    followers: int = pydantic.Field(
        3, ge=1, description="How many entries follow one shard."
    )
    host_poll_s: float = pydantic.Field(
        1.0, gt=0, description="Time between reads of the host list, in seconds."
    )
    heartbeat_s: float = pydantic.Field(
        0.5,
        gt=0,
        description="Time between heartbeats to an agent while work flows, in seconds;"
        " below a quarter of the agents' lease_s.",
    )
    idle_heartbeat_s: float = pydantic.Field(
        2.0,
        gt=0,
        description="Time between heartbeats to an agent without work of this entry,"
        " in seconds.",
    )
    heartbeats_per_s: float = pydantic.Field(
        50.0,
        gt=0,
        description="Most heartbeats a second, all agents together, but for those that"
        " renew a lease.",
    )
    peers_per_service: int = pydantic.Field(
        16,
        ge=1,
        description="How many agents of a service this entry talks to; more if there"
        " are too few entries for that.",
    )
    takeover_s: float = pydantic.Field(
        6.0,
        gt=0,
        description="Silence of a shard's owner in the log, in seconds, after which"
        " another entry claims the shard.",
    )
    flush_s: float = pydantic.Field(
        0.25, gt=0, description="Time over which results are grouped, in seconds."
    )
    result_keep_s: float = pydantic.Field(
        604_800.0,
        gt=0,
        description="How long the results of a job are kept after its end, in seconds.",
    )
    append_s: float = pydantic.Field(
        5.0, gt=0, description="Longest wait for an append to be read back, in seconds."
    )
    max_online: int = pydantic.Field(
        500, ge=1, description="Most online requests at once."
    )
    max_batch: int = pydantic.Field(
        128, ge=1, description="Most batch items in flight at once."
    )
    max_body_bytes: int = pydantic.Field(
        67_108_864, ge=1024, description="Largest request body, in bytes."
    )
    idle_s: float = pydantic.Field(
        3.0, gt=0, description="Longest silence of an agent's answer, in seconds."
    )
    retry_share: float = pydantic.Field(
        0.1,
        ge=0,
        le=1,
        description="Retries allowed as a share of requests, ten a second besides.",
    )
    max_attempts: int = pydantic.Field(
        3, ge=1, description="Most tries of one online request."
    )
    item_attempts: int = pydantic.Field(
        3, ge=1, description="Most tries of one batch item."
    )


class TargetSettings(_StrictModel):
    """The target beside an agent."""

    name: str = pydantic.Field(min_length=1, description="Name of the target.")
    address: str = pydantic.Field(description="IP:port of the target.")
    kind: str = pydantic.Field(
        pattern="^(engine|service)$", description="engine or service."
    )
    service: str = pydantic.Field(
        min_length=1,
        description="Name of the model or service that the target serves.",
    )
    software_version: str | None = pydantic.Field(
        None,
        description="Version of the target's software; a generation goes on only at"
        " targets of the version that began it.",
    )
    adapter: str = pydantic.Field(
        "http", description="http, or module:Class of another adapter of the target."
    )
    checks_fence: bool = pydantic.Field(
        False,
        description="Whether the target refuses an old fencing number; nothing depends"
        " on it.",
    )
    max_online: int = pydantic.Field(
        64, ge=1, description="Most online requests at the target at once."
    )
    max_batch: int = pydantic.Field(
        32, ge=0, description="Most batch items at the target at once."
    )
    max_running: int = pydantic.Field(
        64, ge=1, description="Most requests that the target runs at once."
    )
    max_models: int = pydantic.Field(
        1, ge=1, description="Most models that the target holds at once."
    )
    max_queue: int = pydantic.Field(
        256, ge=0, description="Most online requests that wait for the target."
    )


class AgentSettings(_DaemonSettings):
    """Settings of one agent."""

    target: TargetSettings
    lease_s: float = pydantic.Field(
        2.0,
        gt=0,
        description="How long an entry may dispatch batch items without a heartbeat,"
        " in seconds.",
    )
    alive_s: float = pydantic.Field(
        0.5, gt=0, description="Time between keep-alive marks, in seconds."
    )
    idle_s: float = pydantic.Field(
        5.0, gt=0, description="Longest silence of the target's answer, in seconds."
    )
    weights: str | None = pydantic.Field(
        None,
        description="IP:port of the weight store; absent means that the engine"
        " fetches weights itself.",
    )
    weights_adapter: str = pydantic.Field(
        "http", description="http, or module:Class of another adapter of the store."
    )
    transfer_s: float = pydantic.Field(
        600.0, gt=0, description="Longest transfer of weights, in seconds."
    )
    order_settle_s: float = pydantic.Field(
        10.0,
        ge=0,
        description="Longest time that an engine works on an order whose sender is"
        " gone, in seconds; a new agent waits as long before it gives any.",
    )
    batch_harm: str = pydantic.Field(
        "averse",
        pattern="^(averse|throughput)$",
        description="Whether online latency or batch throughput weighs more.",
    )


def load_settings(model, path):
    """Read and validate the settings in a YAML file.

    Args:
        model: Class of the settings, such as `EntrySettings`.
        path: Path of the file.

    Raises:
        SettingsError: The file can't be read or is invalid. The message has one line
            for each error, with the file, line, key and the expected value.
    """
    path = pathlib.Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise exception.SettingsError(f"{path}: {error.strerror}.") from error
    return parse_settings(model, text, str(path))


def parse_settings(model, text, name="settings"):
    r"""Validate the settings in a YAML text; see `load_settings`.

    Examples:
        >>> try:
        ...     parse_settings(PlatformSettings, "log: 127.0.0.1:1\nhost: x\n", "f")
        ... except exception.SettingsError as error:
        ...     print(error)
        f:1: hosts: Field required.
        f:2: host: Extra inputs are not permitted.
    """
    try:
        tree = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = 0 if mark is None else mark.line + 1
        problem = getattr(error, "problem", None) or str(error)
        raise exception.SettingsError(f"{name}:{line}: {problem}.") from error
    try:
        return model.model_validate(data if data is not None else {})
    except pydantic.ValidationError as error:
        lines = [_describe_error(name, tree, details) for details in error.errors()]
        raise exception.SettingsError("\n".join(lines)) from error


def _describe_error(name, tree, details):
    key = ".".join(str(part) for part in details["loc"])
    line = _find_line(tree, details["loc"])
    return f"{name}:{line}: {key}: {details['msg']}."


def _find_line(node, keys):
    """Return the line of the deepest existing node on the path `keys`."""
    line = 1 if node is None else node.start_mark.line + 1
    for key in keys:
        child = _find_child(node, key)
        if child is None:
            return line
        line, node = child
    return line


def _find_child(node, key):
    if isinstance(node, yaml.MappingNode):
        for name, value in node.value:
            if name.value == str(key):
                return name.start_mark.line + 1, value
    if isinstance(node, yaml.SequenceNode) and isinstance(key, int):
        if key < len(node.value):
            value = node.value[key]
            return value.start_mark.line + 1, value
    return None
