"""Settings of the entry daemon: defaults, ranges and checks."""

import ipaddress
from pathlib import Path

import attrs

from .findings import Finding, Place
from .ini import parse_ini


def _setting(section, default=attrs.NOTHING, *, minimum=None, maximum=None, **kwargs):
    metadata = {
        "section": section,
        "minimum": minimum,
        "maximum": maximum,
        "choices": kwargs.pop("choices", None),
        "help": kwargs.pop("help"),
    }
    return attrs.field(default=default, metadata=metadata, **kwargs)


@attrs.frozen(kw_only=True)
class Settings:
    """Checked settings; every duration is in seconds, every size in bytes."""

    instance_id: str = _setting("instance", help="Unique id of this entry instance.")
    data_centre: str = _setting("instance", help="Data centre of this instance.")
    listen_ip: str = _setting("instance", "127.0.0.1", help="IP address to listen on.")
    http_port: int = _setting(
        "instance", minimum=1, maximum=65535, help="Port for callers and operators."
    )
    peer_port: int = _setting(
        "instance", minimum=1, maximum=65535, help="Port for other entry instances."
    )
    advertised_peer_address: str = _setting(
        "instance",
        "",
        help="host:port at which peers reach this instance; default: listen address.",
    )

    table_url: str = _setting("platform", help="Base URL of the table service.")
    objects_url: str = _setting("platform", help="Base URL of the object store.")
    instances_url: str = _setting("platform", help="Base URL of the instance list.")
    platform_timeout_seconds: float = _setting(
        "platform", 1.5, minimum=0.05, maximum=30.0, help="Timeout of a platform call."
    )
    platform_connections_count: int = _setting(
        "platform", 16, minimum=1, maximum=256, help="Connections to the platform."
    )

    heartbeat_interval_seconds: float = _setting(
        "peers", 1.0, minimum=0.05, maximum=10.0, help="Period of heartbeats to peers."
    )
    remote_heartbeat_interval_seconds: float = _setting(
        "peers",
        1.0,
        minimum=0.05,
        maximum=60.0,
        help="Period of heartbeats to peers in other data centres.",
    )
    peer_timeout_seconds: float = _setting(
        "peers",
        2.5,
        minimum=0.2,
        maximum=60.0,
        help="Time without a heartbeat after which a peer counts as failed.",
    )
    peer_call_timeout_seconds: float = _setting(
        "peers", 2.0, minimum=0.05, maximum=60.0, help="Timeout of a call to a peer."
    )
    instances_poll_interval_seconds: float = _setting(
        "peers", 1.0, minimum=0.1, maximum=60.0, help="Period of instance list polls."
    )
    isolation_timeout_seconds: float = _setting(
        "peers",
        3.0,
        minimum=0.5,
        maximum=60.0,
        help="Silence of the table and all remote peers that counts as isolation.",
    )
    isolated_start_policy: str = _setting(
        "peers",
        "serve",
        choices=("serve", "stop"),
        help="Whether an isolated data centre starts guaranteed and urgent work.",
    )

    configuration_poll_interval_seconds: float = _setting(
        "configuration",
        1.0,
        minimum=0.1,
        maximum=10.0,
        help="Period of configuration row polls.",
    )

    worker_timeout_seconds: float = _setting(
        "workers", 1.0, minimum=0.05, maximum=30.0, help="Timeout of a worker call."
    )
    lease_seconds: float = _setting(
        "workers", 10.0, minimum=0.5, maximum=300.0, help="Duration of task leases."
    )
    lease_margin_seconds: float = _setting(
        "workers",
        0.5,
        minimum=0.01,
        maximum=30.0,
        help="Safety margin at the end of a lease, for clock drift and delays.",
    )
    handover_lease_seconds: float = _setting(
        "workers",
        30.0,
        minimum=0.5,
        maximum=600.0,
        help="Duration of task leases that the last instance to stop leaves behind.",
    )
    renewal_interval_seconds: float = _setting(
        "workers", 3.0, minimum=0.1, maximum=100.0, help="Period of lease renewals."
    )
    worker_poll_interval_seconds: float = _setting(
        "workers",
        10.0,
        minimum=0.2,
        maximum=300.0,
        help="Period of idle worker polls.",
    )
    worker_probe_delay_seconds: float = _setting(
        "workers",
        30.0,
        minimum=0.1,
        maximum=3600.0,
        help="Time until a quarantined worker gets a first task as a probe.",
    )
    checkpoint_timeout_seconds: float = _setting(
        "workers", 1.5, minimum=0.0, maximum=600.0, help="Timeout of a checkpoint."
    )
    drain_timeout_seconds: float = _setting(
        "workers",
        30.0,
        minimum=0.0,
        maximum=86400.0,
        help="Time for running work to finish in a data centre taken out.",
    )

    request_body_limit_bytes: int = _setting(
        "requests",
        1048576,
        minimum=1024,
        maximum=67108864,
        help="Largest request body.",
    )
    queue_limit_count: int = _setting(
        "requests",
        2000,
        minimum=1,
        maximum=100000,
        help="Jobs one organisation may have waiting in a data centre.",
    )
    wait_limit_seconds: float = _setting(
        "requests",
        30.0,
        minimum=0.1,
        maximum=300.0,
        help="Longest wait of a long poll.",
    )
    stop_notice_seconds: float = _setting(
        "requests",
        3.0,
        minimum=0.0,
        maximum=60.0,
        help="Time a stopping daemon still answers; "
        "must exceed the delay of the instance list.",
    )
    stop_timeout_seconds: float = _setting(
        "requests", 20.0, minimum=0.1, maximum=600.0, help="Timeout of a graceful stop."
    )

    log_level: str = _setting(
        "observability",
        "INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        help="Least severe level that is logged.",
    )
    statsd_ip: str = _setting(
        "observability", "", help="IP address; empty: no metrics."
    )
    statsd_port: int = _setting(
        "observability", 8125, minimum=1, maximum=65535, help="UDP port of statsd."
    )


