"""HTTP endpoint that serves a process's state dump as JSON."""

from gevent import pywsgi
import msgspec

from galenaspoke.utils import bounded_wsgi


def serve(listen, get_state):
    """Serve the result of `get_state()` at `/state` on `listen` (IP:PORT)."""

    def application(environ, start_response):
        if environ['PATH_INFO'] != '/state':
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        body = encode(get_state())
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    host, _, port = listen.rpartition(':')
    pywsgi.WSGIServer(
        (host, int(port)),
        application,
        log=None,
        handler_class=bounded_wsgi.Handler,
    ).start()


def encode(document):
    """Return a state document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document)) + b'\n'
