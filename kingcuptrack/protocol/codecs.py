"""Conversion between typed objects and JSON or CBOR, with strict types."""

from enum import StrEnum

import attrs
import cbor2
from cattrs import transform_error
from cattrs.preconf.cbor2 import make_converter as make_cbor_converter
from cattrs.preconf.json import make_converter as make_json_converter
from cattrs.v import format_exception

from ..findings import Finding, Place


def _strict(kinds, name):
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


def _harden(converter):
    """Reject values that cattrs would otherwise convert silently."""
    converter.register_structure_hook(int, _strict((int,), "a whole number"))
    converter.register_structure_hook(float, _strict((int, float), "a number"))
    converter.register_structure_hook(str, _strict((str,), "a string"))
    converter.register_structure_hook(bool, _strict((bool,), "true or false"))
    # Hooks are found by class: without its own, a string enum would get that of str.
    converter.register_structure_hook(StrEnum, _structure_choice)
    return converter


json_converter = _harden(make_json_converter())
strict_json_converter = _harden(make_json_converter(forbid_extra_keys=True))
# Heartbeats consist mostly of defaults, and are the most frequent message by far.
cbor_converter = _harden(make_cbor_converter(omit_if_default=True))


def findings_from_error(error, *, source):
    """Return the findings of a cattrs structuring error."""
    findings = []
    for text in transform_error(error, path="", format_exception=_format_exception):
        message, _, path = text.rpartition(" @ ")
        place = Place(file=source, key=path.lstrip("."))
        findings.append(Finding(place=place, message=message or text))
    return findings


def _format_exception(error, kind):
    # The messages of the hooks above name no Python types.
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
