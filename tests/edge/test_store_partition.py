"""Network partitions between a process and the store.

Calls must go over relays, but a write whose outcome is unknown must never be
sent a second time.
"""

import io
import signal
import types
import unittest
from unittest import mock

import gevent
from gevent import event
from gevent import pywsgi

from galenaspoke.core import clock
from galenaspoke.edge import relay_main
from galenaspoke.http import connections
from galenaspoke.store import base as store_base
from galenaspoke.store import paths
from galenaspoke.store import relaying
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
            'wsgi.input': io.BytesIO(b'{}'),
        }
        relaying.make_relay_app(direct, ())(
            environ, lambda status, _: statuses.append(status)
        )
        return statuses[0].split()[0]

    def test_statuses(self):
        self.assertEqual('409', self.get_relay_status(409))
        self.assertEqual('503', self.get_relay_status(connections.NotSent('')))
        self.assertEqual(
            '504', self.get_relay_status(connections.ResponseLost(''))
        )


class RelayShutdownTest(unittest.TestCase):
    """A relay that stops while it relays calls."""

    def setUp(self):
        self.may_finish = event.Event()
        direct = types.SimpleNamespace(call_direct=self.call_store)
        self.calls = relaying.RelayedCalls()
        self.app = relaying.make_relay_app(direct, (), self.calls)
        self.sent = []

    def call_store(self, method, *_):
        """Answer once `may_finish` is set."""
        self.sent.append(method)
        self.may_finish.wait()
        return FakePath('s:1', 200).call(method, '', b'', 1)

    def relay(self, method):
        """Relay a call; return the status of the response."""
        statuses = []
        environ = {
            'PATH_INFO': '/store/objects/ledger/0000',
            'QUERY_STRING': '',
            'REQUEST_METHOD': method,
            'wsgi.input': io.BytesIO(b'{}'),
        }
        self.app(environ, lambda status, _: statuses.append(status))
        return statuses[0].split()[0]

    # Guards against writes whose responses are lost, so that a router doesn't
    # know its tokens, because the relay's process ends.
    def test_writes_under_way_are_answered(self):
        write = gevent.spawn(self.relay, 'PUT')
        base.wait_until(lambda: self.sent)
        shutdown = gevent.spawn(self.calls.wait_for_writes, timeout_s=30)
        base.settle()
        self.assertFalse(shutdown.ready())
        self.may_finish.set()
        shutdown.join()
        self.assertTrue(write.ready())
        self.assertEqual('200', write.get())

    def test_reads_are_not_waited_for(self):
        read = gevent.spawn(self.relay, 'GET')
        base.wait_until(lambda: self.sent)
        self.calls.wait_for_writes(timeout_s=30)
        self.assertFalse(read.ready())
        self.may_finish.set()
        read.join()


class RelayProcessTest(unittest.TestCase):
    """A relay's process, run as a task, and a store that is slow."""

    def setUp(self):
        self.may_finish = event.Event()
        self.writes = []
        self.store = pywsgi.WSGIServer(
            ('127.0.0.1', 0), self.serve_store, log=None
        )
        self.store.start()
        self.addCleanup(self.store.stop)
        self.signal_handlers = {}
        self.servers = []
        self.patch(gevent, 'signal_handler', self.set_signal_handler)
        self.patch(relay_main.pywsgi, 'WSGIServer', self.make_server)
        self.patch(relay_main.relay_discovery, 'run', mock.Mock())
        # A journal would make the output of the run non-blocking.
        self.patch(relay_main.journals, 'Journal', mock.Mock())

    def patch(self, module, name, value):
        """Replace a module's attribute until the end of the test."""
        patcher = mock.patch.object(module, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    def set_signal_handler(self, signal_number, handler, *_):
        """Keep a signal's handler, for the test to call."""
        self.signal_handlers[signal_number] = handler

    def make_server(self, *args, make=pywsgi.WSGIServer, **options):
        """Make the relay's server; keep it in `servers`."""
        self.servers.append(make(*args, **options))
        self.addCleanup(self.servers[-1].stop)
        return self.servers[-1]

    def serve_store(self, environ, start_response):
        """Answer reads at once, and writes once `may_finish` is set."""
        if environ['REQUEST_METHOD'] != 'GET':
            self.writes.append(environ['wsgi.input'].read())
            self.may_finish.wait()
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    def run_relay(self):
        """Return the task of a relay and a router's paths over it."""
        cfg = base.make_edge_settings(
            store=f'127.0.0.1:{self.store.server_port}',
            peer_listen='127.0.0.1:0',
        )
        task = gevent.spawn(relay_main.serve, cfg)
        base.wait_until(lambda: self.servers and self.servers[0].started)
        address = f'127.0.0.1:{self.servers[0].server_port}'
        router_paths = paths.StorePaths(
            's:1', '/cheap', clock.Clock(), base.Recorder()
        )
        router_paths._is_direct_down = True
        router_paths.set_relays([address])
        return task, router_paths

    # Guards against writes whose responses are lost, so that a router doesn't
    # know what tokens it has, because a relay's process ends.
    def test_writes_under_way_are_answered_before_the_process_ends(self):
        process, router_paths = self.run_relay()
        write = gevent.spawn(
            router_paths.call, 'PUT', '/objects/a/b', b'{}', 30
        )
        base.wait_until(lambda: self.writes)
        self.patch(relay_main, 'STOP_TIMEOUT_S', 30)
        self.signal_handlers[signal.SIGTERM]()
        base.settle()
        self.assertFalse(process.ready())
        # A call that fails would interrupt the others on its path.
        read = router_paths.call('GET', '/objects/a/b', b'', 30)
        self.assertEqual(200, read.status)
        self.may_finish.set()
        process.join()
        self.assertEqual(200, write.get().status)


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
