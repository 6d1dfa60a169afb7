"""Routers that all stop within a few seconds, while callers keep coming.

Guards against refused callers that retry at once, meet another router that is
stopping, and give up although they had most of their time left.
"""

import random
import statistics
import unittest

from galenaspoke.core import catalog
from galenaspoke.edge import admission
from galenaspoke.edge import main
from galenaspoke.edge import outcomes
from galenaspoke.edge import poison
from galenaspoke.http import messages
from galenaspoke.platform import headers
from tests.core import test_catalog

GRACE_MS = 8_000
TIMEOUT_MS = 12_000
# Streams keep a stopping router until about this long after SIGTERM, and its
# successor listens half a second later.
STOP_MS = 6_500
RESTART_MS = 500
# When a load balancer takes a stopping router out, after SIGTERM.
BALANCER_MS = 2_000
# Three routers of one failure domain, and six of others between them.
STOP_TIMES_MS = (0, 900, 1_800)
ARRIVAL_INTERVAL_MS = 10
# A second in which all of them refuse requests.
REFUSED_TOGETHER_MS = (5_000, 6_000)
# Callers honour a retry-after time up to this share of what they have left.
CALLER_WAIT_SHARE = 1 / 3


class ConfigView:
    """A configuration with one route, always in force."""

    catalog = catalog.Catalog(
        1,
        [test_catalog.make_route('/a/', timeout_ms=TIMEOUT_MS)],
        [],
        [],
        {},
        catalog.Limits(),
    )

    def has_config(self):
        """Return True."""
        return True


class StoppingRouter:
    """A router that gets SIGTERM at `stopped_at` and is replaced later."""

    def __init__(self, stopped_at):
        self.stopped_at = stopped_at
        self.ended_at = stopped_at + STOP_MS
        self.replaced_at = self.ended_at + RESTART_MS
        self._admission = admission.Admission(
            ConfigView(), poison.PoisonDetector(None), headers
        )
        self._admission.begin_shutdown(
            stopped_at + main.ACCEPT_ALL_MS,
            stopped_at + GRACE_MS - main.GRACE_MARGIN_MS,
        )

    def is_listening(self, now):
        """Return whether a caller can connect."""
        return not self.ended_at <= now < self.replaced_at

    def is_in_rotation(self, now):
        """Return whether a load balancer thinks that it is ready."""
        taken_out_at = self.stopped_at + BALANCER_MS
        return not taken_out_at <= now < self.replaced_at

    def admit(self, now, deadline):
        """Return the Refusal of a request, or None if it is accepted."""
        if not self.stopped_at <= now < self.ended_at:
            return None
        req = messages.Request()
        req.method, req.url = b'GET', b'/a/x'
        req.headers = [
            (b'host', b'desk'),
            (b'x-deadline-ms', b'%d' % (deadline - now)),
        ]
        req.arrived_at = now
        result = self._admission.admit(req)
        return result if isinstance(result, outcomes.Refusal) else None


class AllRoutersStopTest(unittest.TestCase):
    """What callers get from routers that stop 0.3 s apart."""

    def setUp(self):
        random.seed(7)
        self.addCleanup(random.seed)
        self.routers = [StoppingRouter(at) for at in STOP_TIMES_MS]

    def choose(self, now, avoid=None):
        """Return a router as a load balancer chooses it for one caller.

        Unless half of the routers are in rotation, all of them are used.
        """
        ready = [r for r in self.routers if r.is_in_rotation(now)]
        pool = ready if 2 * len(ready) >= len(self.routers) else self.routers
        return random.choice([r for r in pool if r is not avoid] or pool)

    def list_refused(self):
        """Return when, where and how each refused request was refused."""
        refused = []
        for now in range(0, STOP_TIMES_MS[-1] + STOP_MS, ARRIVAL_INTERVAL_MS):
            router = self.choose(now)
            if router.is_listening(now):
                refusal = router.admit(now, now + TIMEOUT_MS)
                if refusal is not None:
                    refused.append((now, router, refusal))
        return refused

    def is_served_on_retry(self, refused_at, router, refusal):
        """Return whether a caller's only retry is accepted."""
        wait_ms = min(refusal.retry_after_ms, CALLER_WAIT_SHARE * TIMEOUT_MS)
        now = refused_at + wait_ms
        other = self.choose(now, avoid=router)
        deadline = refused_at + TIMEOUT_MS
        return other.is_listening(now) and not other.admit(now, deadline)

    def test_many_are_served_on_their_only_retry(self):
        refused = self.list_refused()
        served = sum(self.is_served_on_retry(*each) for each in refused)
        self.assertGreater(len(refused), 100)
        self.assertGreater(served / len(refused), 0.4)

    # Guards against callers that all come back at one time and overload the
    # routers that are back first.
    def test_callers_refused_together_come_back_spread_out(self):
        refused = [
            refusal.retry_after_ms
            for refused_at, _, refusal in self.list_refused()
            if REFUSED_TOGETHER_MS[0] <= refused_at < REFUSED_TOGETHER_MS[1]
        ]
        waits = statistics.quantiles(refused, n=10)
        self.assertGreater(waits[-1] - waits[0], 0.2 * TIMEOUT_MS)

    def test_no_caller_is_told_to_wait_longer_than_it_would(self):
        for _, _, refusal in self.list_refused():
            self.assertIs(outcomes.Reason.LEAVING, refusal.reason)
            self.assertLessEqual(
                refusal.retry_after_ms, CALLER_WAIT_SHARE * TIMEOUT_MS
            )


if __name__ == '__main__':
    unittest.main()
