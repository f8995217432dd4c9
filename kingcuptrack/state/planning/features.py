"""Switches of the optional parts of the scheduler."""

import attrs


@attrs.frozen(kw_only=True)
class Features:
    """Optional parts that are on; `docs/design/contention.md` describes them.

    ``speeds``: workers are chosen by their learned speed. ``interference``: tasks that
    slow each other down are kept apart. ``admission``: jobs that would end too late to
    be of use are refused.
    """

    speeds: bool = False
    interference: bool = False
    admission: bool = False


NO_FEATURES = Features()


def parse_features(text):
    """Return the `Features` named in a text, separated by spaces.

    Raises
    ------
    ValueError
        A name is unknown; the message lists the known ones.
    """
    names = text.split()
    known = [field.name for field in attrs.fields(Features)]
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise ValueError(
            f"unknown features: {', '.join(unknown)}; known are {', '.join(known)}"
        )
    return Features(**dict.fromkeys(names, True))
