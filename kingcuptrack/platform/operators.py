"""Rows written by operators: configuration and data centres out of service."""

import attrs

from ..coordination import operator_rows
from ..coordination.ports import RowKey
from ..decoding import DecodingError, decode_json
from ..logs import log_event
from ..state.cluster.cluster_policy import ClusterPolicy, Organisation, Queue
from ..state.jobs.steps import NO_RESOURCES, Resources

_TABLE = "op"
# Row of the configuration.
CONFIG_ROW = RowKey(table=_TABLE, part="", key="config")
# A row with this prefix and the name of a data centre as its key takes that data
# centre out of service.
_EVACUATE_PREFIX = "evacuate/"
# Key of the accelerator count in a guarantee that is given as a table.
_GPU_NAME = "gpu"


@attrs.frozen
class _WireRoute:
    """A queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1  # limit of attempts
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    public: bool = False


@attrs.frozen
class _WireMaximum:
    """Limits of what an organisation has running; 0 means no limit."""

    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0


@attrs.frozen
class _WireTenant:
    """An organisation."""

    name: str
    api_keys: list[str] = attrs.field(factory=list)
    # The platform documents a number; a table of counts by accelerator name occurs
    # as well.
    guaranteed_gpus: int | dict[str, int] = 0
    weight: float | None = None
    maximum: _WireMaximum | None = None


@attrs.frozen
class _WireLimits:
    max_body_bytes: int = 262144


@attrs.frozen
class _WireConfig:
    version: int
    routes: list[_WireRoute] = attrs.field(factory=list)
    tenants: list[_WireTenant] = attrs.field(factory=list)
    limits: _WireLimits = _WireLimits()


class PolicyError(ValueError):
    """A configuration that cannot be read; the message says why."""


def make_operators(store):
    """Return the `Operators` port over a `Store`."""
    return operator_rows.make_operators(
        store,
        policy_key=CONFIG_ROW,
        closure_prefix=_EVACUATE_PREFIX,
        decode_policy=decode_policy,
    )


def closure_key(data_centre):
    """Return the key of the row that takes a data centre out of service."""
    return operator_rows.closure_key(CONFIG_ROW, _EVACUATE_PREFIX, data_centre)


def decode_policy(row):
    """Return the `ClusterPolicy` of the configuration row, or None if unreadable."""
    try:
        return parse_policy(row)
    except PolicyError as error:
        log_event(
            "configuration",
            outcome="unreadable",
            row_version=row.version,
            reason=str(error),
        )
        return None


def parse_policy(row):
    """Return the `ClusterPolicy` of the configuration row; raises `PolicyError`."""
    try:
        config = decode_json(row.value, _WireConfig)
    except DecodingError as error:
        raise PolicyError(str(error)) from error
    return ClusterPolicy(
        version=config.version,
        row_version=row.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        organisations=tuple(
            Organisation(
                name=tenant.name,
                keys=frozenset(tenant.api_keys),
                guarantee_gpus=_count_guaranteed_gpus(tenant.guaranteed_gpus),
                weight=max(0.0, tenant.weight or 0.0),
                maximum=_decode_maximum(tenant.maximum),
            )
            for tenant in config.tenants
        ),
        body_limit_bytes=config.limits.max_body_bytes,
    )


def _decode_queue(route):
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts_limit=route.attempts,
        stretch=route.stretch,
        target_latency_seconds=route.target_latency_ms / 1000,
        is_public=route.public,
    )


def _decode_maximum(maximum):
    if maximum is None:
        return NO_RESOURCES
    return Resources(
        cpu_millicores=max(0, maximum.cpu),
        memory_mb=max(0, maximum.mem_mb),
        gpus_count=max(0, maximum.gpu),
    )


def _count_guaranteed_gpus(guarantee):
    if isinstance(guarantee, dict):
        return guarantee.get(_GPU_NAME, 0)
    return guarantee
