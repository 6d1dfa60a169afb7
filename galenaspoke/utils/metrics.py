"""Metrics of a process, sent to statsd.

Counters and gauges are also kept for the state dump.
"""

import collections

import statsd

PREFIX = 'galenaspoke'


class Metrics:
    """Counters, gauges and timings of one process.

    Example::

        metrics = Metrics(cfg.metrics, 'router-1')
        metrics.count('requests')
        metrics.counters['requests']    # 1
    """

    __slots__ = ('counters', '_client')

    def __init__(self, cfg, name):
        self.counters = collections.Counter()
        self._client = None
        if cfg.statsd:
            host, _, port = cfg.statsd.rpartition(':')
            self._client = statsd.StatsClient(
                host, int(port), prefix=f'{PREFIX}.{name}'
            )

    def count(self, name, amount=1):
        """Add `amount` to a counter."""
        self.counters[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name, value):
        """Set a value that can go up and down."""
        self.counters[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name, ms):
        """Record a duration in milliseconds."""
        if self._client:
            self._client.timing(name, ms)
