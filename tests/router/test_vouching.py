"""What a router remembers of what it sent."""

import unittest

from galenaspoke.core import clock
from galenaspoke.router import vouching
from galenaspoke.rpc import messages


def handed(key):
    """Return the record of a key."""
    return messages.Handed(key, 'digest', key, 1, 'a.1', False)


class SentKeysTest(unittest.TestCase):
    """Adding, taking back, expiring."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.sent = vouching.SentKeys(self.clock)

    def test_only_the_first_time_is_news(self):
        self.assertTrue(self.sent.add('a.1', handed('k')))
        self.assertFalse(self.sent.add('a.1', handed('k')))
        self.assertEqual(
            ['k'], [one.key for one in self.sent.records_for('a.1')]
        )

    def test_taken_back(self):
        """A key refused by a new incarnation was never at the old one.

        Found in DurableClaimsTest: it was handed over as if it had been, and
        refused may_have_run for good.
        """
        self.sent.add('a.1', handed('k'))
        self.sent.remove('a.1', 'k')
        self.sent.remove('b.1', 'k')
        self.assertEqual([], self.sent.records_for('a.1'))

    def test_expires(self):
        self.sent.add('a.1', handed('old'))
        self.clock.advance(1001)
        self.sent.add('a.1', handed('new'))
        self.sent.expire(1000)
        self.assertEqual(
            ['new'], [one.key for one in self.sent.records_for('a.1')]
        )
        self.assertEqual(1, len(self.sent))
