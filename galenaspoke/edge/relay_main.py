"""galenaspoke-relay: relays calls to the store for routers.

It runs beside a target and gives routers that are cut off from the store a
second path to it.  It also watches the store for many of them at once.  It
keeps no state and handles no callers' requests.
"""

from galenaspoke.utils import early_signals  # noqa: F401, H306

import signal

import click
import gevent
from gevent import event
from gevent import pywsgi

from galenaspoke.core import clock as clocks
from galenaspoke.edge import journal as journals
from galenaspoke.edge.membership import relay_discovery
from galenaspoke.edge import metrics as edge_metrics
from galenaspoke.edge import settings as edge_settings
from galenaspoke.edge import startup
from galenaspoke.http import buffers
from galenaspoke.platform import store as platform_store
from galenaspoke.store import feeds
from galenaspoke.store import paths as store_paths
from galenaspoke.store import relaying
from galenaspoke.store import relays
from galenaspoke.utils import allocator

# How long a stop waits for writes, whose senders don't wait much longer.
STOP_TIMEOUT_S = platform_store.CALL_TIMEOUT_S


def serve(cfg):
    """Relay calls until a signal requests the shutdown."""
    allocator.map_large_blocks()
    buffers.process_account.limit_bytes = buffers.compute_limit_bytes(
        cfg.memory_mb
    )
    clock = clocks.Clock()
    journal = journals.Journal(clock)
    metrics = edge_metrics.Metrics()
    paths = store_paths.StorePaths(
        cfg.store, platform_store.probe_url_path(relays.KIND), clock, journal
    )
    store = platform_store.Client(paths, metrics, clock, journal)
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    # The settings are read only at the start; this keeps SIGHUP from ending
    # the process.
    gevent.signal_handler(signal.SIGHUP, journal.note, 'reload')
    address = edge_settings.split_address(cfg.peer_listen)
    calls = relaying.RelayedCalls()
    application = _make_app(paths, calls)
    pywsgi.WSGIServer(address, application, log=None).start()
    # This process is dedicated: it serves no callers.
    gevent.spawn(
        relay_discovery.run, cfg, store, paths, journal, is_dedicated=True
    )
    journal.note('start', name=cfg.name, listen=cfg.peer_listen)
    stopping.wait()
    calls.wait_for_writes(STOP_TIMEOUT_S)
    journal.note('stopped')


def _make_app(paths, calls):
    """Return the application that relays calls and shares watches."""
    headers = (platform_store.ERA_HEADER,)
    relay_app = relaying.make_relay_app(paths, headers, calls)
    feed_app = feeds.make_feed_app(paths.call_direct, headers)

    def application(environ, start_response):
        is_feed = environ['PATH_INFO'].startswith(feeds.FEED_PREFIX)
        return (feed_app if is_feed else relay_app)(environ, start_response)

    return application


@click.command()
@click.option('--settings', default=None, help='The settings file.')
def main(settings):
    """Relay calls to the store for routers that are cut off from it."""
    serve(startup.load_settings_or_exit(settings, serves_callers=False))


if __name__ == '__main__':
    main()
