"""Stand-in for an application service with calls that must run at most once.

Each call is logged when it takes effect.  `POST /control` sets faults:
`slow_ms` delays each call; `lose_answers` is the number of calls that fail
after their effect instead of returning their response.
"""

import click
import gevent
import msgspec

from standins import common


class Application:
    """WSGI application of the application service."""

    def __init__(self, log):
        self._log = log
        self._faults = {'slow_ms': 0, 'lose_answers': 0}
        self._running = 0
        self._effects = 0

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/control':
            self._faults.update(common.read_json(environ))
            return common.reply(start_response, 200)
        if path == '/load':
            load = {'running': self._running, 'waiting': 0, 'life': 0}
            body = msgspec.json.encode(load)
            return common.reply(start_response, 200, body)
        call = common.read_json(environ)
        self._running += 1
        try:
            gevent.sleep(self._faults['slow_ms'] / 1000)
            self._effects += 1
            self._log.write(what='effect', **call)
            if self._faults['lose_answers'] > 0:
                self._faults['lose_answers'] -= 1
                raise ConnectionResetError(
                    'response dropped: lose_answers is set'
                )
            document = {'answer': f'{call["prompt"]} done #{self._effects}'}
            body = msgspec.json.encode(document)
            return common.reply(start_response, 200, body)
        finally:
            self._running -= 1


@click.command()
@click.option('--listen', required=True)
@click.option('--log', default='')
def main(listen, log):
    """Serve the application service on LISTEN."""
    common.serve(listen, Application(common.EventLog(log)))
