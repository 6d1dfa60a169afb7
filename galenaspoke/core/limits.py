"""Limits for client accounts, and the budget for retries.

Both are hints for fairness, kept per process; neither guards money.
"""


class TokenBucket:
    """Lets through `rate_per_s` events a second, `burst` at once.

    Example::

        bucket = TokenBucket(rate_per_s=10, burst=2, now=0)
        bucket.take(now=0), bucket.take(now=0), bucket.take(now=0)
        # (True, True, False)
        bucket.wait_ms()    # 100
    """

    __slots__ = ('_rate_per_s', '_burst', '_level', '_at')

    def __init__(self, rate_per_s, burst, now):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = float(burst)
        self._at = now

    def take(self, now):
        """Take one event; return False when it must wait."""
        gained = (now - self._at) * self._rate_per_s / 1000
        self._level = min(self._burst, self._level + gained)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_ms(self):
        """Return the milliseconds until the next event can be taken."""
        missing = max(0.0, 1 - self._level)
        return int(missing * 1000 / self._rate_per_s) + 1


class AccountLimit:
    """One account's rate and open requests under one policy."""

    __slots__ = ('policy', 'open', '_bucket')

    def __init__(self, policy, now):
        self.policy = policy
        self.open = 0
        self._bucket = TokenBucket(policy.rate_per_s, policy.burst, now)

    def admit(self, now):
        """Admit a request; return 0, or the milliseconds to wait."""
        if self.open >= self.policy.concurrency:
            return 100
        if not self._bucket.take(now):
            return self._bucket.wait_ms()
        self.open += 1
        return 0

    def release(self):
        """Note that a request admitted by `admit` has ended."""
        self.open -= 1


class RetryBudget:
    """Allows retries as a share of the requests, so faults don't multiply.

    Each request earns `percent` hundredths of a retry, and at most `most`
    retries are saved up.
    """

    __slots__ = ('_percent', '_most', '_saved')

    def __init__(self, percent, most=10):
        self._percent = percent
        self._most = most
        self._saved = most * 100

    def record_request(self):
        """Count one first try."""
        self._saved = min(self._most * 100, self._saved + self._percent)

    def take_retry(self):
        """Take one retry; return False when none is left."""
        if self._saved < 100:
            return False
        self._saved -= 100
        return True


def queue_limit(queue, priority):
    """Return how much of a target's queue a priority may fill.

    Priority 0, the most urgent, may fill all of it, 9 a little over half, so
    that under overload the least urgent requests are shed first.
    """
    return max(1, queue * (20 - priority) // 20)
