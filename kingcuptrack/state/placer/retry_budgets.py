"""Retry budgets and retry delays."""

import attrs


@attrs.define(kw_only=True)
class RetryBudgets:
    """Token buckets by key; a key is ``("organisation" | "endpoint", name)``.

    A bucket holds its level and the time of the last change. It refills with time,
    so that a retry is possible after an outage, and with each success, so that
    retries stay a bounded fraction of useful work. ``limit_count`` is the level of a
    full bucket.
    """

    limit_count: float = 20.0
    refill_per_second: float = 0.5
    refill_per_success: float = 0.2
    buckets: dict[tuple[str, str], tuple[float, float]] = attrs.field(factory=dict)


def consume_retry(budgets, *, organisation, endpoints, now_seconds):
    """Take one token from each bucket of a retry, or none from any.

    Returns
    -------
    bool
        Whether the retry is within every budget.
    """
    keys = [("organisation", organisation)]
    keys += [("endpoint", endpoint) for endpoint in endpoints]
    levels = {key: _level(budgets, key, now_seconds) for key in keys}
    if any(level < 1.0 for level in levels.values()):
        return False
    for key, level in levels.items():
        budgets.buckets[key] = (level - 1.0, now_seconds)
    return True


def record_success(budgets, *, organisation, endpoints, now_seconds):
    """Refill the buckets of an organisation and the endpoints that served it."""
    keys = [("organisation", organisation)]
    keys += [("endpoint", endpoint) for endpoint in endpoints]
    for key in keys:
        if key not in budgets.buckets:
            continue
        level = _level(budgets, key, now_seconds) + budgets.refill_per_success
        if level >= budgets.limit_count:
            # An absent bucket is full, so that only keys with retries use memory.
            del budgets.buckets[key]
        else:
            budgets.buckets[key] = (level, now_seconds)


def forget_endpoint(budgets, endpoint):
    """Drop the bucket of an endpoint that no longer exists."""
    budgets.buckets.pop(("endpoint", endpoint), None)


def retry_delay_seconds(
    failures_count, random_source, *, base_seconds=0.1, limit_seconds=10.0
):
    """Return an exponential delay with jitter after ``failures_count`` failures.

    The delay lies between half and all of the exponential step. The jitter spreads
    retries of jobs that failed together; the minimum of half a step keeps them away
    from a worker that has just failed.
    """
    step_seconds = base_seconds * 2 ** min(failures_count - 1, 30)
    return min(limit_seconds, step_seconds) * random_source.uniform(0.5, 1.0)


def _level(budgets, key, now_seconds):
    level, since_seconds = budgets.buckets.get(key, (budgets.limit_count, now_seconds))
    elapsed_seconds = max(0.0, now_seconds - since_seconds)
    return min(budgets.limit_count, level + elapsed_seconds * budgets.refill_per_second)
