"""Startup, logging, stop signals and periodic tasks of router and agent."""

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
EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
EXIT_REPLACED = 4

_stop_requested = event.Event()

new_incarnation = identity.new_incarnation


def load_settings(path, config_class):
    """Return the validated settings, or print the problems and exit."""
    try:
        return ini.load(path, config_class)
    except ini.SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)


class JsonFormatter(pylogging.Formatter):
    """Formats each log record as one JSON object on one line."""

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
    """Log to standard error, at level info and above."""
    # Settings come from INI files, so absl gets an empty command line.
    flags.FLAGS(['galenaspoke'])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    if cfg.format == 'json':
        logging.get_absl_handler().setFormatter(JsonFormatter())


def serve(path, config_class, create_daemon):
    """Run a daemon until a stop signal, then exit the process.

    `create_daemon` takes the validated settings and returns an object with
    the methods `start` and `stop`; `stop` returns the exit code.
    """
    cfg = load_settings(path, config_class)
    start_logging(cfg.logging)
    process = create_daemon(cfg)
    try:
        process.start()
    except OSError as exc:
        logging.error('could not start: %s', exc)
        sys.exit(EXIT_START_FAILED)
    wait_for_stop()
    sys.exit(process.stop())


def wait_for_stop():
    """Block until SIGTERM or SIGINT arrives."""
    gevent.signal_handler(signal.SIGTERM, _stop_requested.set)
    gevent.signal_handler(signal.SIGINT, _stop_requested.set)
    _stop_requested.wait()


def request_stop():
    """Stop the daemon as if SIGTERM had arrived."""
    _stop_requested.set()


def run_periodically(interval_ms, function, *args):
    """Spawn a greenlet that calls `function` periodically; return it.

    It sleeps `interval_ms` after each call.  An exception is logged and does
    not stop later calls.
    """
    return gevent.spawn(_repeat, interval_ms / 1000, function, args)


def _repeat(interval_s, function, args):
    while True:
        try:
            function(*args)
        except Exception:
            logging.exception(
                'periodic task %s failed; it will run again', function.__name__
            )
        gevent.sleep(interval_s)
