"""The state dump: one JSON document over HTTP, on request."""

from gevent import pywsgi
import msgspec


def serve(listen, dump):
    """Serve what `dump` returns at `/state` on `listen`."""

    def application(environ, start_response):
        if environ['PATH_INFO'] != '/state':
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        body = encode(dump())
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    host, _, port = listen.rpartition(':')
    pywsgi.WSGIServer((host, int(port)), application, log=None).start()


def encode(document):
    """Return a state document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document)) + b'\n'
