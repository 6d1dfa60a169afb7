"""Tests for the record that a router keeps of the keys that it sent."""

import unittest

from galenaspoke.core import clock
from galenaspoke.router import vouching
from galenaspoke.rpc import messages


def make_record(key):
    """Return the record of a request with a key."""
    return messages.Handed(key, 'digest', key, 1, 'a.1', False)


class SentKeysTest(unittest.TestCase):
    """Adding, removing and expiring of sent keys."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.sent_keys = vouching.SentKeys(self.clock)

    def test_add_returns_whether_the_key_is_new(self):
        self.assertTrue(self.sent_keys.add('a.1', make_record('k')))
        self.assertFalse(self.sent_keys.add('a.1', make_record('k')))
        self.assertEqual(
            ['k'], [record.key for record in self.sent_keys.records_for('a.1')]
        )

    def test_remove(self):
        """A key that a new incarnation has refused is removed again.

        Found in DurableClaimsTest: the key, which had never reached the old
        incarnation, was handed over as if it had, and the request was refused
        with may_have_run from then on.
        """
        self.sent_keys.add('a.1', make_record('k'))
        self.sent_keys.remove('a.1', 'k')
        self.sent_keys.remove('b.1', 'k')
        self.assertEqual([], self.sent_keys.records_for('a.1'))

    def test_expire(self):
        self.sent_keys.add('a.1', make_record('old'))
        self.clock.advance(1001)
        self.sent_keys.add('a.1', make_record('new'))
        self.sent_keys.expire(1000)
        self.assertEqual(
            ['new'],
            [record.key for record in self.sent_keys.records_for('a.1')],
        )
        self.assertEqual(1, len(self.sent_keys))
