"""The share of the fleet's retry budget that one router may use.

All routers together may send, in any window, `ratio` times the requests for a
service plus a fixed slack once more.  Each takes `ratio` times its own
requests and an equal part of the slack, which needs no messages.

Example::

    budget = RetryBudget(cfg, clock, routers=lambda: 5)
    budget.request('desk')
    budget.take('desk')     # True
"""

import collections

SLICES = 10
# The part of the slack that is divided; the rest covers routers that were
# replaced and know nothing of what their predecessor used.
SLACK_SHARE = 0.7


class _Window:
    """Counts of one service in slices of the window."""

    __slots__ = ('requests', 'repeats', 'slice')

    def __init__(self):
        self.requests = collections.deque([0] * SLICES, SLICES)
        self.repeats = collections.deque([0] * SLICES, SLICES)
        self.slice = 0


class RetryBudget:
    """What one router may send once more, by service."""

    __slots__ = ('_cfg', '_clock', '_routers', '_windows')

    def __init__(self, cfg, clock, routers):
        self._cfg = cfg
        self._clock = clock
        # Returns how many routers there are, 0 while that isn't known.
        self._routers = routers
        self._windows = collections.defaultdict(_Window)

    def record_request(self, service):
        """Count a caller's request for a service."""
        self._now(service).requests[-1] += 1

    def take(self, service):
        """Count a repeat, or return False where none is left."""
        window = self._now(service)
        routers = self._routers()
        slack = SLACK_SHARE * self._cfg.retry_slack / routers if routers else 0
        allowed = self._cfg.retry_ratio * sum(window.requests) + slack
        if sum(window.repeats) + 1 > allowed:
            return False
        window.repeats[-1] += 1
        return True

    def _now(self, service):
        window = self._windows[service]
        width = self._cfg.retry_window_ms / SLICES
        current = int(self._clock.now() / width)
        for _ in range(min(SLICES, current - window.slice)):
            window.requests.append(0)
            window.repeats.append(0)
        window.slice = current
        return window
