"""Stand-in for an application service, some of whose calls must run once.

Each call is logged when it takes effect.  `POST /control` makes it slow or
makes it lose answers after the effect.
"""

import click
import gevent
import msgspec

from standins import common


class Application:
    """The WSGI application."""

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
                raise ConnectionResetError('answer lost on purpose')
            answer = {'answer': f'{call["prompt"]} done #{self._effects}'}
            body = msgspec.json.encode(answer)
            return common.reply(start_response, 200, body)
        finally:
            self._running -= 1


@click.command()
@click.option('--listen', required=True)
@click.option('--log', default='')
def main(listen, log):
    """Serve an application on LISTEN."""
    common.serve(listen, Application(common.EventLog(log)))
