"""Sends responses to callers, for as long as they go on reading.

Example::

    sender = CallerSender(sock, hold)
    sender.send(b'HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n')
"""

from galenaspoke.http import sockets

# A caller that takes nothing of its response for so long is cut off.
SEND_PAUSE_MS = 10_000
# How often it is tried whether it has taken a little.
SEND_INTERVAL_MS = 1_000


class CallerSender:
    """Sends on the socket of one caller.

    `hold` is called with the number of bytes that wait for the caller, 0 once
    none do; what it raises ends the sending.
    """

    __slots__ = ('_sock', '_hold')

    def __init__(self, sock, hold):
        self._sock = sock
        self._hold = hold

    def send(self, data):
        """Send bytes; may wait.  Raises OSError if the caller can't get them.

        That is a TimeoutError if it reads nothing for SEND_PAUSE_MS.
        """
        sent = sockets.send_at_once(self._sock, data)
        if sent == len(data):
            return
        left = memoryview(data)[sent:]
        try:
            # All of it is held until the last byte is sent.
            self._hold(len(data))
            while left:
                left = left[self._send_some(left) :]
        finally:
            self._hold(0)

    def _send_some(self, data):
        """Return how many bytes the caller has made room for."""
        waited_ms = 0
        while waited_ms < SEND_PAUSE_MS:
            interval_ms = min(SEND_INTERVAL_MS, SEND_PAUSE_MS - waited_ms)
            sent = sockets.send_some(self._sock, data, interval_ms / 1000)
            if sent:
                return sent
            waited_ms += interval_ms
        raise TimeoutError('the caller reads nothing')
