"""Cuts between a process and the store, with other paths that work."""

import types
import unittest

from galenaspoke.http import connections
from galenaspoke.store import base as store_base
from galenaspoke.store import paths
from galenaspoke.store import relays
from tests.edge import base
from tests import fakes


class FakePath(paths.StorePath):
    """A path that does what a test says."""

    __slots__ = ('does', 'calls')

    def __init__(self, address, does):
        super().__init__(address, '')
        self.does = does
        self.calls = 0

    def call(self, *_):
        """Raise or answer."""
        self.calls += 1
        if isinstance(self.does, Exception):
            raise self.does
        return types.SimpleNamespace(status=self.does, body=b'')


class PathsTest(unittest.TestCase):
    """Calls over a direct path and two relays."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.paths = paths.StorePaths(
            's:1', '/cheap', self.clock, base.Recorder()
        )
        self.direct_path = self.paths._direct = FakePath('s:1', 200)
        self.paths.set_relays(['r:1', 'r:2'])
        self.first = self.paths._relays['r:1'] = FakePath('r:1', 200)
        self.second = self.paths._relays['r:2'] = FakePath('r:2', 200)

    def call(self, method='GET'):
        """Make a call; return its status."""
        return self.paths.call(method, '/x', b'', 1).status

    def test_direct_while_it_works(self):
        self.call()
        self.assertEqual(0, self.first.calls)

    def test_unreachable_store_is_called_through_a_relay(self):
        self.direct_path.does = connections.NotSent('no route')
        self.assertEqual(200, self.call('PUT'))
        self.assertEqual(200, self.call('PUT'))
        self.assertEqual((1, 2), (self.direct_path.calls, self.first.calls))

    def test_read_without_an_answer_is_made_again(self):
        self.direct_path.does = connections.ResponseLost('silent')
        self.assertEqual(200, self.call('GET'))

    def test_watch_that_was_cut_is_for_its_caller_to_know(self):
        self.direct_path.does = connections.ResponseLost('reset')
        with self.assertRaises(store_base.OutcomeUnknown):
            self.paths.call('GET', '/x', b'', 1, retry=False)
        self.assertEqual(0, self.first.calls)

    def test_write_without_an_answer_is_not(self):
        self.direct_path.does = connections.ResponseLost('silent')
        with self.assertRaises(store_base.OutcomeUnknown):
            self.call('PUT')
        self.assertEqual(0, self.first.calls)

    def test_write_that_a_relay_lost(self):
        self.direct_path.does = connections.NotSent('no route')
        self.first.does = paths.OUTCOME_UNKNOWN_STATUS
        with self.assertRaises(store_base.OutcomeUnknown):
            self.call('PUT')
        self.assertEqual(0, self.second.calls)

    def test_store_that_turns_this_process_away(self):
        self.direct_path.does = 503
        self.assertEqual(200, self.call('PUT'))

    def test_store_that_turns_all_away(self):
        for way in (self.direct_path, self.first, self.second):
            way.does = 503
        self.assertEqual(503, self.call('PUT'))
        # It isn't asked over every path each time.
        before = self.second.calls
        self.call('PUT')
        self.assertLessEqual(self.second.calls, before)

    def test_nothing_works(self):
        for way in (self.direct_path, self.first, self.second):
            way.does = connections.NotSent('no route')
        with self.assertRaises(store_base.StoreUnavailable):
            self.call('PUT')


class RelayTest(unittest.TestCase):
    """A relay says honestly what became of a call."""

    def status(self, does):
        """Return what a relay answers."""
        direct = types.SimpleNamespace(call_direct=FakePath('s:1', does).call)
        seen = []
        environ = {
            'PATH_INFO': '/store/objects/ledger/0000',
            'QUERY_STRING': '',
            'REQUEST_METHOD': 'PUT',
            'wsgi.input': types.SimpleNamespace(read=lambda: b'{}'),
        }
        paths.make_relay_app(direct)(
            environ, lambda status, _: seen.append(status)
        )
        return seen[0].split()[0]

    def test_answers(self):
        self.assertEqual('409', self.status(409))
        self.assertEqual('503', self.status(connections.NotSent('')))
        self.assertEqual('504', self.status(connections.ResponseLost('')))


class RelayListTest(unittest.TestCase):
    """The list of relays in the store."""

    def test_enter_twice_writes_once(self):
        store = fakes.FakeStore()
        own = relays.Relay('side-a-1', '10.0.0.1:7340', 'a', True)
        relays.register(store, own)
        relays.register(store, own)
        self.assertEqual(1, store.writes)
        self.assertIn(relays.slot_key('side-a-1'), store.objects)

    def test_apart_and_near_first(self):
        found = [
            relays.Relay('f', 'front', 'a', False),
            relays.Relay('far', 'far', 'b', True),
            relays.Relay('near', 'near', 'a', True),
            relays.Relay('own', 'own', 'a', True),
        ]
        self.assertEqual(
            ['near', 'far', 'front'],
            relays.order_by_preference(found, 'a', 'own'),
        )
