"""The checker of whole runs, from event logs made up here."""

import json
import unittest

from bench import checker

BUDGET = 'voucher-desk'


class FakeCluster:
    """The engines' events and the settled tokens of one budget."""

    def __init__(self, events, settled):
        self._events = events
        self._settled = settled

    def read_logs(self, kind):
        return self._events if kind == 'model' else []

    def run_ctl(self, *args):
        row = {
            'budget': BUDGET,
            'settled': self._settled,
            'in_doubt': 0,
            'granted': 0,
            'doubts': [],
        }
        return 0, json.dumps([row])


def make_stop(made, whole, cancelled=False):
    """Return the `stop` event of a run."""
    return {
        'what': 'stop',
        'key': 'desk/k',
        'budget': BUDGET,
        'tokens': made,
        'made': made,
        'whole': whole,
        'cancelled': cancelled,
    }


class CancelledRunTest(unittest.TestCase):
    """A run that was cancelled, beside one that ended by itself."""

    def check(self, events, settled, limit=100):
        """Return the Findings of a run with these events."""
        cluster = FakeCluster(events, settled)
        return checker.check(cluster, {BUDGET: limit}, [], {})

    def test_billed_beyond_the_whole_run(self):
        """The tokens of a cancelled run hide nothing that is billed twice.

        It counted as whole, so its 30 tokens could be billed on top of, or in
        place of, the 20 of the response that the caller got.
        """
        events = [make_stop(30, False, cancelled=True), make_stop(20, True)]
        self.assertEqual(0, self.check(events, settled=20).billed_twice)
        self.assertEqual(10, self.check(events, settled=30).billed_twice)

    def test_overspend(self):
        """A cancelled run still counts against the limit."""
        events = [make_stop(30, False, cancelled=True)]
        self.assertEqual(10, self.check(events, 0, limit=20).overspend)
        events = [make_stop(30, False)]
        self.assertEqual(0, self.check(events, 0, limit=20).overspend)
