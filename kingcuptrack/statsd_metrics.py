"""Metrics sent to statsd over UDP."""

import statsd


class NullStatsdClient:
    """Metrics sink used when no statsd address is set."""

    def incr(self, stat, count=1, rate=1):
        """Ignore a counter."""

    def gauge(self, stat, value, rate=1, delta=False):
        """Ignore a gauge."""

    def timing(self, stat, delta, rate=1):
        """Ignore a timer."""


def make_statsd_client(settings):
    """Return a statsd client for the settings, or a sink that ignores all."""
    if not settings.statsd_ip:
        return NullStatsdClient()
    return statsd.StatsClient(
        settings.statsd_ip, settings.statsd_port, prefix="kingcuptrack"
    )
