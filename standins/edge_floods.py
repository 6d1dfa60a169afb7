"""Answers without end, as faulty engines send them.

Each case is a function that yields the bytes of an answer for ever; `send`
bounds what is sent by bytes and time, and resets the connection.

Example::

    pieces = edge_divisions.divide_endlessly(division, 'c1-7', 9, 0, rng)
    answer = Answer('c1-7.0', 'i-1.5.c1-7.0', 'c1-7', 'v1', pieces)
    send(sock, 'chunked', answer, seconds=3)
"""

import itertools
import time

import gevent

from standins import edge_bodies
from standins import raw_http

MAX_CONNECTION_BYTES = 64_000_000
BLOCK_BYTES = 16_384
EVENTS_A_BLOCK = 400
HUGE_LENGTH_BYTES = 10**12
TIMEOUT_S = 5.0
_BLOCK = b'x' * BLOCK_BYTES
_STREAM = ('Content-Type', 'text/event-stream')
_CLOSE = ('Connection', 'close')
_CHUNKED = ('Transfer-Encoding', 'chunked')


class Answer:
    """What is true in an answer: whose it is, and its events.

    `pieces` yields the edge_divisions.Pieces of its events without end.
    """

    __slots__ = ('request_id', 'stamp', 'key', 'version', 'pieces')

    def __init__(self, request_id, stamp, key, version, pieces):
        self.request_id = request_id
        self.stamp = stamp
        self.key = key
        self.version = version
        self.pieces = pieces

    def encode_head(self, *headers, status='200 OK'):
        """Return the head of a response to the request."""
        own = [('X-Request-Id', self.request_id)]
        if status.startswith('2'):
            own.append(('X-Response-Stamp', self.stamp))
            own.append(('X-Weight-Versions', '1'))
        return raw_http.encode(f'HTTP/1.1 {status}', [*own, *headers])


def _repeat(data):
    """Yield blocks that consist of `data`, without end."""
    block = data * max(1, BLOCK_BYTES // len(data))
    while True:
        yield block


def _send_body(answer):
    yield answer.encode_head(_CLOSE)
    yield from _repeat(_BLOCK)


def _send_chunks(answer):
    yield answer.encode_head(_CHUNKED)
    yield from _repeat(b'%x\r\n%s\r\n' % (BLOCK_BYTES, _BLOCK))


def _send_huge_length(answer):
    yield answer.encode_head(('Content-Length', str(HUGE_LENGTH_BYTES)))
    yield from _repeat(_BLOCK)


def _send_short_headers(answer):
    yield answer.encode_head()[:-2]
    yield from _repeat(b'a:b\r\n')


def _send_event(answer):
    yield answer.encode_head(_STREAM, _CLOSE)
    yield b'id: %d\ndata: ' % next(answer.pieces).number
    yield from _repeat(_BLOCK)


def _send_tiny_chunks(answer):
    yield answer.encode_head(_CHUNKED)
    yield from _repeat(b'1\r\nx\r\n')


def _send_interim_responses(_answer):
    yield from _repeat(b'HTTP/1.1 100 Continue\r\n\r\n')


def _send_foreign_responses(answer):
    other = [('X-Request-Id', f'other-{answer.request_id}')]
    yield from _repeat(raw_http.encode('HTTP/1.1 200 OK', other, b''))


def _send_comments(answer):
    yield answer.encode_head(_STREAM, _CLOSE)
    yield from _repeat(b':\n\n')


def _send_events(answer):
    yield answer.encode_head(_STREAM, _CLOSE)
    while True:
        pieces = itertools.islice(answer.pieces, EVENTS_A_BLOCK)
        yield b''.join(_make_event(answer, piece) for piece in pieces)


def _make_event(answer, piece):
    return edge_bodies.make_event(
        answer.key, answer.version, piece.number, piece.first, piece.last
    )


def _send_garbage(_answer):
    yield from _repeat(b'\x00\xff no response \n')


def _send_status_line(_answer):
    yield b'HTTP/1.1 200 '
    yield from _repeat(_BLOCK)


def _send_header(answer):
    yield answer.encode_head()[:-2] + b'X-Long: '
    yield from _repeat(_BLOCK)


def _send_chunk_extension(answer):
    yield answer.encode_head(_CHUNKED) + b'5;a='
    yield from _repeat(_BLOCK)


def _send_refusal(answer):
    yield answer.encode_head(
        ('X-Not-Run', '1'), _CLOSE, status='503 Service Unavailable'
    )
    yield from _repeat(_BLOCK)


# The cases by name, and for some the pause after each block, in seconds.
CASES = {
    'body': _send_body,
    'body-slow': _send_body,
    'chunked': _send_chunks,
    'length': _send_huge_length,
    'headers': _send_short_headers,
    'event-slow': _send_event,
    'event': _send_event,
    'tiny-chunks': _send_tiny_chunks,
    'interim': _send_interim_responses,
    'foreign': _send_foreign_responses,
    'comments': _send_comments,
    'events': _send_events,
    'garbage': _send_garbage,
    'status-line': _send_status_line,
    'header': _send_header,
    'extension': _send_chunk_extension,
    'refusal': _send_refusal,
    'health': _send_body,
}
_PAUSES_S = {'body-slow': 0.016, 'event-slow': 0.08}
# A faulty engine sends this in place of its health, and answers all else.
HEALTH = 'health'
# A refusal says that the request didn't run; all others have it begin.
REFUSAL = 'refusal'
# What the log says of a response that is a flood, in place of its framing.
FRAMING = 'flood'
# These begin as streams of events do.
STREAM_CASES = ('event-slow', 'event', 'comments', 'events')


def send(sock, case, answer, seconds):
    """Send an answer for some seconds or until the peer ends it."""
    until = time.monotonic() + seconds
    pause_s = _PAUSES_S.get(case, 0)
    sock.settimeout(max(seconds, TIMEOUT_S))
    left = MAX_CONNECTION_BYTES
    for data in CASES[case](answer):
        sock.sendall(data)
        left -= len(data)
        if left <= 0 or time.monotonic() > until:
            break
        gevent.sleep(pause_s)
