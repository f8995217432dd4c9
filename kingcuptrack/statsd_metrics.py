"""Metrics sent to statsd over UDP."""

import statsd


class NullStatsdClient:
    """Discards all metrics; used when no statsd address is set."""

    def incr(self, stat, count=1, rate=1):
        """Discard a counter."""

    def gauge(self, stat, value, rate=1, delta=False):
        """Discard a gauge."""

    def timing(self, stat, delta, rate=1):
        """Discard a timing."""


def make_statsd_client(settings):
    """Return a statsd client, or a `NullStatsdClient` if ``statsd_ip`` is empty."""
    if not settings.statsd_ip:
        return NullStatsdClient()
    return statsd.StatsClient(
        settings.statsd_ip, settings.statsd_port, prefix="kingcuptrack"
    )
