"""The share of the fleet's retry budget that one router may use.

In any window, all routers together may send as many retries for a service as
`retry_ratio` times its requests plus `retry_slack`.  Each router uses
`retry_ratio` times its own requests and an equal part of the slack, so the
routers need not communicate.

Example::

    budget = RetryBudget(cfg, clock, get_router_count=lambda: 5)
    budget.record_request('desk')
    budget.take_retry('desk')     # True
"""

import collections

# A window is divided into this many slices and moves forward by whole slices.
WINDOW_SLICES = 10
# Share of the slack that is divided among the routers.  The rest covers
# restarted routers, which do not know what their predecessor has used.
SLACK_SHARE = 0.7


class _Window:
    """Requests and retries of one service in each slice of the window."""

    __slots__ = ('requests', 'retries', 'last_slice')

    def __init__(self):
        self.requests = collections.deque([0] * WINDOW_SLICES, WINDOW_SLICES)
        self.retries = collections.deque([0] * WINDOW_SLICES, WINDOW_SLICES)
        self.last_slice = 0


class RetryBudget:
    """Limits the retries of one router, for each service.

    `get_router_count` returns the number of routers, or 0 while unknown.
    """

    __slots__ = ('_cfg', '_clock', '_get_router_count', '_windows')

    def __init__(self, cfg, clock, get_router_count):
        self._cfg = cfg
        self._clock = clock
        self._get_router_count = get_router_count
        self._windows = collections.defaultdict(_Window)

    def record_request(self, service):
        """Count a caller's request for a service; retries are not counted."""
        self._current_window(service).requests[-1] += 1

    def take_retry(self, service):
        """Count a retry; return False if none is allowed now."""
        if not self.has_retry(service):
            return False
        self._current_window(service).retries[-1] += 1
        return True

    def has_retry(self, service):
        """Return whether a retry is allowed now."""
        window = self._current_window(service)
        router_count = self._get_router_count()
        slack = (
            SLACK_SHARE * self._cfg.retry_slack / router_count
            if router_count
            else 0
        )
        allowed = self._cfg.retry_ratio * sum(window.requests) + slack
        return sum(window.retries) + 1 <= allowed

    def _current_window(self, service):
        """Return a service's window, moved on to the current time."""
        window = self._windows[service]
        slice_ms = self._cfg.retry_window_ms / WINDOW_SLICES
        current = int(self._clock.now() / slice_ms)
        for _ in range(min(WINDOW_SLICES, current - window.last_slice)):
            window.requests.append(0)
            window.retries.append(0)
        window.last_slice = current
        return window
