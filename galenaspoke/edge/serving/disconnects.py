"""Notices that a caller has closed its connection.

Example::

    watch = DisconnectWatch(sock, on_closed=task.kill)
    watch.start()
    ...
    watch.close()
"""

import gevent

from galenaspoke.http import sockets

# The event loop's flag for a readable socket.
_READ_EVENT = 1


class DisconnectWatch:
    """Calls `on_closed` once the peer of a gevent socket has closed it.

    Once other bytes have come nothing is noticed any more: until they are
    read the socket stays readable.
    """

    __slots__ = ('_sock', '_on_closed', '_watcher')

    def __init__(self, sock, on_closed):
        self._sock = sock
        self._on_closed = on_closed
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), _READ_EVENT)

    def start(self):
        """Watch from now on."""
        self._watcher.start(self._check)

    def close(self):
        """Watch no more."""
        self._watcher.stop()
        self._watcher.close()

    def _check(self):
        found = _peek(self._sock)
        if found is None:
            return
        self._watcher.stop()
        if not found:
            self._on_closed()


def is_closed(sock):
    """Return whether the peer of a gevent socket has closed it.

    Bytes that came before and have not been read hide that.
    """
    return _peek(sock) == b''


def _peek(sock):
    """Return the next byte of a socket, b'' if its peer has closed it.

    Returns None if there is nothing to read.
    """
    try:
        return sockets.peek(sock)
    except BlockingIOError:
        return None
    except OSError:
        return b''
