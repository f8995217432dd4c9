"""Encoding of the learned row ``interference``, as MessagePack."""

import array
import math

import msgspec

from ..jobs.records import RecordError, decode_record
from .linear_fit import VARIABLES_LIMIT_COUNT, LinearFit

FORMAT_VERSION = 1
# Upper triangle and moments as 32-bit floats, which are more exact than the data.
_FLOAT = "f"

# A row with a larger one is damaged; the factor would be above 1000.
LARGEST_COEFFICIENT = 7.0

_KindRow = tuple[str, list[str], bytes, list[float], list[int], list[str]]


def encode_models(models):
    """Return the row of ``models``, which map a kind to its `KindModel`."""
    rows = [
        (
            kind,
            model.fit.names,
            _pack_fit(model.fit),
            [round(variance, 6) for variance in model.variances],
            model.counts,
            sorted(model.certain),
        )
        for kind, model in sorted(models.items())
    ]
    return msgspec.msgpack.encode((FORMAT_VERSION, rows))


def decode_models(data):
    """Return (kind, `LinearFit`, variances, counts, certain neighbours) of a row.

    The fits are solved.

    Raises
    ------
    RecordError
        The row is malformed, or of another version.
    """
    version, rows = decode_record(data, tuple[int, list[_KindRow]])
    if version != FORMAT_VERSION:
        raise RecordError(f"version {version} is not {FORMAT_VERSION}")
    models = []
    for kind, names, packed, variances, counts, certain in rows:
        is_sound = (
            len(variances) == len(counts) == 2
            and all(0 < variance < math.inf for variance in variances)
            and all(count >= 0 for count in counts)
            and len(names) <= VARIABLES_LIMIT_COUNT
            and set(certain) <= set(names)
        )
        if not is_sound:
            raise RecordError(f"kind {kind}: inconsistent")
        models.append((kind, _unpack_fit(names, packed), variances, counts, {*certain}))
    return models


def _pack_fit(fit):
    floats = array.array(_FLOAT, fit.moments)
    for index, row in enumerate(fit.information):
        floats.extend(row[index:])
    return floats.tobytes()


def _unpack_fit(names, packed):
    count = 1 + len(names)
    floats = array.array(_FLOAT)
    if len(packed) != floats.itemsize * (count + count * (count + 1) // 2):
        raise RecordError("matrix of another size")
    floats.frombytes(packed)
    if not all(map(math.isfinite, floats)):
        raise RecordError("matrix is not finite")
    values = iter(floats[count:])
    information = [[0.0] * count for _ in range(count)]
    for index in range(count):
        for other in range(index, count):
            information[index][other] = information[other][index] = next(values)
    fit = LinearFit(names, information, floats[:count])
    try:
        fit.solve()
    except (ValueError, ZeroDivisionError) as error:
        raise RecordError(f"matrix is not positive definite: {error}") from error
    means = [abs(fit.coefficient(name)[0]) for name in names]
    if not all(mean < LARGEST_COEFFICIENT for mean in means):
        raise RecordError("coefficient out of range")
    return fit
