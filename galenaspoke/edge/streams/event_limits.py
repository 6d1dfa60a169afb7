"""A bound on the events of one run of a stream.

Each event of a model engine holds at least one token, so a target that sends
more events than its request allows tokens is faulty; a request that states
none allows as many as the memory of a target holds.  So is one that sends ever
more events without data, such as comments.

Example::

    limits = EventLimits(max_events=60)
    limits.exceeded_by(events)    # '', or why the stream can't be sound
"""

import math

# Events beside those that hold tokens, such as one that ends the stream.
MAX_OTHER_EVENTS = 16
# Events without data in a row.  A target may send them to show that it lives.
MAX_EMPTY_EVENTS = 256


class EventLimits:
    """Counts the events of one run.

    `max_events` is how many with tokens the request allows, 0 for any number.
    """

    __slots__ = ('_left', '_unnumbered_left', '_empty_count')

    def __init__(self, max_events):
        # How many more events with an id may come, and how many with data and
        # without one, which may be pings.
        self._left = max_events + MAX_OTHER_EVENTS
        self._unnumbered_left = max_events + MAX_EMPTY_EVENTS
        if not max_events:
            self._left = self._unnumbered_left = math.inf
        # The events without data since the last one with data.
        self._empty_count = 0

    def exceeded_by(self, events):
        """Count events; return why they are too many, '' if they aren't."""
        for event in events:
            self._count(event)
        if min(self._left, self._unnumbered_left) < 0:
            return 'more events than the request allows tokens'
        if self._empty_count > MAX_EMPTY_EVENTS:
            return 'too many events without data'
        return ''

    def _count(self, event):
        if event.id:
            self._left -= 1
        elif event.has_data():
            self._unnumbered_left -= 1
        else:
            self._empty_count += 1
            return
        self._empty_count = 0
