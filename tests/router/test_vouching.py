"""Tests for the record that a router keeps of the keys that it sent."""

import types
import unittest

import gevent
import msgspec

from galenaspoke.core import clock
from galenaspoke.core import registry
from galenaspoke.router import vouching
from galenaspoke.rpc import messages
from galenaspoke.store import client as store_client
from tests import fakes


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


class LastAgentLostTest(unittest.TestCase):
    """The only agent of a service is lost."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.sent_keys = vouching.SentKeys(clock.ManualClock())
        self.reg = registry.Registry('pool', 1)
        self.reg.entries.append(
            registry.AgentEntry(
                'pool', 'a', '1', 'x', 'd', registry.Phase.ACTIVE
            )
        )
        registry.declare_lost(self.reg, 'a', '1')
        self.key = registry.registry_key('pool')
        self.store.put(self.key, 0, msgspec.json.encode(self.reg))
        self.put_holder('r1.a')
        # Another router, which keeps the agent from being forgotten.
        self.put_holder('r2.a')
        self.vouching = vouching.Vouching(
            self.sent_keys,
            self.store,
            types.SimpleNamespace(registries={'pool': self.reg}),
            types.SimpleNamespace(get_holder_names=lambda: ['r1.a']),
        )

    def put_holder(self, name):
        """Store the record of a holder."""
        record = registry.HolderRecord(name)
        self.store.put(
            registry.holder_key(name), 0, msgspec.json.encode(record)
        )

    def read_vouched(self):
        """Return the holders that have vouched for the lost agent."""
        reg = store_client.decode(self.store.get(self.key), registry.Registry)
        return reg.find('a', '1').vouched

    def test_router_that_sent_keys_does_not_vouch(self):
        """A router vouches only once some agent has the keys that it sent.

        It vouched while none served.  The agent was then forgotten, and a key
        that had run there ran again at the next agent that joined.
        """
        self.sent_keys.add('a.1', make_record('k'))
        self.vouching.on_registry_change(self.reg)
        gevent.idle()
        self.assertEqual([], self.read_vouched())
        self.assertFalse(self.vouching.is_idle())

    def test_router_that_sent_nothing_vouches(self):
        self.vouching.on_registry_change(self.reg)
        gevent.idle()
        self.assertEqual(['r1.a'], self.read_vouched())
        self.assertTrue(self.vouching.is_idle())

    def test_unreadable_holder_record(self):
        """Vouching ends although a holder's record can't be decoded.

        The greenlet ended at the error, after the router had vouched, and
        vouching counted as going on for good: no holder that the router
        replaced was closed any more.
        """
        self.store.put(registry.holder_key('r9.a'), 0, b'{"births": "a text"}')
        self.vouching.on_registry_change(self.reg)
        gevent.idle()
        self.assertEqual(['r1.a'], self.read_vouched())
        self.assertTrue(self.vouching.is_idle())
