"""What the stand-ins share: an HTTP server, JSON, and a log of the truth."""

import sys
import time

import gevent
from gevent import pywsgi
import msgspec

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Too Large',
    429: 'Too Many Requests',
    503: 'Service Unavailable',
}


class EventLog:
    """Appends what happened to a file, one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, 'ab', buffering=0) if path else None

    def write(self, **fields):
        """Add one line."""
        if self._file:
            fields['at'] = time.time_ns() // 1_000_000
            self._file.write(msgspec.json.encode(fields) + b'\n')


def reply(start_response, status, body=b'', headers=()):
    """Send a whole answer."""
    line = f'{status} {REASONS[status]}'
    length = ('Content-Length', str(len(body)))
    start_response(line, [length, *headers])
    return [body]


def read_body(environ):
    """Return the request's body as bytes."""
    return environ['wsgi.input'].read()


def read_json(environ):
    """Return the request's JSON body, an empty dict if there is none."""
    raw = read_body(environ)
    return msgspec.json.decode(raw) if raw else {}


def serve(listen, application):
    """Serve a WSGI application for good."""
    host, _, port = listen.rpartition(':')
    gevent.signal_handler(15, sys.exit, 0)
    server = pywsgi.WSGIServer((host, int(port)), application, log=None)
    server.serve_forever()
