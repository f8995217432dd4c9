"""Conversion between typed objects and JSON or CBOR, with strict types."""

from enum import StrEnum

import cbor2
from cattrs import transform_error
from cattrs.preconf.cbor2 import make_converter as make_cbor_converter
from cattrs.preconf.json import make_converter as make_json_converter

from ..findings import Finding, Place


def _strict(kinds, name):
    def structure(value, _):
        if isinstance(value, bool) and bool not in kinds:
            raise TypeError(f"expected {name}, got a boolean")
        if not isinstance(value, kinds):
            raise TypeError(f"expected {name}, got {type(value).__name__}")
        return value

    return structure


def _harden(converter):
    """Reject values that cattrs would otherwise convert silently."""
    converter.register_structure_hook(int, _strict((int,), "a whole number"))
    converter.register_structure_hook(float, _strict((int, float), "a number"))
    converter.register_structure_hook(str, _strict((str,), "a string"))
    converter.register_structure_hook(bool, _strict((bool,), "true or false"))
    # Hooks are found by class: without its own, a string enum would get that of str.
    converter.register_structure_hook(StrEnum, lambda value, kind: kind(value))
    return converter


json_converter = _harden(make_json_converter())
strict_json_converter = _harden(make_json_converter(forbid_extra_keys=True))
# Heartbeats consist mostly of defaults, and are the most frequent message by far.
cbor_converter = _harden(make_cbor_converter(omit_if_default=True))


def structure_findings(error, *, source):
    """Return the findings of a cattrs structuring error."""
    findings = []
    for text in transform_error(error, path=""):
        message, _, path = text.rpartition(" @ ")
        place = Place(file=source, key=path.lstrip("."))
        findings.append(Finding(place=place, message=message or text))
    return findings


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
