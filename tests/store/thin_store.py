"""A stand-in for the platform's store behind a thin link.

It speaks HTTP over real sockets and sends its responses at a limited rate.

Example::

    store = ThinStore(rate=300_000)
    path = store.make_path()
    path.call('GET', '/objects/config?', b'', 0.8).body
    store.stop()
"""

import re

import gevent
from gevent import server
import msgspec

from galenaspoke.store import paths

PIECE_BYTES = 4_096
# As large as a configuration with 1,640 routes.
OBJECT_BYTES = 394_240
REVISION = 8
_WAIT_MS = re.compile(rb'WaitMs=(\d+)')


def make_large_body():
    """Return a response that lists one large object."""
    return _encode('Items', {'Metadata': _METADATA, 'Spec': _SPEC})


def make_large_event():
    """Return a response to a watch in which a large object changed."""
    obj = {'Metadata': _METADATA, 'Spec': _SPEC}
    return _encode('events', {'Object': obj})


def _encode(field, entry):
    return msgspec.json.encode({field: [entry], 'StoreRevision': REVISION})


_METADATA = {'Name': 'main', 'Rev': REVISION}
_SPEC = 'x' * OBJECT_BYTES


class ThinStore:
    """Lists and watches return a large object, at `rate` bytes a second.

    URL paths that contain `silent_on` get no answer.  `pause_after` is the
    number of bytes after which a response stops for good, None for never;
    `cut_after` that after which its connection closes.
    Connections in `silenced` get no answer any more.  With `waits` a watch is
    answered at the end of its wait.  `fields` are more headers of responses.
    """

    def __init__(self, rate, waits=False, fields=b''):
        self.rate = rate
        self.silent_on = b'no path'
        self.pause_after = None
        self.cut_after = None
        self.waits = waits
        self.fields = fields
        self.silenced = set()
        self.open = set()
        # The first lines of all requests.
        self.requests = []
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self):
        """The address as text."""
        return f'127.0.0.1:{self._server.server_port}'

    def make_path(self, prefix=''):
        """Return a StorePath that leads here."""
        return paths.StorePath(self.address, prefix)

    def silence_open_connections(self):
        """Answer nothing more on the connections that are open now."""
        self.silenced |= self.open

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        self.open.add(sock)
        try:
            while request := sock.recv(65_536):
                line = request.split(b'\r\n')[0]
                self.requests.append(line)
                if self.silent_on not in line and sock not in self.silenced:
                    self._answer(sock, line)
        except OSError:
            pass
        finally:
            self.open.discard(sock)

    def _answer(self, sock, line):
        wait = _WAIT_MS.search(line)
        if wait and self.waits:
            gevent.sleep(int(wait[1]) / 1000)
        if sock in self.silenced:
            return
        body = make_large_event() if wait else make_large_body()
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        sock.sendall(b'HTTP/1.1 200 OK\r\n' + self.fields + length)
        for start in range(0, len(body), PIECE_BYTES):
            if self.pause_after is not None and start > self.pause_after:
                return
            if self.cut_after is not None and start > self.cut_after:
                sock.close()
                return
            sock.sendall(body[start : start + PIECE_BYTES])
            gevent.sleep(PIECE_BYTES / self.rate)
