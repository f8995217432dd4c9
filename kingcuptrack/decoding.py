"""Decoding of JSON and MessagePack from other processes, with one error for all causes.

The decoders raise errors of several unrelated types: for a wrong type, a number out of
range, text that is not UTF-8, and `RecursionError` for deep nesting, also within fields
that are ignored. A caller that misses one of them fails on a message that it should
reject.
"""

import msgspec

# Errors that `msgspec` raises beside `RecursionError`.
_ERRORS = (msgspec.MsgspecError, UnicodeError, OverflowError)
# Error texts can quote the data.
_TEXT_LIMIT_LENGTH = 200


class DecodingError(ValueError):
    """Data that cannot be decoded; the message says why."""


def decode_json(data, kind):
    """Return the ``kind`` of a JSON text.

    Parameters
    ----------
    data : bytes
    kind : type

    Raises
    ------
    DecodingError
    """
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data, kind):
    """Return the ``kind`` of MessagePack data; raises `DecodingError`."""
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode, data, kind):
    try:
        return decode(data, type=kind)
    except RecursionError as error:
        raise DecodingError("nested too deeply") from error
    except _ERRORS as error:
        raise DecodingError(shorten(str(error))) from error


def shorten(text):
    """Return a text for log lines and messages, cut if it is long."""
    if len(text) <= _TEXT_LIMIT_LENGTH:
        return text
    return text[:_TEXT_LIMIT_LENGTH] + "..."
