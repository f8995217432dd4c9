"""Gauges of a data centre that its placer sends to statsd."""

from ...state.placer.scheduling import guarantee_shortfalls, quarantined_worker_ids


def send_gauges(metrics, scheduler, summary):
    """Send the gauges of a data centre to statsd.

    Parameters
    ----------
    metrics : statsd client
    scheduler : PlacerState
    summary : CapacitySummary
        Summary of the scheduler's current state; passed in, since computing it is
        costly.
    """
    shortfalls = guarantee_shortfalls(scheduler)
    values = {
        "accelerators.total": summary.total_accelerators_count,
        "accelerators.free": summary.free_accelerators_count,
        "accelerators.largest_free_gang": summary.largest_free_gang_accelerators_count,
        "jobs.waiting": summary.waiting_jobs_count,
        "gangs.running": len(scheduler.gangs),
        "gangs.reclaiming": len(scheduler.reclaiming),
        "workers.known": len(scheduler.workers),
        "workers.quarantined": len(quarantined_worker_ids(scheduler)),
        "guarantees.missing_gangs": sum(
            shortfall.gangs_count for shortfall in shortfalls
        ),
    }
    for name, value in values.items():
        metrics.gauge(f"{scheduler.data_centre}.{name}", value)
