"""Shared parts of the stand-ins: HTTP server, JSON bodies, event log."""

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
    """Append-only file of events, one JSON object a line.

    Without a path, events are discarded.
    """

    def __init__(self, path):
        self._file = open(path, 'ab', buffering=0) if path else None

    def write(self, **fields):
        """Append one event, stamped with the Unix time in milliseconds."""
        if self._file:
            fields['at'] = time.time_ns() // 1_000_000
            self._file.write(msgspec.json.encode(fields) + b'\n')


def reply(start_response, status, body=b'', headers=()):
    """Start a response with a complete body, and return the body."""
    line = f'{status} {REASONS[status]}'
    length = ('Content-Length', str(len(body)))
    start_response(line, [length, *headers])
    return [body]


def read_body(environ):
    """Return the body of the request as bytes."""
    return environ['wsgi.input'].read()


def read_json(environ):
    """Return the decoded JSON body of the request, or {} if it is empty."""
    raw = read_body(environ)
    return msgspec.json.decode(raw) if raw else {}


def serve(listen, application):
    """Serve a WSGI application on IP:PORT until SIGTERM."""
    host, _, port = listen.rpartition(':')
    gevent.signal_handler(15, sys.exit, 0)
    server = pywsgi.WSGIServer((host, int(port)), application, log=None)
    server.serve_forever()
