"""Checks of a configuration, alone and against the one in force.

Instances log the same findings when they apply a configuration, so that a check before
it is sent and the instances never disagree.
"""

from enum import IntEnum

import attrs

from ...findings import Finding, Place

# A job on average workers takes at least its critical path, so that with a smaller
# stretch only its target latency can make it on time.
SMALLEST_STRETCH = 1.0


class Severity(IntEnum):
    """Consequence of a difference, the worst first."""

    CALLERS_REFUSED = 0  # requests that are answered now would be refused
    PROMISE_LOWERED = 1  # an organisation gets less than it was promised
    BEHAVIOUR_CHANGED = 2  # jobs are treated in another way
    ADDED = 3  # something new, or more than before

    @property
    def label(self):
        """Name of the severity in output."""
        return self.name.lower().replace("_", " ")


@attrs.frozen(kw_only=True, order=True)
class Difference:
    """A difference from the configuration in force; sorts by its consequence."""

    severity: Severity
    message: str


@attrs.frozen(kw_only=True)
class ClusterCapacity:
    """What the workers of the cluster offer; None for what is not known.

    ``services`` are the services with at least one worker.
    """

    gpus_count: int | None = None
    services: frozenset[str] | None = None


UNKNOWN_CAPACITY = ClusterCapacity()


def find_problems(policy, capacity=UNKNOWN_CAPACITY, *, file=""):
    """Return the findings about a configuration, errors and warnings.

    Parameters
    ----------
    policy : ClusterPolicy
    capacity : ClusterCapacity
    file : str
        Name of the input, for the places of the findings.

    Returns
    -------
    list of Finding
    """
    problems = [
        *_check_queues(policy, capacity),
        *_check_organisations(policy, capacity),
    ]
    return [
        Finding(
            place=Place(file=file, section=section, key=key),
            message=message,
            is_warning=is_warning,
        )
        for section, key, message, is_warning in problems
    ]


def _check_queues(policy, capacity):
    """Yield (section, key, message, whether it is only a warning)."""
    queue_by_name, queue_by_route = {}, {}
    for queue in policy.queues:
        section = f"queue {queue.name}"
        if queue.name in queue_by_name:
            yield section, "name", "the name is used twice", False
        queue_by_name[queue.name] = queue
        route = queue.host, queue.path_prefix
        first = queue_by_route.setdefault(route, queue)
        if first is not queue:
            message = f"never matches: queue {first.name} has the same host and prefix"
            yield section, "path_prefix", message, False
        if not queue.path_prefix.startswith("/"):
            message = "never matches: paths of requests begin with a slash"
            yield section, "path_prefix", message, False
        if not queue.host:
            yield section, "host", "never matches: the host is empty", False
        if capacity.services is not None and queue.service not in capacity.services:
            message = f"service {queue.service} has no workers, so its jobs wait"
            yield section, "service", message, True
        yield from _check_limits(section, queue)
    if not policy.queues:
        yield "", "", "no queue: every request is refused", True


def _check_limits(section, queue):
    if queue.attempts_limit < 1:
        yield section, "attempts", "no attempt is allowed, so every job fails", False
    if queue.priority < 0:
        yield section, "priority", "must not be negative", False
    if queue.stretch < SMALLEST_STRETCH:
        message = "below 1, the run time of a job alone can exceed its objective"
        yield section, "stretch", message, True
    if queue.target_latency_seconds < 0:
        yield section, "target_latency", "must not be negative", False


def _check_organisations(policy, capacity):
    names, owner_by_key = set(), {}
    for organisation in policy.organisations:
        section = f"organisation {organisation.name}"
        if organisation.name in names:
            yield section, "name", "the name is used twice", False
        names.add(organisation.name)
        for key in sorted(organisation.keys):
            owner = owner_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                # Keys are secrets, so that none is shown in full.
                message = f"never matches: {_mask(key)} belongs to {owner}"
                yield section, "keys", message, False
            if not key:
                yield section, "keys", "never matches: the key is empty", False
        if not organisation.keys:
            yield section, "keys", "no key: only public queues accept its jobs", True
        yield from _check_quota(section, organisation)
    if not policy.organisations and any(not queue.is_public for queue in policy.queues):
        yield "", "", "no organisation: only public queues accept jobs", True
    yield from _check_guarantees(policy, capacity)


def _check_quota(section, organisation):
    maximum_count = organisation.maximum.gpus_count
    if organisation.guarantee_gpus < 0:
        yield section, "guarantee", "must not be negative", False
    if maximum_count and organisation.guarantee_gpus > maximum_count:
        message = (
            f"{organisation.guarantee_gpus} accelerators are guaranteed, but the "
            f"maximum is {maximum_count}"
        )
        yield section, "guarantee", message, False


def _check_guarantees(policy, capacity):
    total_count = sum(
        organisation.guarantee_gpus for organisation in policy.organisations
    )
    if capacity.gpus_count is not None and total_count > capacity.gpus_count:
        message = (
            f"{total_count} accelerators are guaranteed, but the workers have "
            f"{capacity.gpus_count}"
        )
        yield "", "guarantee", message, False
    weights = [organisation.weight for organisation in policy.organisations]
    if any(weights) and not all(weights):
        message = "some organisations have a weight and others have none"
        yield "", "weight", message, True


