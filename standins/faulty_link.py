"""TCP proxy to one address that harms the connections through it.

It can delay data, limit its rate, and reset, close or silence the connections
that are open.  A connection that went silent says nothing more, while new ones
work.  It ends each side of a connection as the other one ended.
"""

import gevent
from gevent import socket

from galenaspoke.core import clock as clocks
from standins import raw_http

CHUNK_BYTES = 16_384
CONNECT_TIMEOUT_S = 2.0
_FRAMING_HEADERS = (b'\r\ncontent-length:', b'\r\ntransfer-encoding:')


class _Pair:
    """A connection to the proxy and the one that it made for it."""

    __slots__ = ('near', 'far', 'is_silent', 'is_framed')

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.is_silent = False
        # Whether the last response states where it ends.
        self.is_framed = True

    def observe(self, data):
        """Note how a response is framed that begins with some data."""
        if data.startswith(b'HTTP/1.1 '):
            head = data.split(b'\r\n\r\n', 1)[0].lower()
            self.is_framed = any(name in head for name in _FRAMING_HEADERS)

    def reset(self):
        """Reset both connections."""
        raw_http.reset(self.near)
        raw_http.reset(self.far)


class FaultyLink:
    """A proxy from `listen` to `to`.

    `delay_s` and `bytes_per_s` apply to each piece of data, 0 for neither.
    `drops_to_near` and `drops_to_far` drop what goes one way, after which that
    connection is silent.  `change_to_near` and `change_to_far` are functions
    that change what goes there, None for none.
    """

    def __init__(self, listen, to, change_to_near=None, change_to_far=None):
        self.listen = listen
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self.drops_to_near = False
        self.drops_to_far = False
        self._change_to_near = change_to_near
        self._change_to_far = change_to_far
        self._to = to
        self._pairs = set()
        self._clock = clocks.Clock()
        self._server = raw_http.listen(listen, self._serve)

    def reset_all(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def close_all(self):
        """Close all open connections, as if both sides had done it.

        Nobody can tell a response without a length that is closed so from a
        whole one, so connections that carry one are reset.
        """
        for pair in list(self._pairs):
            if not pair.is_framed:
                pair.reset()
                continue
            for sock in (pair.near, pair.far):
                _shut_down(sock, socket.SHUT_RDWR)

    def silence_all(self):
        """Let all open connections go silent for good."""
        for pair in self._pairs:
            pair.is_silent = True

    def _serve(self, near, _peer):
        try:
            far = socket.create_connection(
                raw_http.parse(self._to), CONNECT_TIMEOUT_S
            )
        except OSError:
            raw_http.reset(near)
            return
        far.settimeout(None)
        pair = _Pair(near, far)
        self._pairs.add(pair)
        gevent.joinall(
            [
                gevent.spawn(self._copy, pair, near, far),
                gevent.spawn(self._copy, pair, far, near),
            ]
        )
        self._pairs.discard(pair)
        near.close()
        far.close()

    def _copy(self, pair, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                if source is pair.far:
                    pair.observe(data)
                self._hold_up(len(data))
                self._forward(pair, sink, data)
            self._hold_up(0)
            if not pair.is_silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not pair.is_silent:
                pair.reset()

    def _forward(self, pair, sink, data):
        is_to_near = sink is pair.near
        if self.drops_to_near if is_to_near else self.drops_to_far:
            # What follows would not fit to what came before.
            pair.is_silent = True
        if pair.is_silent:
            return
        change = self._change_to_near if is_to_near else self._change_to_far
        sink.sendall(change(data) if change else data)

    def _hold_up(self, size):
        delay_s = self.delay_s
        if self.bytes_per_s:
            delay_s += size / self.bytes_per_s
        if delay_s:
            gevent.sleep(delay_s)


def _shut_down(sock, how):
    try:
        sock.shutdown(how)
    except OSError:
        pass
