"""Lists of organisations and plans that operators edit, and the configuration."""

import attrs

from ...findings import Finding, Place, has_errors
from ...ini import parse_ini
from .jobs import GANG_TASKS_LIMIT_COUNT
from .shapes import Shape

ORGANISATIONS_FILE = "organisations.ini"
PLANS_FILE = "plans.ini"

# Longest name in characters; names are part of log lines, metrics and tables.
NAME_LIMIT_COUNT = 64


@attrs.frozen(kw_only=True)
class Plan:
    """Guarantee, quota and weight of the organisations of a plan.

    The guarantee is ``guaranteed_gangs_count`` gangs of ``guaranteed_tasks_count``
    tasks of ``guaranteed_shape`` at the same time, over all data centres.
    ``quota_accelerators_count`` limits guaranteed and borrowed use together. Waiting
    jobs are ordered by the dominant share of an organisation divided by ``weight``.
    """

    name: str
    guaranteed_gangs_count: int
    guaranteed_tasks_count: int
    guaranteed_shape: Shape
    quota_accelerators_count: int
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of all that operators control.

    ``notice_ids`` are the ids of the take-out notices that this or an earlier version
    has recorded, newest last; a recorded notice is no longer applied on its own.
    """

    version: int
    plans: dict[str, Plan]
    plan_by_organisation: dict[str, str]
    data_centres_out: frozenset[str] = frozenset()
    notice_ids: tuple[str, ...] = ()
    organisations_text: str = ""
    plans_text: str = ""
    write_token: str = ""


EMPTY_CONFIGURATION = Configuration(version=0, plans={}, plan_by_organisation={})


# Values are (type, default, minimum, maximum); a default of None marks a required key.
_PLAN_KEYS = {
    "guaranteed_gangs_count": (int, None, 0, 100_000),
    "guaranteed_tasks_count": (int, None, 1, GANG_TASKS_LIMIT_COUNT),
    "guaranteed_task_accelerators_count": (int, None, 0, 1024),
    "guaranteed_task_cores_count": (int, None, 0, 4096),
    "guaranteed_task_memory_bytes": (int, None, 0, 2**44),
    "quota_accelerators_count": (int, None, 0, 1_000_000),
    "weight": (float, 1.0, 0.01, 1000.0),
}


def parse_lists(organisations_text, plans_text):
    """Parse and check both lists.

    Returns
    -------
    configuration : Configuration or None
        Has version 0 and all data centres in service; None if there are errors.
    findings : list of Finding
    """
    plans, findings = _parse_plans(plans_text)
    plan_by_organisation, organisation_findings = _parse_organisations(
        organisations_text, plans
    )
    findings += organisation_findings
    if has_errors(findings):
        return None, findings
    configuration = Configuration(
        version=0,
        plans=plans,
        plan_by_organisation=plan_by_organisation,
        organisations_text=organisations_text,
        plans_text=plans_text,
    )
    return configuration, findings


def _parse_plans(text):
    sections, findings = parse_ini(text, file=PLANS_FILE)
    plans = {}
    for section in sections.values():
        name, finding = _parse_section_name(section, "plan", file=PLANS_FILE)
        if finding:
            findings.append(finding)
            continue
        values, value_findings = _parse_plan_values(section)
        findings += value_findings
        plans[name] = None if value_findings else _make_plan(name, values)
    return plans, findings


def _parse_plan_values(section):
    values = {}
    findings = []
    for key, raw in section.values.items():
        place = Place(file=PLANS_FILE, section=section.name, key=key, line=raw.line)
        if key not in _PLAN_KEYS:
            findings.append(Finding(place=place, message="unknown key"))
            continue
        value_type, _, minimum, maximum = _PLAN_KEYS[key]
        try:
            value = value_type(raw.text)
        except ValueError:
            message = (
                f"{raw.text!r} is not {'a whole' if value_type is int else 'a'} number"
            )
            findings.append(Finding(place=place, message=message))
            continue
        if not minimum <= value <= maximum:
            message = f"{raw.text} is outside the range {minimum} to {maximum}"
            findings.append(Finding(place=place, message=message))
            continue
        values[key] = value
    for key, (_, default, _, _) in _PLAN_KEYS.items():
        if key in section.values:
            continue
        if default is not None:
            values[key] = default
            continue
        place = Place(file=PLANS_FILE, section=section.name, key=key, line=section.line)
        findings.append(Finding(place=place, message="required key is missing"))
    return values, findings


def _make_plan(name, values):
    return Plan(
        name=name,
        guaranteed_gangs_count=values["guaranteed_gangs_count"],
        guaranteed_tasks_count=values["guaranteed_tasks_count"],
        guaranteed_shape=Shape(
            accelerators_count=values["guaranteed_task_accelerators_count"],
            cores_count=values["guaranteed_task_cores_count"],
            memory_bytes=values["guaranteed_task_memory_bytes"],
        ),
        quota_accelerators_count=values["quota_accelerators_count"],
        weight=values["weight"],
    )


def _parse_organisations(text, plans):
    sections, findings = parse_ini(text, file=ORGANISATIONS_FILE)
    plan_by_organisation = {}
    for section in sections.values():
        name, finding = _parse_section_name(
            section, "organisation", file=ORGANISATIONS_FILE
        )
        if finding:
            findings.append(finding)
            continue
        for key, raw in section.values.items():
            if key != "plan":
                place = Place(
                    file=ORGANISATIONS_FILE,
                    section=section.name,
                    key=key,
                    line=raw.line,
                )
                findings.append(Finding(place=place, message="unknown key"))
        raw = section.values.get("plan")
        place = Place(
            file=ORGANISATIONS_FILE,
            section=section.name,
            key="plan",
            line=raw.line if raw else section.line,
        )
        if raw is None:
            findings.append(Finding(place=place, message="required key is missing"))
        elif raw.text not in plans:
            message = f"plan {raw.text!r} is not in {PLANS_FILE}"
            findings.append(Finding(place=place, message=message))
        else:
            plan_by_organisation[name] = raw.text
    return plan_by_organisation, findings


def _parse_section_name(section, kind, *, file):
    prefix, _, name = section.name.partition(" ")
    name = name.strip()
    message = ""
    if prefix != kind or not name:
        message = f"expected [{kind} NAME]"
    elif len(name) > NAME_LIMIT_COUNT:
        message = f"the name is longer than {NAME_LIMIT_COUNT} characters"
    elif not name.isprintable():
        message = "the name contains control or other unprintable characters"
    if not message:
        return name, None
    # The name itself may be at fault: the finding shows it shortened and escaped.
    shown_name = ascii(section.name[: NAME_LIMIT_COUNT + len(kind) + 1])[1:-1]
    place = Place(file=file, section=shown_name, line=section.line)
    return "", Finding(place=place, message=message)
