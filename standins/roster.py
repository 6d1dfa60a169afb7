"""Stand-in for the platform's list of instances, which lags behind.

`POST /control` sets the list; the change becomes visible `lag_ms` later.
"""

import click
import gevent
import msgspec

from standins import common


class Roster:
    """WSGI application of the list of instances."""

    def __init__(self, lag_ms):
        self._lag_s = lag_ms / 1000
        self._instances = []

    def __call__(self, environ, start_response):
        if environ['PATH_INFO'] == '/control':
            instances = common.read_json(environ)
            gevent.spawn_later(self._lag_s, self._make_visible, instances)
            return common.reply(start_response, 200)
        body = msgspec.json.encode(self._instances)
        return common.reply(start_response, 200, body)

    def _make_visible(self, instances):
        self._instances = instances


@click.command()
@click.option('--listen', required=True)
@click.option('--lag-ms', default=1000)
def main(listen, lag_ms):
    """Serve the list of instances on LISTEN."""
    common.serve(listen, Roster(lag_ms))
