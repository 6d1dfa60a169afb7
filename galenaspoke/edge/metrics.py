"""Counters, gauges and histograms in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

BUCKETS_MS = (5, 10, 20, 50, 100, 200, 400, 800, 1600, 5000, 20_000)


class Metrics:
    """The metrics of one process.

    Example::

        metrics.count('requests')
        metrics.timing('first_byte.stream', 83)
    """

    __slots__ = ('_registry', '_events', '_gauges', '_durations')

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            'galenaspoke_events',
            'What happened, by name.',
            ['event'],
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            'galenaspoke_state',
            'What goes up and down, by name.',
            ['name'],
            registry=self._registry,
        )
        self._durations = prometheus_client.Histogram(
            'galenaspoke_duration_ms',
            'Durations in milliseconds, by name.',
            ['name'],
            buckets=BUCKETS_MS,
            registry=self._registry,
        )

    def count(self, name, amount=1):
        """Add `amount` to the counter called `name`."""
        self._events.labels(name).inc(amount)

    def timing(self, name, ms):
        """Record a duration in milliseconds under `name`."""
        self._durations.labels(name).observe(ms)

    def encode(self, gauges):
        """Return all metrics as bytes, with the gauges set to `gauges`."""
        for name, value in gauges.items():
            self._gauges.labels(name).set(value)
        return exposition.generate_latest(self._registry)
