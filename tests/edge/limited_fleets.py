"""Routers before engines that name a rate limit, all in this process.

Example::

    engine = LimitedEngine(clock, limit_per_s=2.0)
    fleet = LimitedFleet(clock, 5, {'a': engine, 'b': LimitedEngine(clock)})
    fleet.send_for(10_000, per_s=30)
    engine.most_in_window()     # how many requests came in some 4 s
"""

import collections
import random

from tests.edge import base
from tests.edge import handlers
from tests import fakes

# The users' rule: from STABLE_MS after a target first named its limit it gets,
# in any WINDOW_MS, no more than ALLOWED_SHARE of what the limit allows and
# ALLOWED_EXTRA requests, from routers that it told TOLD_MS ago or earlier.
STABLE_MS = 3_000
WINDOW_MS = 4_000
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
TOLD_MS = 500
PROMPT = (
    (b'x-token-usage', b'1100,60'),
    (b'x-prompt-prefix', b'%x:1000,0f:100'),
)


def allowed_in_window(limit_per_s):
    """Return how many requests the users' rule allows in a window."""
    allowed = ALLOWED_SHARE * limit_per_s * WINDOW_MS / 1000
    return allowed + ALLOWED_EXTRA


class LimitedEngine:
    """An engine that serves everything and names a limit, or none.

    `limit_per_s` can be changed; `turns_away` makes it refuse all requests.
    """

    def __init__(self, clock, limit_per_s=None):
        self.clock = clock
        self.limit_per_s = limit_per_s
        self.turns_away = False
        self.named_at = None
        # Pairs of the time of a request and the router that sent it.
        self.arrivals = []
        # Router to the time at which it was first told the limit.
        self.told_at = {}

    def forget_router(self, name):
        """Excuse a router that was restarted, until it is told again."""
        self.told_at.pop(name, None)

    def make_responder(self, name):
        """Return the function that answers the requests of one router."""

        def respond(remote, _):
            now = self.clock.now()
            self.arrivals.append((now, name))
            extra = b''
            if self.limit_per_s is not None:
                extra = b'Server-Limit: %g\r\n' % self.limit_per_s
                self.told_at.setdefault(name, now)
                if self.named_at is None:
                    self.named_at = now
            remote.sendall(
                handlers.encode_busy(extra)
                if self.turns_away
                else handlers.encode_response(extra=extra)
            )

        return respond

    def count_since(self, at):
        """Return how many requests came at a time or later."""
        return sum(arrived_at >= at for arrived_at, _ in self.arrivals)

    def most_in_window(self, since=None):
        """Return the most requests of any window that the rule counts."""
        if self.named_at is None:
            return 0
        begin = max(since or 0, self.named_at + STABLE_MS)
        counted = [
            at
            for at, name in self.arrivals
            if at >= begin and at - self.told_at.get(name, at) >= TOLD_MS
        ]
        return max(
            (
                sum(first <= at < first + WINDOW_MS for at in counted)
                for first in counted
            ),
            default=0,
        )


class LimitedFleet:
    """Routers with a list of each other in one store."""

    def __init__(self, clock, count, engines, seed=1):
        self.clock = clock
        self.engines = engines
        self.store = fakes.FakeStore()
        self.random = random.Random(seed)
        self.members = {}
        self.desks = {}
        self.statuses = collections.Counter()
        self.callers = []
        for number in range(count):
            self.start(f'front-{number}')
        self.read_lists()

    def start(self, name):
        """Start a router, or restart it: it has forgotten everything."""
        if name in self.desks:
            self.desks[name].close()
        for engine in self.engines.values():
            engine.forget_router(name)
        cfg = base.make_edge_settings(name)
        self.members[name] = base.make_members(cfg, self.store, self.clock)
        self.desks[name] = handlers.Desk(
            {
                target: engine.make_responder(name)
                for target, engine in self.engines.items()
            },
            timeout_ms=60_000,
            clock=self.clock,
            routers=self.members[name].routers,
        )
        self.read_list(name)

    def read_list(self, name):
        """Let a router register and read the list, unless it can't."""
        if not self.store.down:
            self.members[name].refresh()

    def read_lists(self):
        """Let all routers read the list of routers."""
        for name in self.members:
            self.read_list(name)

    def send_for(self, duration_ms, per_s, weights=None):
        """Send requests at a steady rate to routers drawn by weight."""
        names = list(self.desks)
        for _ in range(duration_ms * per_s // 1000):
            self.clock.advance(1000 // per_s)
            (name,) = self.random.choices(names, weights)
            self.send(name)

    def send(self, name):
        """Send one request with a random prompt; return its Caller."""
        usage, (header, value) = PROMPT
        prompt = (usage, (header, value % self.random.randrange(1 << 30)))
        caller = self.desks[name].request(pairs=prompt)
        self.statuses[caller.status] += 1
        self.callers.append(caller)
        return caller

    def close(self):
        """End the engines."""
        for desk in self.desks.values():
            desk.close()
