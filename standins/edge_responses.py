"""Writes the response of a run of an edge engine, as its plan says."""

import gevent
from gevent import select

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

    def write_response(self, run, version, headers, weights=1):
        """Write the response of a run; raise EarlyEnd if it ends early."""
        parts = run.list_parts(version, weights)
        gevent.sleep(FIRST_PIECE_S)
        if run.plan.ending in edge_plans.WITHOUT_RESPONSE:
            self._answer_otherwise(run, parts)
            raise EarlyEnd
        self._write(_encode_head(run, parts, headers))
        self._write_parts(run, parts)
        if run.plan.framing == 'chunked':
            self._write(b'0\r\n\r\n')
        if run.plan.extra == edge_plans.SURPLUS:
            self._sock.sendall(_GARBAGE)
        elif run.plan.extra in (edge_plans.AGAIN, edge_plans.WITHIN):
            self._sock.sendall(b''.join(self.written))

    def _write_parts(self, run, parts):
        for index, part in enumerate(parts):
            if run.plan.ending != edge_plans.WHOLE and index >= run.plan.at:
                self._end_early(run.plan, part)
            _work_on(part)
            self._write_part(run.plan.framing, part.data)
            run.sent += 1
            run.sent_tokens += part.tokens

    def _answer_otherwise(self, run, parts):
        """Do what the plan says in place of a response."""
        ending = run.plan.ending
        if ending in (*edge_plans.LOST_ENDS, edge_plans.ERROR):
            for part in parts:
                _work_on(part)
        if ending == edge_plans.GARBAGE:
            self._sock.sendall(_GARBAGE)
        elif ending == edge_plans.ERROR:
            own_id = [('X-Request-Id', run.id)]
            self._sock.sendall(raw_http.encode_response(500, b'', own_id))
        elif ending in (edge_plans.LOST, edge_plans.HANG):
            self._wait_for_peer()

    def _wait_for_peer(self):
        """Return once the peer ends the connection, or after a long time."""
        select.select([self._sock], [], [], LEFT_S)

    def _write(self, data):
        self.written.append(data)
        self._sock.sendall(data)

    def _end_early(self, plan, part):
        if plan.ending == edge_plans.LEFT:
            self._wait_for_peer()
        if plan.ending == edge_plans.BAD_CHUNK:
            self._sock.sendall(_BAD_CHUNK)
        if plan.ending == edge_plans.HALF:
            self._write_part(plan.framing, part.data[: len(part.data) // 2])
        raise EarlyEnd

    def _write_part(self, framing, data):
        if framing == 'chunked':
            data = b'%x\r\n%s\r\n' % (len(data), data)
        if self._rng.random() < SPLIT_PIECE_SHARE:
            half = len(data) // 2
            self._write(data[:half])
            gevent.sleep(PIECE_INTERVAL_S)
            data = data[half:]
        self._write(data)


def _work_on(part):
    """Take the time that a part takes."""
    gevent.sleep(PIECE_INTERVAL_S + part.pause_s)


def _encode_head(run, parts, headers):
    kind = 'text/event-stream' if run.is_stream else 'text/plain'
    own = [_make_framing_header(run.plan.framing, parts)]
    own.append(('Content-Type', kind))
    return raw_http.encode('HTTP/1.1 200 OK', [*headers, *own])


def _make_framing_header(framing, parts):
    if framing == 'length':
        return 'Content-Length', str(sum(len(part.data) for part in parts))
    if framing == 'chunked':
        return 'Transfer-Encoding', 'chunked'
    return 'Connection', 'close'
