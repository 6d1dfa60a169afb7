"""Network partitions between a process and the store.

Calls must go over relays, but a write whose outcome is unknown must never be
sent a second time.
"""

import types
import unittest

from galenaspoke.http import connections
from galenaspoke.store import base as store_base
from galenaspoke.store import paths
from galenaspoke.store import relays
from tests.edge import base
from tests import fakes


class FakePath(paths.StorePath):
    """A path whose calls return a status or raise an exception."""

    __slots__ = ('result', 'calls')

    def __init__(self, address, result):
        super().__init__(address, '')
        self.result = result
        self.calls = 0

    def call(self, *_):
        """Return a response with the status, or raise the exception."""
        self.calls += 1
        if isinstance(self.result, Exception):
            raise self.result
        return types.SimpleNamespace(status=self.result, body=b'', headers=[])


class PathsTest(unittest.TestCase):
    """Calls with a direct path and two relays."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.paths = paths.StorePaths(
            's:1', '/cheap', self.clock, base.Recorder()
        )
        self.direct_path = self.paths._direct = FakePath('s:1', 200)
        self.paths.set_relays(['r:1', 'r:2'])
        self.first_relay = self.paths._relays['r:1'] = FakePath('r:1', 200)
        self.second_relay = self.paths._relays['r:2'] = FakePath('r:2', 200)

    def call(self, method='GET'):
        """Make a call; return its status."""
        return self.paths.call(method, '/x', b'', 1).status

    def test_direct_path_is_preferred(self):
        self.call()
        self.assertEqual(0, self.first_relay.calls)

    def test_unreachable_store_is_called_through_a_relay(self):
        self.direct_path.result = connections.NotSent('no route')
        self.assertEqual(200, self.call('PUT'))
        self.assertEqual(200, self.call('PUT'))
        self.assertEqual(
            (1, 2), (self.direct_path.calls, self.first_relay.calls)
        )

    def test_read_without_a_response_is_retried(self):
        self.direct_path.result = connections.ResponseLost('silent')
        self.assertEqual(200, self.call('GET'))

    def test_failed_watch_is_reported_to_its_caller(self):
        self.direct_path.result = connections.ResponseLost('reset')
        with self.assertRaises(store_base.OutcomeUnknown):
            self.paths.call('GET', '/x', b'', 1, retry=False)
        self.assertEqual(0, self.first_relay.calls)

    def test_write_without_a_response_is_not_retried(self):
        self.direct_path.result = connections.ResponseLost('silent')
        with self.assertRaises(store_base.OutcomeUnknown):
            self.call('PUT')
        self.assertEqual(0, self.first_relay.calls)

    def test_write_whose_response_a_relay_lost(self):
        self.direct_path.result = connections.NotSent('no route')
        self.first_relay.result = paths.OUTCOME_UNKNOWN_STATUS
        with self.assertRaises(store_base.OutcomeUnknown):
            self.call('PUT')
        self.assertEqual(0, self.second_relay.calls)

    def test_store_that_refuses_this_process(self):
        self.direct_path.result = 503
        self.assertEqual(200, self.call('PUT'))

    def test_store_that_refuses_all_processes(self):
        for path in (self.direct_path, self.first_relay, self.second_relay):
            path.result = 503
        self.assertEqual(503, self.call('PUT'))
        # The next call does not try every path again.
        before = self.second_relay.calls
        self.call('PUT')
        self.assertLessEqual(self.second_relay.calls, before)

    def test_no_path_works(self):
        for path in (self.direct_path, self.first_relay, self.second_relay):
            path.result = connections.NotSent('no route')
        with self.assertRaises(store_base.StoreUnavailable):
            self.call('PUT')


class RelayTest(unittest.TestCase):
    """A relay reports whether a call may have been carried out."""

    def get_relay_status(self, result):
        """Return the status of a relay's response."""
        direct = types.SimpleNamespace(
            call_direct=FakePath('s:1', result).call
        )
        statuses = []
        environ = {
            'PATH_INFO': '/store/objects/ledger/0000',
            'QUERY_STRING': '',
            'REQUEST_METHOD': 'PUT',
            'wsgi.input': types.SimpleNamespace(read=lambda: b'{}'),
        }
        paths.make_relay_app(direct, ())(
            environ, lambda status, _: statuses.append(status)
        )
        return statuses[0].split()[0]

    def test_statuses(self):
        self.assertEqual('409', self.get_relay_status(409))
        self.assertEqual('503', self.get_relay_status(connections.NotSent('')))
        self.assertEqual(
            '504', self.get_relay_status(connections.ResponseLost(''))
        )


class RelayListTest(unittest.TestCase):
    """The list of relays in the store."""

    def test_second_registration_writes_nothing(self):
        store = fakes.FakeStore()
        relay = relays.Relay('side-a-1', '10.0.0.1:7340', 'a', True)
        relays.register(store, relay)
        relays.register(store, relay)
        self.assertEqual(1, store.writes)
        self.assertIn(
            f'{relays.KIND}/{relays.slot_name("side-a-1")}', store.objects
        )

    def test_order_of_preference(self):
        known_relays = [
            relays.Relay('f', 'front', 'a', False),
            relays.Relay('far', 'far', 'b', True),
            relays.Relay('near', 'near', 'a', True),
            relays.Relay('own', 'own', 'a', True),
        ]
        self.assertEqual(
            ['near', 'far', 'front'],
            relays.order_by_preference(known_relays, 'a', 'own'),
        )
