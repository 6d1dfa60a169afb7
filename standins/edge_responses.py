"""Writes the response of a run of an edge engine, as its plan says."""

import select

import gevent

from standins import edge_plans
from standins import raw_http

PIECE_INTERVAL_S = 0.03
FIRST_PIECE_S = 0.05
# How long a response that is left keeps its connection.
LEFT_S = 20
SPLIT_PIECE_SHARE = 0.05
_GARBAGE = b'\x00\xff these bytes are no response \n' * 4
_BAD_CHUNK = b'no size\r\n' + _GARBAGE


class EarlyEnd(Exception):
    """A response ends early, in the way that its plan says."""


class Writer:
    """Writes a response to a socket, and keeps what was written."""

    __slots__ = ('written', '_sock', '_rng')

    def __init__(self, sock, rng):
        self.written = []
        self._sock = sock
        self._rng = rng

    def write_response(self, run, version, headers):
        """Write the response of a run; raise EarlyEnd if it ends early."""
        pieces = run.list_pieces(version)
        gevent.sleep(FIRST_PIECE_S)
        if run.plan.ending == edge_plans.GARBAGE:
            self._sock.sendall(_GARBAGE)
            raise EarlyEnd
        self._write(_encode_head(run, pieces, headers))
        for number, piece in enumerate(pieces, run.first):
            if run.plan.ending != edge_plans.WHOLE and number >= run.plan.at:
                self._end_early(run.plan.ending)
            gevent.sleep(PIECE_INTERVAL_S)
            self._write_piece(run.plan.framing, piece)
            run.sent += 1
        if run.plan.framing == 'chunked':
            self._write(b'0\r\n\r\n')
        if run.plan.extra == edge_plans.SURPLUS:
            self._sock.sendall(_GARBAGE)
        elif run.plan.extra == edge_plans.AGAIN:
            self._sock.sendall(b''.join(self.written))

    def _write(self, data):
        self.written.append(data)
        self._sock.sendall(data)

    def _end_early(self, ending):
        if ending == 'left':
            select.select([self._sock], [], [], LEFT_S)
        if ending == edge_plans.BAD_CHUNK:
            self._sock.sendall(_BAD_CHUNK)
        raise EarlyEnd

    def _write_piece(self, framing, piece):
        data = piece
        if framing == 'chunked':
            data = b'%x\r\n%s\r\n' % (len(piece), piece)
        if self._rng.random() < SPLIT_PIECE_SHARE:
            half = len(data) // 2
            self._write(data[:half])
            gevent.sleep(PIECE_INTERVAL_S)
            data = data[half:]
        self._write(data)


def _encode_head(run, pieces, headers):
    kind = 'text/event-stream' if run.is_stream else 'text/plain'
    own = [_make_framing_header(run.plan.framing, pieces)]
    own.append(('Content-Type', kind))
    return raw_http.encode('HTTP/1.1 200 OK', [*headers, *own])


def _make_framing_header(framing, pieces):
    if framing == 'length':
        return 'Content-Length', str(sum(map(len, pieces)))
    if framing == 'chunked':
        return 'Transfer-Encoding', 'chunked'
    return 'Connection', 'close'
