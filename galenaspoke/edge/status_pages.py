"""The pages of a router for load balancers and operators.

Example::

    application = make_application(is_ready, encode_metrics, dump)
    serve('10.1.0.40:8220', application)     # /ready, /metrics and /state
"""

from gevent import pywsgi

from galenaspoke.edge import settings as edge_settings
from galenaspoke.utils import state


def make_application(is_ready, encode_metrics, dump):
    """Return the WSGI application of the pages.

    `is_ready()` says whether callers may be sent here, `encode_metrics()`
    returns the metrics as bytes and `dump()` the state as a dict.
    """

    def application(environ, start_response):
        path = environ['PATH_INFO']
        if path == '/ready':
            status = '200 OK' if is_ready() else '503 Service Unavailable'
            start_response(status, [('Content-Length', '0')])
            return [b'']
        if path == '/metrics':
            body = encode_metrics()
        elif path == '/state':
            body = state.encode(dump())
        else:
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    return application


def serve(address, application):
    """Serve a WSGI application at IP:PORT in the background."""
    host, port = edge_settings.split_address(address)
    pywsgi.WSGIServer((host, port), application, log=None).start()


def dump_target(target):
    """Return the state of one target."""
    return {
        'service': target.entry.service,
        'version': target.entry.version,
        'leaving': target.entry.leaving,
        'in_flight': target.in_flight,
        'failure_share': target.health.failure_share,
        'limit_per_s': target.rate_limiter.limit_per_s,
        'event_ms': target.pace.event_ms,
        'tokens_per_ms': target.wait_estimator.tokens_per_ms,
    }
