"""An engine that sends without end, and callers that ask it all the time.

    python -m standins.flooding_engine KIND LISTEN STORE ROUTER CALLERS

KIND is a key of FLOODS, LISTEN, STORE and ROUTER are IP:PORT.
"""

import sys
import time

import gevent
from gevent import socket

from standins import platform_documents
from standins import raw_http

INSTANCE = 'i-f100d'
HEARTBEAT_PAUSE_S = 0.5
PIECE_BYTES = 65_536
# A flood that isn't fast sends 1 MB/s on each connection.
PAUSE_S = 0.065
CALL_TIMEOUT_S = 10
# Callers that were refused come back after this long.
RETRY_S = 0.05
OUTPUT_TOKENS = 1_000_000

_HEAD = b'HTTP/1.1 200 -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
_STREAM = _HEAD + b'Content-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_OTHER = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: 77\r\nX-Response-Stamp: s\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


# By the kind of flood: what it begins with, what it repeats, and the pause.
FLOODS = {
    'body': (_HEAD + b'\r\n', b'a', 0),
    'slow-body': (_HEAD + b'\r\n', b'a', PAUSE_S),
    'chunks': (_HEAD + _CHUNKED, _chunk(b'a' * 10_000), 0),
    'length': (_HEAD + b'Content-Length: 9999999999\r\n\r\n', b'a', 0),
    'headers': (_HEAD, b'A: b\r\n', 0),
    'slow-event': (_STREAM + _CHUNKED, _chunk(b'a' * 30_000), PAUSE_S),
    'event': (_STREAM + _CHUNKED, _chunk(b'a' * 30_000), 0),
    'small-chunks': (_HEAD + _CHUNKED, _chunk(b'a'), 0),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 0),
    'others': (b'', _OTHER, 0),
    'comments': (_STREAM + _CHUNKED, _chunk(b':\n\n'), 0),
    'events': (_STREAM + _CHUNKED, _chunk(b'data: abcdefghij\n\n'), 0),
}


class FloodingEngine:
    """Answers each request with a flood of one kind."""

    def __init__(self, kind, listen):
        self._start, piece, self._pause_s = FLOODS[kind]
        self._piece = piece * max(1, PIECE_BYTES // len(piece))
        self._listen = listen
        self.born = int(time.time() * 1000)

    def serve(self, sock, _peer):
        """Answer the requests of one connection."""
        conn = raw_http.Connection(sock)
        try:
            while (message := conn.read_head()) is not None:
                conn.read_body(message)
                if message.first.split(' ')[1] in ('/report', '/health'):
                    body = b'{"Stage":"unified","Seq":0,"born":%d}' % self.born
                    sock.sendall(raw_http.encode_response(200, body))
                else:
                    self._flood(sock, message.get('x-request-id').encode())
        except (OSError, raw_http.Disconnected):
            pass
        finally:
            sock.close()

    def _flood(self, sock, request_id):
        start = self._start
        sock.sendall(start % request_id if b'%s' in start else start)
        while True:
            sock.sendall(self._piece)
            gevent.sleep(self._pause_s)

    def announce(self, store):
        """Write the engine's entry all the time."""
        entry = {
            'Service': platform_documents.MODEL_SERVICE,
            'Addr': self._listen,
            'Zone': platform_documents.ZONES[0],
            'Version': 'v1',
            'Slots': 1000,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 0,
            'born': self.born,
        }
        while True:
            entry['Seq'] += 1
            raw_http.call(store, 'PUT', f'/entries/{INSTANCE}', entry)
            gevent.sleep(HEARTBEAT_PAUSE_S)


def call_forever(router, name):
    """Make one request after another; read what comes and forget it."""
    count = 0
    while True:
        count += 1
        fields = platform_documents.make_request_headers(
            f'{name}.{count}', CALL_TIMEOUT_S * 1000
        )
        fields += platform_documents.make_model_headers(name, OUTPUT_TOKENS)
        first = 'POST /stream/tell/x HTTP/1.1'
        try:
            with socket.create_connection(raw_http.parse(router), 2) as sock:
                sock.settimeout(CALL_TIMEOUT_S)
                sock.sendall(raw_http.encode(first, fields, b''))
                _read(sock)
        except OSError:
            pass
        gevent.sleep(RETRY_S)


def _read(sock):
    """Read until the end of a flood, or a whole refusal."""
    conn = raw_http.Connection(sock)
    try:
        message = conn.read_head()
        for _ in conn.iter_body(message) if message else ():
            pass
    except raw_http.Disconnected:
        pass


def main(kind, listen, store, router, callers):
    """Serve and call until the process is killed."""
    engine = FloodingEngine(kind, listen)
    raw_http.listen(listen, engine.serve)
    for number in range(int(callers)):
        gevent.spawn(call_forever, router, f'f{number}')
    engine.announce(store)


if __name__ == '__main__':
    main(*sys.argv[1:])
