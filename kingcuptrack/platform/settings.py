"""The platform's settings file, decoded into `PlatformSettings`."""

import os
from pathlib import Path

import attrs

from ..decoding import DecodingError, decode_json
from ..state.cluster.shard_state import DEFAULT_REMOTE_FACTOR
from ..state.planning.features import NO_FEATURES, Features, parse_features
from .addresses import Address, parse_address
from .store import DEFAULT_ROW_BYTES

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "KINGCUPTRACK_BOOT"
# Environment variable with the port of the metrics address; deploy/system.toml sets it.
METRICS_PORT_VARIABLE = "KINGCUPTRACK_METRICS_PORT"
# Environment variable with the names of the optional parts of the scheduler that are
# on, separated by spaces; deploy/system.toml sets it.
FEATURES_VARIABLE = "KINGCUPTRACK_FEATURES"


class SettingsError(ValueError):
    """The settings cannot be used; the message says why."""


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Settings of an instance; durations in seconds.

    ``permission_loss_seconds`` is the longest time for which requests with a revoked
    key may still be served. ``remote_factor`` is how many times as long a task takes
    outside the rack of its data or of the rest of its gang. ``processor_cores`` is the
    processor time that the instance can use, 0 if the file does not tell. ``memory_mb``
    and ``descriptors_count`` are what the process may use; 0 if the file does not tell.
    ``row_bytes`` is the largest value of a row of the store, in Base64.
    """

    instance_id: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics_port: int
    store_url: str
    permission_loss_seconds: float
    longest_lease_seconds: float
    stop_seconds: float
    history_seconds: float
    remote_factor: float
    processor_cores: float = 0.0
    memory_mb: float = 0.0
    descriptors_count: int = 0
    row_bytes: int = DEFAULT_ROW_BYTES
    features: Features = NO_FEATURES


# The fields of the following classes have the names of the settings file.


@attrs.frozen
class _Listen:
    front: str
    readiness: str


@attrs.frozen
class _Bounds:
    revoke_ms: float  # longest time for which a revoked key is still served
    max_hold_ms: float  # longest lease that a worker grants
    grace_s: float  # time between SIGTERM and SIGKILL
    remote_factor: float = DEFAULT_REMOTE_FACTOR


@attrs.frozen
class _Platform:
    address: str  # of the store
    history_s: float = 20.0
    row_bytes: int = DEFAULT_ROW_BYTES


@attrs.frozen
class _Limits:
    cpu_share: float = 0.0  # share of a core
    cores: float = 1.0  # how many times as fast that core is
    memory_mb: float = 0.0
    max_fds: int = 0  # descriptors


@attrs.frozen
class _File:
    node_name: str  # id of the instance
    ip: str
    zone: str  # data centre
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    port_range: tuple[int, int]  # ports that the instance may use, both ends included
    limits: _Limits = _Limits()


def settings_path():
    """Return the path of the settings file; raises `SettingsError`."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the environment variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path):
    """Read and check the settings file; raises `SettingsError`."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(data, file=str(path))


def parse_settings(data, *, file):
    """Decode and check the bytes of a settings file; raises `SettingsError`."""
    try:
        decoded = decode_json(data, _File)
    except DecodingError as error:
        raise SettingsError(f"{file}: {error}") from error
    problems = []
    settings = PlatformSettings(
        instance_id=decoded.node_name,
        data_centre=decoded.zone,
        callers=_parse_address(decoded.listen.front, "listen.front", problems),
        readiness=_parse_address(
            decoded.listen.readiness, "listen.readiness", problems
        ),
        metrics_port=_choose_metrics_port(decoded.port_range, problems),
        store_url=f"http://{decoded.platform.address}",
        permission_loss_seconds=decoded.bounds.revoke_ms / 1000,
        longest_lease_seconds=decoded.bounds.max_hold_ms / 1000,
        stop_seconds=decoded.bounds.grace_s,
        history_seconds=decoded.platform.history_s,
        remote_factor=decoded.bounds.remote_factor,
        processor_cores=decoded.limits.cpu_share * decoded.limits.cores,
        memory_mb=decoded.limits.memory_mb,
        descriptors_count=decoded.limits.max_fds,
        row_bytes=decoded.platform.row_bytes,
        features=_read_features(problems),
    )
    for name in (
        "permission_loss_seconds",
        "longest_lease_seconds",
        "stop_seconds",
        "history_seconds",
        "row_bytes",
    ):
        if getattr(settings, name) <= 0:
            problems.append(f"{name}: must be greater than 0")
    if settings.processor_cores < 0:
        problems.append("limits: cpu_share and cores must not be negative")
    if settings.memory_mb < 0 or settings.descriptors_count < 0:
        problems.append("limits: memory_mb and max_fds must not be negative")
    if settings.remote_factor < 1:
        problems.append("remote_factor: must be at least 1")
    _parse_address(decoded.platform.address, "platform.address", problems)
    if problems:
        raise SettingsError(f"{file}: " + "; ".join(problems))
    return settings


def _read_features(problems):
    """Return the features that the environment variable names."""
    try:
        return parse_features(os.environ.get(FEATURES_VARIABLE, ""))
    except ValueError as error:
        problems.append(f"{FEATURES_VARIABLE}: {error}")
        return NO_FEATURES


def _choose_metrics_port(port_range, problems):
    """Return the port in the environment variable, else the first of the range."""
    text = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not text:
        return port_range[0]
    if not text.isdecimal() or not 0 < int(text) < 65536:
        problems.append(f"{METRICS_PORT_VARIABLE}: {text!r} is not a port")
        return port_range[0]
    return int(text)


def _parse_address(text, name, problems):
    try:
        return parse_address(text)
    except ValueError as error:
        problems.append(f"{name}: {error}")
        return None