def find_differences(policy, in_force, *, used_gpus=None):
    """Return the `Difference`s from the configuration in force, the worst first.

    Parameters
    ----------
    policy, in_force : ClusterPolicy
    used_gpus : dict of str to int, optional
        Accelerators in use by organisation; tells where a limit falls below its use.

    Returns
    -------
    list of Difference
    """
    differences = [
        *_compare_queues(policy, in_force),
        *_compare_organisations(policy, in_force, used_gpus or {}),
    ]
    if policy.body_limit_bytes != in_force.body_limit_bytes:
        lowered = policy.body_limit_bytes < in_force.body_limit_bytes
        severity = Severity.CALLERS_REFUSED if lowered else Severity.ADDED
        differences.append(
            _changed(
                severity,
                "largest body in bytes",
                in_force.body_limit_bytes,
                policy.body_limit_bytes,
            )
        )
    return sorted(differences)


def find_version_problem(policy, in_force):
    """Return why a configuration would not replace the one in force, or None."""
    if policy.version > in_force.version:
        return None
    return Finding(
        place=Place(key="version"),
        message=f"{policy.version} is not above {in_force.version}, which is in force",
    )


def _changed(severity, what, before, after):
    return Difference(severity=severity, message=f"{what}: {before} becomes {after}")


def _compare_queues(policy, in_force):
    before_by_name = {queue.name: queue for queue in in_force.queues}
    after_by_name = {queue.name: queue for queue in policy.queues}
    for name in sorted(before_by_name.keys() - after_by_name.keys()):
        message = f"queue {name} is removed: its requests get status 404"
        yield Difference(severity=Severity.CALLERS_REFUSED, message=message)
    for name in sorted(after_by_name.keys() - before_by_name.keys()):
        yield Difference(severity=Severity.ADDED, message=f"queue {name} is added")
    for name in sorted(after_by_name.keys() & before_by_name.keys()):
        yield from _compare_queue(after_by_name[name], before_by_name[name])


def _compare_queue(after, before):
    for field in attrs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        is_refusing = field.name in ("host", "path_prefix") or (
            field.name == "is_public" and not new
        )
        severity = (
            Severity.CALLERS_REFUSED if is_refusing else Severity.BEHAVIOUR_CHANGED
        )
        yield _changed(severity, f"queue {after.name}, {field.name}", old, new)


def _compare_organisations(policy, in_force, used_gpus):
    before_by_name = {item.name: item for item in in_force.organisations}
    after_by_name = {item.name: item for item in policy.organisations}
    for name in sorted(before_by_name.keys() - after_by_name.keys()):
        message = f"organisation {name} is removed: its keys get status 401"
        yield Difference(severity=Severity.CALLERS_REFUSED, message=message)
    for name in sorted(after_by_name.keys() - before_by_name.keys()):
        message = f"organisation {name} is added"
        yield Difference(severity=Severity.ADDED, message=message)
    for name in sorted(after_by_name.keys() & before_by_name.keys()):
        yield from _compare_organisation(
            after_by_name[name], before_by_name[name], used_gpus.get(name, 0)
        )


def _compare_organisation(after, before, used_count):
    name = f"organisation {after.name}"
    removed = sorted(before.keys - after.keys)
    if removed:
        masked = ", ".join(_mask(key) for key in removed)
        message = f"{name}, keys removed: {masked} get status 401"
        yield Difference(severity=Severity.CALLERS_REFUSED, message=message)
    added_count = len(after.keys - before.keys)
    if added_count:
        message = f"{name}, keys added: {added_count}"
        yield Difference(severity=Severity.ADDED, message=message)
    yield from _compare_amount(
        f"{name}, guaranteed accelerators",
        before.guarantee_gpus,
        after.guarantee_gpus,
        used_count,
    )
    for field in attrs.fields(type(after.maximum)):
        used = used_count if field.name == "gpus_count" else 0
        yield from _compare_amount(
            f"{name}, maximum {field.name}",
            getattr(before.maximum, field.name) or float("inf"),
            getattr(after.maximum, field.name) or float("inf"),
            used,
        )
    if after.weight != before.weight:
        lowered = after.weight < before.weight
        severity = Severity.PROMISE_LOWERED if lowered else Severity.ADDED
        yield _changed(severity, f"{name}, weight", before.weight, after.weight)


def _compare_amount(what, before, after, used):
    if after == before:
        return
    severity = Severity.PROMISE_LOWERED if after < before else Severity.ADDED
    note = f" (in use: {used})" if after < used else ""
    yield _changed(severity, what, _show(before), f"{_show(after)}{note}")


def _show(amount):
    return "no limit" if amount == float("inf") else amount


def _mask(key):
    """Return a key shortened to what tells keys apart, since keys are secrets."""
    return f"key {key[:4]}..."
