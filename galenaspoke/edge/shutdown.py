"""Which requests a router takes while it shuts down, and when others retry.

Example::

    shutdown_ = shutdown.Shutdown(accept_until=2_800, finish_by=7_300)
    shutdown_.may_outlast(arrived_at=3_000, deadline=15_000)      # True
    shutdown_.choose_retry_after_ms(now=3_000, deadline=15_000)   # 150 to
                                                                  # 3_840
"""

from galenaspoke.edge import outcomes

MIN_WAIT_MS = 150
# A caller waits at most this share of its remaining time before it retries.
MAX_WAIT_SHARE = 0.32


class Shutdown:
    """The times of one router's shutdown, in ms of the clock.

    Every request that arrives by `accept_until` is accepted, and later ones
    only if their deadline is no later than `finish_by`, the time at which
    requests that are still open are abandoned.
    """

    __slots__ = ('_accept_until', '_finish_by')

    def __init__(self, accept_until, finish_by):
        self._accept_until = accept_until
        self._finish_by = finish_by

    def may_outlast(self, arrived_at, deadline):
        """Return whether a request may still run after the process's end."""
        return arrived_at > self._accept_until and deadline > self._finish_by

    def choose_retry_after_ms(self, now, deadline):
        """Return when the caller of a refused request should retry, in ms.

        Load balancers have taken this router out by `accept_until`, so a
        request that still gets here shows that most routers near the caller
        are stopping too.  Retries at once would meet one of these, and if all
        came at one time later they would overload the first that is back, so
        they are spread out over all the time that the caller would wait.
        """
        latest_ms = max(MIN_WAIT_MS, MAX_WAIT_SHARE * (deadline - now))
        return outcomes.random_delay_ms((MIN_WAIT_MS, latest_ms))
