"""Conversion between typed objects and JSON or CBOR, with strict types."""

from enum import StrEnum

import attrs
import cbor2
from cattrs import transform_error
from cattrs.preconf.cbor2 import make_converter as make_cbor_converter
from cattrs.preconf.json import make_converter as make_json_converter
from cattrs.v import format_exception

from ..findings import Finding, Place


def _make_strict_hook(kinds, name):
    """Return a hook that accepts only ``kinds``, which ``name`` describes in errors."""

    def structure(value, _):
        if isinstance(value, bool) and bool not in kinds:
            raise TypeError(f"expected {name}, got a boolean")
        if not isinstance(value, kinds):
            raise TypeError(f"expected {name}, got {type(value).__name__}")
        return value

    return structure


def _structure_choice(value, kind):
    if value not in list(kind):
        raise TypeError(f"expected one of {', '.join(kind)}")
    return kind(value)


def _add_strict_hooks(converter):
    """Let a converter reject values that cattrs would convert silently."""
    converter.register_structure_hook(int, _make_strict_hook((int,), "a whole number"))
    converter.register_structure_hook(
        float, _make_strict_hook((int, float), "a number")
    )
    converter.register_structure_hook(str, _make_strict_hook((str,), "a string"))
    converter.register_structure_hook(bool, _make_strict_hook((bool,), "true or false"))
    # Without its own hook, a string enum would get that of its base class str.
    converter.register_structure_hook(StrEnum, _structure_choice)
    return converter


json_converter = _add_strict_hooks(make_json_converter())
strict_json_converter = _add_strict_hooks(make_json_converter(forbid_extra_keys=True))
# Defaults are omitted: heartbeats, by far the most frequent message, consist mostly of
# them.
cbor_converter = _add_strict_hooks(make_cbor_converter(omit_if_default=True))


def findings_from_error(error, *, source):
    """Return a finding for each problem in a cattrs structuring error."""
    findings = []
    for text in transform_error(error, path="", format_exception=_format_exception):
        message, _, path = text.rpartition(" @ ")
        place = Place(file=source, key=path.lstrip("."))
        findings.append(Finding(place=place, message=message or text))
    return findings


def _format_exception(error, kind):
    # The hooks above already name the expected type in terms of JSON.
    if isinstance(error, TypeError) and str(error).startswith("expected "):
        return str(error)
    if isinstance(error, TypeError | AttributeError) and attrs.has(kind):
        return "expected a JSON object"
    return format_exception(error, kind)


def encode_cbor(value):
    """Encode a typed object as CBOR bytes."""
    return cbor2.dumps(cbor_converter.unstructure(value))


def decode_cbor(data, kind):
    """Decode CBOR bytes as ``kind``.

    Raises
    ------
    ValueError
        If the bytes are not CBOR or do not have the fields of ``kind``.
    """
    try:
        return cbor_converter.structure(cbor2.loads(data), kind)
    except Exception as error:  # cbor2 and cattrs raise many unrelated types
        raise ValueError(f"not a valid {kind.__name__}: {error}") from error
