"""The command that checks a configuration before it is sent."""

import json
import sys
from pathlib import Path

import anyio
import attrs

from ..coordination.ports import Row
from ..findings import has_errors
from ..outcomes import Done
from ..state.cluster.policy_check import (
    UNKNOWN_CAPACITY,
    ClusterCapacity,
    find_differences,
    find_problems,
    find_version_problem,
)
from .operators import CONFIG_ROW, PolicyError, parse_policy
from .program import make_environment

# Exit codes.
USABLE = 0
HAS_ERRORS = 1
UNREADABLE = 2
READ_TIMEOUT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Configuration in force and capacity, None and unknown without a store."""

    policy: object = None
    capacity: ClusterCapacity = UNKNOWN_CAPACITY


def run_config_check(config, *, in_force, store, is_json):
    """Check a configuration file, print the result and return the exit code.

    Parameters
    ----------
    config : Path
        File with the configuration as operators write it.
    in_force : str
        File with the configuration to compare with; empty for none.
    store : str
        host:port of the store, whose configuration and workers are used; may be empty.
    is_json : bool
        Whether to print one JSON object instead of text.

    Returns
    -------
    int
        `USABLE`, `HAS_ERRORS` or `UNREADABLE`.
    """
    try:
        policy = _read_policy(Path(config))
        deployment = _read_deployment(store)
        if in_force:
            policy_in_force = _read_policy(Path(in_force))
            deployment = attrs.evolve(deployment, policy=policy_in_force)
    except PolicyError as error:
        print(error, file=sys.stderr)
        return UNREADABLE
    findings = find_problems(policy, deployment.capacity, file=str(config))
    differences = []
    if deployment.policy is not None:
        version_problem = find_version_problem(policy, deployment.policy)
        findings += [version_problem] if version_problem else []
        differences = find_differences(policy, deployment.policy)
    print(_format(findings, differences, is_json=is_json))
    return HAS_ERRORS if has_errors(findings) else USABLE


def _read_policy(path):
    """Return the `ClusterPolicy` of a file; raises `PolicyError`."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise PolicyError(f"{path}: cannot be read: {error}") from error
    try:
        return parse_policy(Row(key=CONFIG_ROW, value=data, version=0))
    except PolicyError as error:
        raise PolicyError(f"{path}: {error}") from error


def _read_deployment(store):
    """Read the configuration and the workers from a store; raises `PolicyError`."""
    if not store:
        return Deployment()

    async def read():
        environment = make_environment(lambda: f"http://{store}")
        operators = await environment.operators.read(
            timeout_seconds=READ_TIMEOUT_SECONDS
        )
        workers = await environment.workers.list(timeout_seconds=READ_TIMEOUT_SECONDS)
        for outcome in (operators, workers):
            if not isinstance(outcome, Done):
                raise PolicyError(f"the store cannot be read: {outcome.message}")
        return operators.value.policy, workers.value

    policy, workers = anyio.run(read)
    capacity = ClusterCapacity(
        gpus_count=sum(worker.capacity.gpus_count for worker in workers),
        services=frozenset(worker.service for worker in workers),
    )
    return Deployment(policy=policy, capacity=capacity)


def _format(findings, differences, *, is_json):
    if is_json:
        return json.dumps(
            {
                "is_usable": not has_errors(findings),
                "findings": [
                    {
                        "place": str(finding.place),
                        "message": finding.message,
                        "is_warning": finding.is_warning,
                    }
                    for finding in findings
                ],
                "differences": [
                    {
                        "consequence": difference.severity.label,
                        "message": difference.message,
                    }
                    for difference in differences
                ],
            }
        )
    lines = [str(finding) for finding in findings] or ["no findings"]
    lines += [
        f"{difference.severity.label}: {difference.message}"
        for difference in differences
    ]
    return "\n".join(lines)
