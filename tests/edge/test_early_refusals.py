"""Requests that are refused at the end of their head.

Guards against bodies that are read and held although their head already says
that the request is refused.
"""

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from tests.edge import base
from tests.edge import stopping

BODY_BYTES = 1_000_000
KEY = b'Api-Key: k\r\n'
# A test that takes longer has failed.
TIMEOUT_S = 10


class EarlyRefusalTest(stopping.StopTestCase):
    """Callers whose bodies haven't arrived yet."""

    def setUp(self):
        super().setUp()
        self.may_finish.set()
        old = self.desk.config_view.catalog
        self.desk.config_view.catalog = catalog.Catalog(
            2,
            [old.match('desk', '/a/x')],
            old.services.values(),
            [catalog.Account('desk')],
            {'k': 'desk'},
            catalog.Limits(header_timeout_ms=1_000),
        )
        timeout = gevent.Timeout.start_new(TIMEOUT_S)
        self.addCleanup(timeout.close)

    def connect(self):
        """Return a connection to the router."""
        address = ('127.0.0.1', self.router._server.server_port)
        remote = socket.create_connection(address)
        self.addCleanup(remote.close)
        return remote

    def make_head(self, extra, path=b'/a/x', size=BODY_BYTES):
        """Return a head with the header lines `extra`."""
        return (
            b'POST %s HTTP/1.1\r\nHost: desk\r\nX-Request-Id: 9c41\r\n%s'
            b'Content-Length: %d\r\n\r\n' % (path, extra, size)
        )

    def read_all(self, remote):
        """Return what the router sends until it closes the connection."""
        return b''.join(iter(lambda: remote.recv(65_536), b''))

    def check_refusal(self, status, head):
        """Check that a head alone gets a status and closes the connection."""
        remote = self.connect()
        remote.sendall(head)
        received = self.read_all(remote)
        self.assertTrue(received.startswith(b'HTTP/1.1 %d ' % status))
        self.assertIn(b'Connection: close', received)
        self.assertEqual([], self.started)
        return received

    # Guards against a body that is read for a key that nobody has.
    def test_unknown_key(self):
        self.check_refusal(401, self.make_head(b'Api-Key: no\r\n'))

    # Guards against a body that is read where no route leads on.
    def test_unknown_route(self):
        self.check_refusal(404, self.make_head(KEY, path=b'/unknown/'))

    # Guards against a body that is read for headers that are invalid.
    def test_invalid_header(self):
        head = self.make_head(KEY + b'X-Deadline-Ms: soon\r\n')
        self.check_refusal(400, head)

    # Guards against a body that is read by a router without a configuration.
    def test_no_configuration(self):
        self.desk.config_view.has_config = lambda: False
        received = self.check_refusal(503, self.make_head(KEY))
        self.assertIn(b'Retry-After', received)

    # Guards against a body that is read by a router that is about to end.
    def test_router_that_leaves(self):
        self.desk.admission.begin_shutdown(0, 0)
        self.check_refusal(503, self.make_head(KEY))

    # Guards against a caller that sends a body because it was told to.
    def test_refused_body_is_not_asked_for(self):
        head = self.make_head(b'Api-Key: no\r\nExpect: 100-continue\r\n')
        self.assertNotIn(b'100 Continue', self.check_refusal(401, head))

    # Guards against a denial that the store has not confirmed.
    def test_refusal_without_a_confirmed_configuration(self):
        self.desk.config_view.confirm = lambda: False
        self.check_refusal(503, self.make_head(b'Api-Key: no\r\n'))

    # Guards against a response that is destroyed by the reset that follows
    # when a connection is closed while bytes of the body wait there.
    def test_caller_that_sends_its_body_first_reads_the_response(self):
        remote = self.connect()
        remote.sendall(self.make_head(b'Api-Key: no\r\n') + bytes(BODY_BYTES))
        gevent.sleep(0.1)
        self.assertIn(b'HTTP/1.1 401 ', self.read_all(remote))

    # Guards against the same for a body that is too large.
    def test_caller_that_sends_too_large_a_body_reads_the_response(self):
        limit = self.desk.config_view.catalog.limits.body_bytes
        remote = self.connect()
        remote.sendall(self.make_head(KEY, size=limit + 1))
        remote.sendall(bytes(BODY_BYTES))
        gevent.sleep(0.1)
        self.assertIn(b'HTTP/1.1 413 ', self.read_all(remote))

    # Guards against callers that never close after a refusal.
    def test_caller_that_keeps_the_connection_open(self):
        remote = self.connect()
        remote.sendall(self.make_head(b'Api-Key: no\r\n'))
        base.wait_until(lambda: self.router.callers.connections)
        base.wait_until(lambda: not self.router.callers.connections, TIMEOUT_S)

    # Guards against a connection that is closed although all of its request
    # had been read.
    def test_whole_request_keeps_the_connection(self):
        remote = self.connect()
        for _ in range(2):
            remote.sendall(self.make_head(b'Api-Key: no\r\n', size=1) + b'a')
            self.assertIn(b'HTTP/1.1 401 ', remote.recv(65_536))

    # Guards against a body that is read for an accepted request and lost.
    def test_accepted_body_is_sent_on(self):
        remote = self.connect()
        head = self.make_head(KEY + b'Expect: 100-continue\r\n')
        remote.sendall(head)
        self.assertIn(b'100 Continue', remote.recv(65_536))
        remote.sendall(bytes(BODY_BYTES) + self.make_head(KEY, size=0))
        received = b''
        while received.count(b'\r\n\r\nok') < 2:
            received += remote.recv(65_536)
        self.assertNotIn(b'100 Continue', received)

    # Guards against a caller that is cut off because it left while its body
    # was read, and a request that is sent on for it.
    def test_caller_that_leaves_in_the_middle_of_its_body(self):
        remote = self.connect()
        remote.sendall(self.make_head(KEY) + b'a')
        base.wait_until(lambda: self.router.callers.connections)
        remote.close()
        base.wait_until(lambda: not self.router.callers.connections)
        self.assertEqual([], self.started)

    # Guards against a pause in the body that lasts for ever.
    def test_pause_in_the_body(self):
        remote = self.connect()
        remote.sendall(self.make_head(KEY) + b'a')
        self.assertIn(b'HTTP/1.1 408 ', self.read_all(remote))

    # Guards against a caller that leaves unseen once its body was read.
    def test_caller_that_leaves_while_its_request_runs(self):
        self.may_finish.clear()
        remote = self.connect()
        remote.sendall(self.make_head(KEY))
        gevent.sleep(0.05)
        remote.sendall(bytes(BODY_BYTES))
        base.wait_until(lambda: self.started)
        remote.close()
        base.wait_until(lambda: not self.router.callers.connections)

    # Guards against a request that no shutdown answers as its body hangs.
    def test_body_that_hangs_at_the_end_of_the_grace_period(self):
        remote = self.connect()
        remote.sendall(self.make_head(KEY) + b'a')
        base.wait_until(lambda: self.desk.handler.open_request_count)
        self.desk.handler.abandon_open_requests()
        received = self.read_all(remote)
        self.assertIn(b'HTTP/1.1 503 ', received)
        self.assertIn(outcomes.Reason.LEAVING.value.encode(), received)
