"""Routers that are restarted one after the other while callers are connected.

A connection may only be closed while it carries no request, and a caller that
disconnects must be noticed while its request is handled.
"""

import unittest
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge import main
from galenaspoke.edge.serving import caller_connections
from tests.edge import base
from tests.edge import stopping

RAW_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class CallerConnectionTest(unittest.TestCase):
    """A caller's connection while the router shuts down."""

    def setUp(self):
        local, self.remote = base.make_tcp_pair(self)
        self.caller = caller_connections.CallerConnection(
            local, clock.Clock(), catalog.Limits
        )

    def test_connection_with_active_request_is_not_idle(self):
        self.remote.sendall(RAW_REQUEST)
        self.assertTrue(self.caller.is_idle())
        self.caller.next_request()
        self.caller.has_active_request = True
        self.assertFalse(self.caller.is_idle())

    def test_connection_with_arriving_request_is_not_idle(self):
        self.caller.parser.feed(b'GET / HTTP/1.1\r\nHo')
        self.assertFalse(self.caller.is_idle())

    def test_idle_connection_is_closed(self):
        self.caller.close_if_idle()
        with self.assertRaises(caller_connections.CallerDisconnected):
            self.caller.next_request()

    # Guards against a request that is sent to a target and then cut off, since
    # its own router has just closed the idle connection on which it came.
    def test_request_that_crosses_the_close_is_not_cut_off(self):
        def serve():
            try:
                self.caller.next_request()
            except caller_connections.CallerDisconnected:
                return 'not accepted'
            with self.caller.cancel_on_disconnect():
                gevent.sleep(0.01)
            return 'served'

        task = gevent.spawn(serve)
        gevent.sleep(0)
        self.caller.close_if_idle()
        self.remote.sendall(RAW_REQUEST)
        self.assertIn(task.get(), ('not accepted', 'served'))

    def test_connection_with_unread_request_is_not_closed(self):
        self.remote.sendall(RAW_REQUEST)
        gevent.sleep(0.01)
        self.caller.close_if_idle()
        self.caller.next_request()
        with self.caller.cancel_on_disconnect():
            gevent.sleep(0.01)

    def test_disconnect_is_noticed(self):
        self.remote.sendall(RAW_REQUEST)
        self.caller.next_request()

        def serve():
            try:
                with self.caller.cancel_on_disconnect():
                    gevent.sleep(5)
            except caller_connections.CallerDisconnected:
                return 'disconnected'

        task = gevent.spawn(serve)
        gevent.sleep(0)
        self.remote.close()
        self.assertEqual('disconnected', task.get())

    def test_next_request_is_not_mistaken_for_a_disconnect(self):
        self.remote.sendall(RAW_REQUEST)
        self.caller.next_request()
        with self.caller.cancel_on_disconnect():
            self.remote.sendall(RAW_REQUEST)
            gevent.sleep(0.01)
        self.assertEqual('/', self.caller.next_request().path)