_FIELDS = {field.name: field for field in attrs.fields(Settings)}
_IP_KEYS = ("listen_ip", "statsd_ip")
_URL_KEYS = ("table_url", "objects_url", "instances_url")


def load_settings(path):
    """Read and check the settings file at ``path``.

    Returns
    -------
    settings : Settings or None
        None if any finding is an error.
    findings : list of Finding
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = Place(file=str(path))
        return None, [Finding(place=place, message=f"cannot be read: {error}")]
    return parse_settings(text, file=str(path))


def parse_settings(text, *, file):
    """Check settings in INI text; returns the same as `load_settings`."""
    sections, findings = parse_ini(text, file=file)
    if findings and not sections:
        return None, findings
    values = {}
    for section in sections.values():
        known_keys = [
            name
            for name, field in _FIELDS.items()
            if field.metadata["section"] == section.name
        ]
        if not known_keys:
            place = Place(file=file, section=section.name, line=section.line)
            findings.append(Finding(place=place, message="unknown section"))
            continue
        for key, raw in section.values.items():
            place = Place(file=file, section=section.name, key=key, line=raw.line)
            if key not in known_keys:
                findings.append(Finding(place=place, message="unknown key"))
                continue
            value, message = _parse_value(_FIELDS[key], raw.text)
            if message:
                findings.append(Finding(place=place, message=message))
            values[key] = (value, place)
    findings += _missing_findings(values, file=file)
    findings += _relation_findings(values, file=file)
    if findings:
        return None, findings
    return Settings(**{key: value for key, (value, _) in values.items()}), []


def _parse_value(field, text):
    """Return the parsed value and an empty text, or None and an error message."""
    metadata = field.metadata
    if field.type in (int, float):
        try:
            value = field.type(text)
        except ValueError:
            kind = "a whole number" if field.type is int else "a number"
            return None, f"{text!r} is not {kind}"
        if not metadata["minimum"] <= value <= metadata["maximum"]:
            limits = f"{metadata['minimum']} to {metadata['maximum']}"
            return None, f"{text} is outside the range {limits}"
        return value, ""
    if metadata["choices"] and text not in metadata["choices"]:
        return None, f"{text!r} is none of {', '.join(metadata['choices'])}"
    if field.default is attrs.NOTHING and not text:
        return None, "must not be empty"
    if field.name in _IP_KEYS and text and not _is_ip(text):
        return None, f"{text!r} is not an IP address"
    if field.name in _URL_KEYS and not text.startswith("http://"):
        return None, f"{text!r} is not an http:// URL"
    return text, ""


def _is_ip(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _missing_findings(values, *, file):
    return [
        Finding(
            place=Place(file=file, section=field.metadata["section"], key=name),
            message="required setting is missing",
        )
        for name, field in _FIELDS.items()
        if field.default is attrs.NOTHING and name not in values
    ]


def _relation_findings(values, *, file):
    """Return findings about settings that contradict each other."""

    def value_of(name):
        value, _ = values.get(name, (_FIELDS[name].default, None))
        return value

    def place_of(name):
        section = _FIELDS[name].metadata["section"]
        default_place = Place(file=file, section=section, key=name)
        return values.get(name, (None, default_place))[1]

    def require_less(smaller, factor, larger):
        first, second = value_of(smaller), value_of(larger)
        if first is None or second is None or first * factor < second:
            return []
        times = f"{factor} x " if factor > 1 else ""
        message = f"{times}{smaller} ({first}) must be less than {larger}"
        return [Finding(place=place_of(smaller), message=f"{message} ({second})")]

    return (
        # Two renewals fall within a lease, so that one lost renewal does not end it.
        require_less("renewal_interval_seconds", 2, "lease_seconds")
        + require_less("lease_margin_seconds", 2, "lease_seconds")
        # One lost heartbeat must not make a running peer count as failed.
        + require_less("heartbeat_interval_seconds", 2, "peer_timeout_seconds")
        # Otherwise the table would count as silent between two polls.
        + require_less(
            "configuration_poll_interval_seconds", 1, "isolation_timeout_seconds"
        )
        # One lost heartbeat must not make a data centre count as isolated.
        + require_less(
            "remote_heartbeat_interval_seconds", 2, "isolation_timeout_seconds"
        )
    )
