"""What a router holds for its callers: one account bounds all of it.

Guards against callers that take a router's memory together, though each of
them keeps to the limits of a connection.
"""

import math
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.edge import outcomes
from galenaspoke.http import buffers
from tests.edge import base
from tests.edge import handlers
from tests.edge import stopping

BODY_BYTES = 1_000_000
LIMIT_BYTES = 2_500_000
# A test that takes longer has failed.
TIMEOUT_S = 10
HEAD = (
    b'POST /a/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: 9c41\r\n'
    b'Content-Length: %d\r\n\r\n' % BODY_BYTES
)
OVERLOAD = outcomes.Reason.OVERLOAD.value.encode()


class MemoryTestCase(stopping.StopTestCase):
    """A router whose account is small."""

    def setUp(self):
        super().setUp()
        self.account = buffers.BufferAccount(LIMIT_BYTES)
        patcher = mock.patch.object(buffers, 'process_account', self.account)
        patcher.start()
        self.addCleanup(patcher.stop)
        timeout = gevent.Timeout.start_new(TIMEOUT_S)
        self.addCleanup(timeout.close)

    def connect(self, data):
        """Return a connection to the router on which `data` was sent."""
        address = ('127.0.0.1', self.router._server.server_port)
        remote = socket.create_connection(address)
        self.addCleanup(remote.close)
        remote.sendall(data)
        gevent.sleep(0.05)
        return remote

    def read_all(self, remote):
        """Return what the router sends until it closes the connection."""
        return b''.join(iter(lambda: remote.recv(65_536), b''))

    def check_released(self, remotes):
        """Check that nothing is held once the callers have left."""
        for remote in remotes:
            remote.close()
        base.wait_until(lambda: not self.router.callers.connections)
        self.assertEqual(0, self.account.held_bytes)


class WaitingBodyTest(MemoryTestCase):
    """Large bodies that arrive while the process holds much."""

    # Guards against callers that are cut off, send their bodies again at
    # once, and so keep the router busy with reading.
    def test_bodies_wait_in_the_kernel(self):
        remotes = [
            self.connect(HEAD + bytes(BODY_BYTES - 1)) for _ in range(8)
        ]
        self.assertLess(self.account.held_bytes, LIMIT_BYTES)
        self.assertEqual(0, self.account.cut_count)
        self.may_finish.set()
        remotes.append(self.connect(self.REQUEST))
        self.assertIn(b' 200 ', remotes[-1].recv(65_536))
        self.check_released(remotes)

    # Guards against bodies that wait although there is room again.
    def test_body_is_read_once_there_is_room(self):
        self.may_finish.set()
        others = [self.connect(HEAD + bytes(BODY_BYTES - 1)) for _ in range(2)]
        remote = self.connect(HEAD + bytes(BODY_BYTES))
        for other in others:
            other.close()
        self.assertIn(b' 200 ', remote.recv(65_536))
        self.check_released([remote])

    # Guards against callers that wait without an end, and wrong promises.
    def test_body_for_which_there_is_no_room(self):
        self.account.limit_bytes = 200_000
        share = self.account.open('other', lambda: None)
        share.resize(150_000)
        self.addCleanup(share.close)
        received = self.read_all(self.connect(HEAD + bytes(BODY_BYTES)))
        self.assertTrue(received.startswith(b'HTTP/1.1 503'), received)
        self.assertIn(b'Retry-After', received)
        self.assertEqual([], self.started)


class BodyTest(MemoryTestCase):
    """Bodies that arrive, and bodies of requests that run.

    They are read at once, as those up to PROMPT_BODY_BYTES are.
    """

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(buffers, 'ROOM_SHARE', math.inf)
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against bodies that arrive on many connections and never end.
    def test_bodies_without_their_ends(self):
        remotes = [self.connect(HEAD + bytes(BODY_BYTES - 1))]
        remotes += [self.connect(HEAD + bytes(700_000)) for _ in range(2)]
        self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)
        self.assertGreater(self.account.held_bytes, 2_000_000)
        remotes.append(self.connect(HEAD + bytes(500_000)))
        received = self.read_all(remotes[0])
        self.assertTrue(received.startswith(b'HTTP/1.1 503'), received)
        self.assertIn(b'Retry-After', received)
        self.assertIn(OVERLOAD, received)
        self.check_released(remotes)

    # Guards against a caller that is cut off as others hold too much.
    def test_small_requests_are_served_meanwhile(self):
        remotes = [
            self.connect(HEAD + bytes(BODY_BYTES - 1)) for _ in range(4)
        ]
        self.may_finish.set()
        remotes.append(self.connect(self.REQUEST))
        self.assertIn(b' 200 ', remotes[-1].recv(65_536))
        self.check_released(remotes)

    # Guards against bodies that nobody counts once their requests run, and
    # against a promise that a request has not run when it may have.
    def test_bodies_of_requests_that_run(self):
        remotes = [self.connect(HEAD + bytes(BODY_BYTES)) for _ in range(2)]
        base.wait_until(lambda: len(self.started) == 2)
        remotes.append(self.connect(HEAD + bytes(BODY_BYTES - 1)))
        statuses = []
        for remote in remotes:
            with gevent.Timeout(0.5, False):
                statuses.append(self.read_all(remote)[9:12])
        self.assertEqual(1, len(statuses))
        self.assertIn(statuses[0], (b'502', b'503'))
        is_first = len(self.started) == 2 and self.account.held_bytes
        self.assertTrue(is_first)
        self.may_finish.set()
        self.check_released(remotes)

    # Guards against a wrong promise to the caller whose request runs.
    def test_request_that_runs_is_cut(self):
        remote = self.connect(HEAD + bytes(BODY_BYTES))
        base.wait_until(lambda: self.started)
        self.account.limit_bytes = 100_000
        self.account.enforce()
        received = self.read_all(remote)
        self.assertTrue(received.startswith(b'HTTP/1.1 502'), received)
        self.check_released([remote])

    # Guards against a share that outlives its request.
    def test_nothing_is_held_between_requests(self):
        self.may_finish.set()
        remote = self.connect(HEAD + bytes(BODY_BYTES))
        self.assertIn(b' 200 ', remote.recv(65_536))
        base.wait_until(lambda: not self.account.held_bytes)


class ResponseTest(MemoryTestCase):
    """Responses that callers read slowly, or not at all."""

    RESPONSE_BYTES = 4_000_000

    def run_engine(self, remote, _):
        """Answer with a large body."""
        self.started.append(remote)
        remote.sendall(handlers.encode_response(body=bytes(4_000_000)))

    # Guards against large bodies that wait for callers that don't read.
    def test_large_bodies_that_nobody_reads(self):
        self.account.limit_bytes = 6_000_000
        remotes = [self.connect(self.REQUEST) for _ in range(3)]
        base.wait_until(lambda: len(self.started) == 3)
        base.wait_until(lambda: self.account.cut_count)
        self.assertLessEqual(self.account.held_bytes, self.account.limit_bytes)
        self.check_released(remotes)

    # Guards against a large body that doesn't reach a caller that reads.
    def test_large_body(self):
        self.account.limit_bytes = 6_000_000
        remote = self.connect(self.REQUEST)
        received = 0
        while received < self.RESPONSE_BYTES:
            data = remote.recv(65_536)
            self.assertTrue(data, 'cut off')
            received += len(data)
        base.wait_until(lambda: not self.account.held_bytes)