class StopUnderLoadTest(stopping.StopTestCase):
    """A router that stops while callers send on kept connections."""

    IDLE_COUNT = 200
    BUSY_COUNT = 20

    def connect(self, count):
        """Return connections that have carried a request and are kept."""
        address = ('127.0.0.1', self.router._server.server_port)
        remotes = [socket.create_connection(address) for _ in range(count)]
        self.send(remotes)
        self.may_finish.set()
        self.assertEqual(count, self.count_answers(remotes))
        self.may_finish.clear()
        del self.started[:]
        return remotes

    def send(self, remotes):
        """Send a request on each connection."""
        for remote in remotes:
            remote.sendall(self.REQUEST)

    def count_answers(self, remotes):
        """Return how many connections carry a whole response."""
        return sum(self.is_answered(remote) for remote in remotes)

    def is_answered(self, remote):
        """Return whether a whole response arrives before the close."""
        try:
            return remote.recv(65_536).endswith(b'\r\n\r\nok')
        except OSError:
            return False

    # Guards against requests that are sent to a target and end without a
    # response because they arrive while the stopping router closes its idle
    # connections.
    def test_every_request_that_was_sent_on_is_answered(self):
        remotes = self.connect(self.IDLE_COUNT + self.BUSY_COUNT)
        idle, busy = remotes[self.BUSY_COUNT :], remotes[: self.BUSY_COUNT]
        self.send(busy)
        base.wait_until(lambda: len(self.started) == self.BUSY_COUNT)

        def note(name, **_):
            if name == 'stop.idle_closed':
                self.send(idle)
                self.may_finish.set()

        self.router.journal = mock.Mock(note=note)
        with mock.patch.object(main, 'BALANCER_DELAY_MS', 0):
            stop = gevent.spawn(self.router.stop)
            answered = self.count_answers(remotes)
            self.assertEqual(main.EXIT_OK, stop.get())
        for remote in remotes:
            remote.close()
        self.assertEqual(self.BUSY_COUNT, answered)
        self.assertEqual(self.BUSY_COUNT, len(self.started))

    def stop_without_grace(self):
        """Stop the router, which has no time left for its open requests."""
        self.router.cfg = base.make_edge_settings(
            grace_ms=main.GRACE_MARGIN_MS
        )
        with mock.patch.object(main, 'BALANCER_DELAY_MS', 0):
            self.assertEqual(main.EXIT_OK, self.router.stop())

    def take_sent(self, remote):
        """Return what the router had sent when its process ended."""
        received = remote._sock.recv(65_536)
        remote.close()
        return received

    # Guards against requests that are cut off by the end of the process, since
    # their target is silent until the grace period is over.
    def test_open_requests_are_answered_before_the_process_ends(self):
        remotes = self.connect(self.BUSY_COUNT)
        self.send(remotes)
        base.wait_until(lambda: len(self.started) == self.BUSY_COUNT)
        self.stop_without_grace()
        for remote in remotes:
            response = self.take_sent(remote)
            self.assertTrue(response.startswith(b'HTTP/1.1 504'), response)
            self.assertIn(b'Connection: close', response)

    # Guards against the same for requests that no target has seen.
    def test_waiting_requests_are_refused_before_the_process_ends(self):
        (remote,) = self.connect(1)
        confirm = mock.Mock(side_effect=self.may_finish.wait)
        self.desk.config_view.confirm = confirm
        remote.sendall(self.REQUEST.replace(b'/a/', b'/unknown/'))
        base.wait_until(lambda: confirm.called)
        self.stop_without_grace()
        response = self.take_sent(remote)
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertIn(b'Retry-After', response)

    # Guards against a request that began to arrive early in the shutdown, is
    # whole only at its end, and is then sent to a target and cut off.
    def test_no_request_is_sent_on_at_the_end_of_the_grace_period(self):
        (remote,) = self.connect(1)
        remote.sendall(self.REQUEST[:20])
        (caller,) = self.router.callers.connections
        base.wait_until(lambda: not caller.is_idle())

        def finish_request():
            remote.sendall(self.REQUEST[20:])
            base.wait_until(lambda: not self.router.callers.connections)

        self.router.budget_manager.close = finish_request
        self.stop_without_grace()
        response = self.take_sent(remote)
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)
        self.assertEqual([], self.started)

    # Guards against a request that has been read together with the one before
    # it, and ends without a response since the connection closes after that.
    def test_requests_that_were_read_together_are_answered(self):
        (remote,) = self.connect(1)
        self.router.admission.begin_shutdown(float('inf'), float('inf'))
        self.may_finish.set()
        remote.sendall(2 * self.REQUEST)
        received = b''.join(iter(lambda: remote.recv(65_536), b''))
        remote.close()
        self.assertEqual(2, received.count(b'\r\n\r\nok'))
        self.assertEqual(1, received.count(b'Connection: close'))
        self.assertEqual(2, len(self.started))
