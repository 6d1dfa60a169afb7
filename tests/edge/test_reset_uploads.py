"""Engines that answer a long upload at once, and reset the connection.

Guards against a part of a body without a length that passes for the whole one
(MIXED): the task that sends the upload, or the one that reads the answer, may
learn of the reset first, and the other finds the end of the stream.
"""

import socket as std_socket

import gevent

from galenaspoke.core import catalog
from tests.edge import test_closed_review
from tests.edge import test_endings
from tests.http import test_failed_sends

PART = b'{"answer":"ye'
UPLOAD = bytes(16_777_216)
# When the engine resets the connection, after it has answered.
PAUSES_S = (0.0, 0.001, 0.01, 0.1)
# How much of the upload it reads before, and how much between.
READ_BYTES = (0, 1, 300_000)


def make_run(pause_s, read_bytes, sends_late=False):
    """Return what an engine does that answers and resets."""

    def run(engine, _, sock, __):
        if not sends_late:
            test_closed_review.send_head(engine, sock, PART)
        for _ in range(2):
            if read_bytes:
                sock.recv(read_bytes)
            gevent.sleep(pause_s)
        if sends_late:
            test_closed_review.send_head(engine, sock, PART)
        sock.setsockopt(
            std_socket.SOL_SOCKET,
            std_socket.SO_LINGER,
            test_failed_sends.RESET_ON_CLOSE,
        )
        sock.close()

    return run


class ResetUploadTest(test_endings.EndingTestCase):
    """What a caller gets of such an engine, which lives on."""

    content_type = b'application/json'

    def ask_with_upload(self, run):
        """Make a request that only that engine may answer."""
        desk, (engine,) = self.make_desk(max_attempts=1)
        test_closed_review.replace_run(engine, run)
        return desk.request(body=UPLOAD)

    def check(self, kind, sends_late):
        """Check that no part of a body is told to be whole."""
        for pause_s in PAUSES_S:
            for read_bytes in READ_BYTES:
                with self.subTest(pause_s=pause_s, read_bytes=read_bytes):
                    self.kind = kind
                    caller = self.ask_with_upload(
                        make_run(pause_s, read_bytes, sends_late)
                    )
                    self.assertEqual(502, caller.status)
                    self.assertNotIn(PART, caller.body)
                    self.assertNotIn(b'x-response-stamp', caller.headers)

    def test_idempotent_request(self):
        for sends_late in (False, True):
            self.check(catalog.RequestKind.IDEMPOTENT, sends_late)

    def test_request_that_runs_once(self):
        self.check(catalog.RequestKind.ONCE, False)
