"""What all daemons do alike: start, logging, stop signals."""

import json
import logging as pylogging
import signal
import sys

from absl import flags
from absl import logging
import gevent
from gevent import event

from galenaspoke.conf import ini
from galenaspoke.utils import identity

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_REPLACED = 4

_stop = event.Event()

new_incarnation = identity.new_incarnation


def load_settings(path, program):
    """Return the checked settings, or end the process with what is wrong."""
    try:
        return ini.load(path, program)
    except ini.SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


class JsonFormatter(pylogging.Formatter):
    """Makes one JSON object of each log record."""

    def format(self, record):
        line = {
            'at': int(record.created * 1000),
            'level': record.levelname.lower(),
            'module': record.module,
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line)


def start_logging(cfg):
    """Log to standard error from level info on."""
    # Settings come from INI files; absl is told that no flags will come.
    flags.FLAGS(['galenaspoke'])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    if cfg.format == 'json':
        logging.get_absl_handler().setFormatter(JsonFormatter())


def serve(path, program, make):
    """Run a daemon: settings, start, wait for a signal, stop in order.

    `make` takes the checked settings and returns an object with `start` and
    `stop`, which returns the exit code.  Ends the process.
    """
    cfg = load_settings(path, program)
    start_logging(cfg.logging)
    daemon = make(cfg)
    try:
        daemon.start()
    except OSError as exc:
        logging.error('can not start: %s', exc)
        sys.exit(EXIT_START)
    until_stopped()
    sys.exit(daemon.stop())


def until_stopped():
    """Block until SIGTERM or SIGINT arrives."""
    gevent.signal_handler(signal.SIGTERM, _stop.set)
    gevent.signal_handler(signal.SIGINT, _stop.set)
    _stop.wait()


def request_stop():
    """Stop as if SIGTERM had arrived."""
    _stop.set()


def every(interval_ms, function, *args):
    """Spawn a greenlet that calls `function` again and again, for good.

    An error is logged and counts as that turn's end: the next turn comes.
    """
    return gevent.spawn(_repeat, interval_ms / 1000, function, args)


def _repeat(interval_s, function, args):
    while True:
        try:
            function(*args)
        except Exception:
            logging.exception('%s failed; will go on', function.__name__)
        gevent.sleep(interval_s)
