"""The engine of the edge fleet's soak, over a connection of its own."""

import json
import pathlib
import random
import tempfile
import unittest
from unittest import mock

import gevent
from gevent import socket

from standins import common
from standins import edge_divisions
from standins import edge_engine
from standins import edge_manners
from standins import edge_plans
from standins import edge_runs
from standins import raw_http

INSTANCE = 'i-1'
BODY = b'{"key":"k","pieces":2}'
TIMEOUT_S = 3
MANY_BYTES = 1_000_000


class EngineTest(unittest.TestCase):
    """What a router reads on one connection."""

    def setUp(self):
        self.address = None
        self.engine = None
        self.shares = None
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log_path = pathlib.Path(directory.name) / 'model-0.runs'

    def connect(self, shares, division=None, manner=None):
        """Return a connection to a model engine that has just started."""
        self.shares = shares
        entry = {
            'Service': 'model-chat',
            'Slots': 2,
            'State': 'ready',
            'Version': 'v1',
            'born': 5,
            'Seq': 0,
        }
        engine = edge_engine.EdgeEngine(
            INSTANCE,
            entry,
            '127.0.0.1:1',
            common.EventLog(self.log_path),
            random.Random(1),
            edge_plans.Settings(shares, division, manner),
        )
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            address = '%s:%d' % sock.getsockname()
        self.address = address
        self.engine = engine
        server = engine.listen(address)
        self.addCleanup(server.stop)
        sock = raw_http.connect(address)
        self.addCleanup(sock.close)
        sock.settimeout(TIMEOUT_S)
        return raw_http.Connection(sock)

    def ask(self, conn, request_id, path='/stream/talk/k', body=BODY):
        """Send a request."""
        headers = [('X-Request-Id', request_id)]
        first = f'POST {path} HTTP/1.1'
        conn.sock.sendall(raw_http.encode(first, headers, body))

    def read(self, conn):
        """Read a response; return its request's id and its body."""
        message = conn.read_head()
        return message.get('x-request-id'), conn.read_body(message)

    def order(self, conn, mode, seconds=TIMEOUT_S, share=1):
        """Have the engine meet requests in a mode."""
        order = {'mode': mode, 'seconds': seconds, 'share': share}
        body = json.dumps(order).encode()
        self.ask(conn, 'order', edge_engine.MODE_PATH, body)
        self.assertEqual(self.read_head(conn).status, 200)

    def read_head(self, conn):
        """Read the head of a response without a body."""
        message = conn.read_head()
        self.assertEqual(conn.read_body(message), b'')
        return message

    def read_until_end(self, conn):
        """Return all that comes, and whether the end was a reset."""
        data = b''
        while True:
            try:
                more = conn.sock.recv(raw_http.RECEIVE_BYTES)
            except ConnectionResetError:
                return data, True
            if not more:
                return data, False
            data += more

    def read_log(self, what):
        """Return the entries of the engine's log about runs or ends."""
        lines = self.log_path.read_text().splitlines()
        entries = [json.loads(line) for line in lines]
        return [entry for entry in entries if entry['what'] == what]

    # Guards against a drill whose engines answer in another framing.
    def test_fixed_framing_and_connections_that_are_not_kept(self):
        manner = edge_manners.Manner('chunked', keeps_connections=False)
        conn = self.connect(edge_plans.Shares(early=0), manner=manner)
        self.ask(conn, 'k.0')
        message = conn.read_head()
        self.assertTrue(message.is_chunked())
        self.assertEqual('close', message.get('connection'))
        self.assertEqual(2, conn.read_body(message).count(b'\n\n'))
        self.assertEqual((b'', False), self.read_until_end(conn))

    # Guards against a drill whose engines have reports though they shouldn't.
    def test_engine_without_reports(self):
        manner = edge_manners.Manner(has_reports=False)
        conn = self.connect(edge_plans.Shares(), manner=manner)
        conn.sock.sendall(raw_http.encode('GET /report HTTP/1.1', []))
        self.assertEqual(400, self.read_head(conn).status)

    # Guards against whole events in place of one that is cut.
    def test_close_within_an_event(self):
        manner = edge_manners.Manner('none', edge_plans.HALF)
        conn = self.connect(edge_plans.Shares(early=1), manner=manner)
        self.ask(conn, 'k.0')
        message = conn.read_head()
        data = b''.join(conn.iter_body(message, ends_with_connection=True))
        *_, last = data.split(b'\n\n')
        self.assertIn(last, (b'id: 1\ndata:', b'id: 2\ndata:'))

    # Guards against a report that lists no run whose response was cut.
    def test_run_that_is_listed_after_its_early_end(self):
        manner = edge_manners.Manner(
            'none', edge_plans.CLOSED, listed_s=TIMEOUT_S
        )
        conn = self.connect(edge_plans.Shares(early=1), manner=manner)
        self.ask(conn, 'k.0')
        self.read_until_end(conn)
        listed = self.engine._runs.list_reported()
        self.assertEqual(['k.0'], [run[0] for run in listed])

    def test_response_that_comes_late(self):
        """The response before comes again where the next one is due."""
        late = (edge_plans.LATE,)
        with mock.patch.object(edge_plans, 'STREAM_GARBLES', late):
            conn = self.connect(edge_plans.Shares(early=0, garbled=1))
            self.ask(conn, 'k.0')
            first = self.read(conn)
            self.assertFalse(conn.has_surplus())
            self.ask(conn, 'k.1')
            self.assertEqual(self.read(conn), first)
            self.assertEqual(self.read(conn), ('k.1', first[1]))
        follows = [run['follows_garbage'] for run in self.read_log('run')]
        self.assertEqual(follows, [False, True])

    def test_flood(self):
        """It floods once it was told to, for the time that it was told."""
        conn = self.connect(edge_plans.Shares(early=0))
        order = {'case': 'chunked', 'seconds': 0.5}
        body = json.dumps(order).encode()
        self.ask(conn, 'order', edge_engine.FLOOD_PATH, body)
        self.assertEqual(conn.read_head().status, 200)
        self.ask(conn, 'k.0')
        count = 0
        with gevent.Timeout(TIMEOUT_S):
            with self.assertRaises(ConnectionResetError):
                while data := conn.sock.recv(raw_http.RECEIVE_BYTES):
                    count += len(data)
        self.assertGreater(count, MANY_BYTES)

    def test_errors(self):
        """The request runs, and gets an error of the engine's own."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'errors')
        self.ask(conn, 'k.0')
        message = self.read_head(conn)
        self.assertEqual(message.status, 500)
        self.assertEqual(message.get('x-not-run'), '')
        self.assertEqual(message.get('x-request-id'), 'k.0')
        self.ask(conn, 'k.1')
        self.assertEqual(self.read_head(conn).status, 500)
        hows = [entry['how'] for entry in self.read_log('end')]
        self.assertEqual(hows, ['error', 'error'])

    def test_shed(self):
        """The request doesn't run, as the answer says."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'shed')
        self.ask(conn, 'k.0')
        message = self.read_head(conn)
        self.assertEqual(message.status, 503)
        self.assertEqual(message.get('x-not-run'), '1')
        self.assertEqual(self.read_log('run'), [])

    def test_hang(self):
        """Nothing comes, and the connection stays open."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'hang')
        self.ask(conn, 'k.0')
        conn.sock.settimeout(0.5)
        with self.assertRaises(TimeoutError):
            conn.sock.recv(1)
        self.assertEqual(len(self.read_log('run')), 1)
        self.assertEqual(self.read_log('end'), [])

    def test_mute(self):
        """A stream stops in the middle, and the connection stays open."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'mute')
        self.ask(conn, 'k.0')
        self.assertEqual(conn.read_head().status, 200)
        conn.sock.settimeout(0.5)
        with self.assertRaises(TimeoutError):
            while conn.sock.recv(raw_http.RECEIVE_BYTES):
                pass

    def test_reset(self):
        """A stream is reset in the middle."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'reset')
        self.ask(conn, 'k.0')
        data, is_reset = self.read_until_end(conn)
        self.assertTrue(is_reset)
        self.assertLess(data.count(b'data: '), 2)

    def test_forgotten_connections(self):
        """What is sent on a connection that was idle is reset."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'forget')
        self.ask(conn, 'k.0')
        self.assertEqual(self.read_until_end(conn), (b'', True))
        self.assertFalse(self.log_path.read_bytes())

    def test_mode_ends(self):
        """It holds for the time, and the share, that the order says."""
        conn = self.connect(edge_plans.Shares(early=0))
        self.order(conn, 'shed', seconds=0.1)
        self.order(conn, 'errors', share=0)
        gevent.sleep(0.2)
        self.ask(conn, 'k.0')
        self.assertEqual(conn.read_head().status, 200)

    def test_engine_that_stops_at_once(self):
        """It closes or resets all its streams in their middle and ends."""
        conn = self.connect(
            edge_plans.Shares(early=0), edge_divisions.Division(preempted=1)
        )
        conns = [conn, raw_http.Connection(raw_http.connect(self.address))]
        self.addCleanup(conns[1].sock.close)
        for number, each in enumerate(conns):
            self.ask(each, f'k.{number}')
        for each in conns:
            self.assertEqual(each.read_head().status, 200)
        other = raw_http.Connection(raw_http.connect(self.address))
        self.addCleanup(other.sock.close)
        with mock.patch.object(edge_engine.os, '_exit') as leave:
            self.order(other, 'spot')
            resets = {self.read_until_end(each)[1] for each in conns}
        leave.assert_called_once_with(1)
        self.assertEqual(resets, {True, False})
        hows = [entry['how'] for entry in self.read_log('end')]
        self.assertEqual(hows, ['spot', 'spot'])

    def leave(self, early):
        """Have the engine leave in a stream's middle; return what it sent.

        Returns the bytes of the stream, and what a health check gets then.
        """
        division = edge_divisions.Division(preempted=1)
        conn = self.connect(edge_plans.Shares(early=0), division)
        self.ask(conn, 'k.0')
        message = conn.read_head()
        body = conn.iter_body(message, ends_with_connection=True)
        data = next(body)
        self.shares.early = early
        changes = {'DRAIN_S': 0, 'HASTY_SHARE': 1, 'LINGER_S': (0.3, 0.3)}
        with (
            mock.patch.multiple(edge_engine, **changes),
            mock.patch.object(edge_engine.os, '_exit') as leave,
        ):
            leaving = gevent.spawn(self.engine.leave)
            data += self.read_as_far_as_it_comes(body)
            other = raw_http.Connection(raw_http.connect(self.address))
            self.addCleanup(other.sock.close)
            self.ask(other, 'health', '/health')
            status = self.read_head(other).status
            leaving.join()
        leave.assert_called_once_with(0)
        return data, status

    def read_as_far_as_it_comes(self, body):
        """Return what comes of a body that may be cut off."""
        data = b''
        try:
            for more in body:
                data += more
        except (OSError, raw_http.Disconnected):
            pass
        return data

    def test_engine_that_leaves_closes_its_streams(self):
        """It lives on for a while after that."""
        data, status = self.leave(early=0.1)
        self.assertEqual((data.count(b'data: '), status), (1, 503))
        (end,) = self.read_log('end')
        self.assertEqual((end['how'], end['tokens']), ('leaving', 1))

    def test_engine_that_leaves_and_ends_no_stream_early(self):
        """It completes its streams first."""
        data, _ = self.leave(early=0)
        self.assertEqual(data.count(b'data: '), 2)
        (end,) = self.read_log('end')
        self.assertEqual(end['how'], 'whole')

    def test_log(self):
        """It has what a run begins with, and what it sent."""
        division = edge_divisions.Division(2, ids=edge_divisions.TOKENS)
        conn = self.connect(edge_plans.Shares(early=0), division)
        headers = [('X-Request-Id', 'k.0'), ('Last-Event-Id', '1')]
        body = b'{"key":"k","pieces":4}'
        first = 'POST /stream/talk/k HTTP/1.1'
        conn.sock.sendall(raw_http.encode(first, headers, body))
        message = conn.read_head()
        data = b''.join(conn.iter_body(message, ends_with_connection=True))
        self.assertEqual(
            data, b'id: 3\ndata: k v1 2 3\n\nid: 4\ndata: k v1 4 4\n\n'
        )
        (run,) = self.read_log('run')
        self.assertEqual(run['ids'], edge_divisions.TOKENS)
        self.assertEqual((run['after'], run['first']), (1, 2))
        (end,) = self.read_log('end')
        self.assertEqual((end['events'], end['tokens']), (2, 3))

    def test_weights(self):
        """Engines state versions of their own if weights change."""
        for share, count in ((0, 1), (1, 9)):
            division = edge_divisions.Division(weights=share)
            settings = edge_plans.Settings(edge_plans.Shares(), division)
            weights = {
                edge_runs.Runs(f'i-{n}', {}, None, None, settings).weights
                for n in range(100)
            }
            self.assertEqual(len(weights), count)
