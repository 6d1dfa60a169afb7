"""How far apart the ids of successive events are, by service.

Event ids increase, by one or by the tokens of an event, for example.  What the
streams of a service have shown tells whether events are missing where another
target goes on with a stream that has shown too little itself.

Example::

    steps = EventSteps()
    steps.record('pool', order)    # an EventOrder, after a whole run
    steps.find_largest('pool')     # 1; 0 if there were too few events
"""

import collections

# Fewer steps don't show the largest one.
MIN_STEPS = 256
# The services whose steps are kept, the most recently recorded ones.
MAX_SERVICES = 256


class EventSteps:
    """The largest step, and the number of steps, of each service."""

    __slots__ = ('_steps',)

    def __init__(self):
        # Pairs by the service's name.
        self._steps = collections.OrderedDict()

    def record(self, service, order):
        """Record the steps of a whole run."""
        if not order.run_step_count:
            return
        largest, count = self._steps.pop(service, (0, 0))
        self._steps[service] = (
            max(largest, order.run_step),
            count + order.run_step_count,
        )
        if len(self._steps) > MAX_SERVICES:
            self._steps.popitem(last=False)

    def find_largest(self, service):
        """Return the largest step, 0 if that isn't known."""
        largest, count = self._steps.get(service, (0, 0))
        return largest if count >= MIN_STEPS else 0
