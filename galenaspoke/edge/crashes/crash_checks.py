"""Checks whether a target that cut off a request has gone down.

Otherwise a router learns of a crash only when it sends the target another
request, or when the target's entry disappears, seconds later.

Example::

    checker = CrashChecker(clock, on_down)
    checker.check(target)     # calls on_down(target) if it is down
"""

import gevent

from galenaspoke.http import connections

# A target is checked at most this often.
MIN_INTERVAL_MS = 500
# How long a request waits for the check of the target that cut it off.
WAIT_TIMEOUT_S = 0.05


class CrashChecker:
    """Connects to targets in the background.

    `on_down` is called with a target at whose address nothing listens.  A
    connection that is made is kept for the next request.
    """

    __slots__ = ('_clock', '_on_down', '_checks')

    def __init__(self, clock, on_down):
        self._clock = clock
        self._on_down = on_down
        # Target's identity to the time of its last check and the check's task.
        self._checks = {}

    def check(self, target):
        """Check a target, unless that was done a moment ago.

        Returns once the result is known, or after WAIT_TIMEOUT_S.
        """
        now = self._clock.now()
        self._checks = {
            identity: (at, task)
            for identity, (at, task) in self._checks.items()
            if now - at < MIN_INTERVAL_MS
        }
        identity = target.entry.identity()
        if identity not in self._checks:
            self._checks[identity] = (now, gevent.spawn(self._connect, target))
        _, task = self._checks[identity]
        task.join(WAIT_TIMEOUT_S)

    def _connect(self, target):
        try:
            conn = target.connect()
        except connections.Refused:
            self._on_down(target)
        except connections.NotSent:
            # Not reached, which says nothing about the target.
            pass
        else:
            target.release_connection(conn, self._clock.now(), None)
