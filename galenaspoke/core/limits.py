"""Rate and concurrency limits for client accounts, and the retry budget.

The limits are kept per process and only provide fairness.  Prepaid tokens are
protected by the ledger alone.
"""


class TokenBucket:
    """A token bucket that admits `rate_per_s` events a second.

    Up to `burst` events are admitted at once.  It starts with `level` tokens,
    full if that is None.

    Example::

        bucket = TokenBucket(rate_per_s=10, burst=2, now=0)
        bucket.take(now=0), bucket.take(now=0), bucket.take(now=0)
        # (True, True, False)
        bucket.wait_ms()    # 100
    """

    __slots__ = ('_rate_per_s', '_burst', '_level', '_updated_at')

    def __init__(self, rate_per_s, burst, now, level=None):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = float(burst if level is None else level)
        self._updated_at = now

    def has_token(self, now):
        """Return whether an event would be admitted."""
        gained = (now - self._updated_at) * self._rate_per_s / 1000
        self._level = min(self._burst, self._level + gained)
        self._updated_at = now
        return self._level >= 1

    def take(self, now):
        """Admit one event; return False if it has to wait."""
        if not self.has_token(now):
            return False
        self._level -= 1
        return True

    def change(self, rate_per_s, burst, now):
        """Change the rate and the burst from now on."""
        self.has_token(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_ms(self):
        """Return the milliseconds until the next event can be admitted."""
        missing = max(0.0, 1 - self._level)
        return int(missing * 1000 / self._rate_per_s) + 1


class AccountLimit:
    """The request rate and open requests of one account under a policy."""

    __slots__ = ('policy', 'open', '_bucket')

    def __init__(self, policy, now):
        self.policy = policy
        self.open = 0
        self._bucket = TokenBucket(policy.rate_per_s, policy.burst, now)

    def admit(self, now):
        """Admit a request and return 0, or return the milliseconds to wait.

        The wait is 100 ms if the concurrency limit is reached.
        """
        if self.open >= self.policy.concurrency:
            return 100
        if not self._bucket.take(now):
            return self._bucket.wait_ms()
        self.open += 1
        return 0

    def release(self):
        """Record that a request admitted by `admit` has ended."""
        self.open -= 1


class RetryBudget:
    """Limits retries to a share of the requests.

    This prevents retries from multiplying the load during a fault.  Each
    request earns `percent` hundredths of a retry, and at most `max_saved`
    retries are saved up.
    """

    __slots__ = ('_percent', '_max_saved', '_saved_hundredths')

    def __init__(self, percent, max_saved=10):
        self._percent = percent
        self._max_saved = max_saved
        self._saved_hundredths = max_saved * 100

    def record_request(self):
        """Count a request's first attempt."""
        self._saved_hundredths = min(
            self._max_saved * 100, self._saved_hundredths + self._percent
        )

    def take_retry(self):
        """Take one retry; return False if none is left."""
        if self._saved_hundredths < 100:
            return False
        self._saved_hundredths -= 100
        return True


def queue_limit(queue_size, priority):
    """Return the load at which a target refuses requests of a priority.

    The load is the number of requests that run or wait at the target.
    Priority 0, the most urgent, is accepted up to `queue_size`, and priority
    9 up to a little over half of it.  Under overload the least urgent
    requests are therefore shed first.
    """
    return max(1, queue_size * (20 - priority) // 20)
