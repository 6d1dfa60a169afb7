"""What is known of targets that close streams without a length.

A second run of such a stream, asked to go on after its last event, shows
whether the first one was closed early.  Not every stream is checked so: the
first ones of a service, and a share of the later ones.  A target that has
closed a stream early is doubted for a while.

Example::

    history = CloseHistory(clock)
    if history.is_check_due('pool'):
        history.record_check('pool')
        ...                               # a second run has brought events
        history.record_early('pool', 'i-7f3a')
    history.closes_early('i-7f3a')        # True
"""

import collections

# How many streams of a service are checked one after another, and of how many
# one is checked from then on.
FIRST_CHECKS = 8
CHECK_INTERVAL = 32
# For how long a target is doubted that has closed a stream early.
DOUBT_MS = 600_000
# Of how many of its streams one after another the end has to be confirmed by
# other targets until it isn't doubted any more.
CONFIRMATIONS = 4
# Streams that a target closes within this time were ended together.
TOGETHER_MS = 50
# The services, and the targets, of which anything is kept.
MAX_SERVICES = 256
MAX_TARGETS = 1_024
# The latest closes that are kept of a target.
MAX_CLOSES = 64


class CloseHistory:
    """Checks by service, early closes and the times of closes by target."""

    __slots__ = ('_clock', '_unchecked', '_doubts', '_closes')

    def __init__(self, clock):
        self._clock = clock
        # By service: how many checks are left of the first ones, and how many
        # streams have passed since the latest check.
        self._unchecked = collections.OrderedDict()
        # By target id: until when it is doubted, and how many confirmations
        # are left until then.
        self._doubts = collections.OrderedDict()
        # By target id: when it closed its latest streams.
        self._closes = collections.OrderedDict()

    def is_check_due(self, service):
        """Count a stream that has ended; return whether to check it."""
        first, passed = self._unchecked.get(service, (FIRST_CHECKS, 0))
        passed += 1
        _put(self._unchecked, service, (first, passed), MAX_SERVICES)
        return first > 0 or passed >= CHECK_INTERVAL

    def record_check(self, service):
        """Record that a stream of a service is checked."""
        first, _ = self._unchecked.get(service, (FIRST_CHECKS, 0))
        _put(self._unchecked, service, (max(0, first - 1), 0), MAX_SERVICES)

    def record_early(self, service, target_id):
        """Record that a target has closed a stream before its end."""
        doubt = self._clock.now() + DOUBT_MS, CONFIRMATIONS
        _put(self._doubts, target_id, doubt, MAX_TARGETS)
        _put(self._unchecked, service, (FIRST_CHECKS, 0), MAX_SERVICES)

    def closes_early(self, target_id):
        """Return whether a target has closed a stream early lately."""
        until, _ = self._doubts.get(target_id, (0, 0))
        return self._clock.now() < until

    def record_confirmed(self, target_id):
        """Record that another target has confirmed the end of a stream."""
        if not self.closes_early(target_id):
            return
        until, left = self._doubts.pop(target_id)
        if left > 1:
            doubt = until, left - 1
            _put(self._doubts, target_id, doubt, MAX_TARGETS)

    def record_close(self, target_id, closed_at):
        """Record when a target closed a stream."""
        closes = self._closes.get(target_id)
        if closes is None:
            closes = collections.deque(maxlen=MAX_CLOSES)
        closes.append(closed_at)
        _put(self._closes, target_id, closes, MAX_TARGETS)

    def was_among_others(self, target_id, closed_at):
        """Return whether a target closed other streams at that time, too."""
        closes = self._closes.get(target_id, ())
        near = [at for at in closes if abs(at - closed_at) <= TOGETHER_MS]
        return len(near) > 1


def _put(entries, key, value, most):
    """Put an entry last; drop the first one if there are too many."""
    entries.pop(key, None)
    entries[key] = value
    if len(entries) > most:
        entries.popitem(last=False)
