"""Sends requests without waiting for a peer that reads slowly.

Example::

    sender = Sender(sock)
    sender.send(b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n')
    sender.is_done()    # whether all of it was sent
"""

import gevent

from galenaspoke.http import patience
from galenaspoke.http import sockets

# How often a full socket buffer is tried.
TRY_INTERVAL_S = 1


class Sender:
    """Sends one request after another on one socket.

    `error` is why what was sent in the background failed, None if it didn't.
    The kernel reports an error once, so a read after it sees the end of the
    stream.
    """

    __slots__ = ('error', '_sock', '_is_patient', '_task')

    def __init__(self, sock):
        self.error = None
        self._sock = sock
        # Whether the kernel's time-out is off for the latest request.
        self._is_patient = False
        # Sends what the socket buffer did not take at once.
        self._task = None

    def send(self, data, body=b''):
        """Send `data` and then `body`; raise OSError if that fails at once.

        What the socket buffer doesn't take is sent in the background, so that
        an early response can be read meanwhile.  It isn't copied, so neither
        may change until all of it is sent.
        """
        try:
            sent = self._sock._sock.sendmsg([data, body])
        except BlockingIOError:
            sent = 0
        if self._is_patient:
            self._is_patient = False
            patience.process_watch.restore(self._sock)
        patience.process_watch.add(self._sock, sent)
        body_sent = max(0, sent - len(data))
        left = [memoryview(data)[sent:], memoryview(body)[body_sent:]]
        if any(left):
            self._task = gevent.spawn(self._send_rest, left)

    def is_done(self):
        """Return whether the whole request has been sent."""
        return self._task is None or self._task.ready()

    def close(self):
        """Send nothing more."""
        if self._task is not None:
            self._task.kill(block=False)

    def _send_rest(self, pieces):
        try:
            for piece in pieces:
                while piece:
                    piece = piece[self._send_some(piece) :]
        except BrokenPipeError:
            # The peer had closed its side, or the greenlet that reads the
            # response got the error.
            pass
        except OSError as exc:
            self.error = exc

    def _send_some(self, data):
        """Return how many bytes were sent.

        The socket's timeout is that of the greenlet that reads; a peer may
        read a request for longer.
        """
        sent = sockets.send_some(self._sock, data, TRY_INTERVAL_S)
        if sent:
            # The buffer was full, so the peer has acknowledged something.
            self._is_patient = True
            patience.process_watch.lift(self._sock)
        return sent
