"""galenaspoke-edge: the edge router, on the data path of a platform."""

from galenaspoke.utils import early_signals  # noqa: F401, H306

import dataclasses
import math
import signal
import sys

import click
import gevent
from gevent import event

from galenaspoke.core import clock as clocks
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.crashes import suspect_sharing
from galenaspoke.edge import journal as journals
from galenaspoke.edge.membership import eras as edge_eras
from galenaspoke.edge.membership import members as edge_members
from galenaspoke.edge.membership import pace_sharing
from galenaspoke.edge.membership import peer_server
from galenaspoke.edge import metrics as edge_metrics
from galenaspoke.edge.money import budgets as edge_budgets
from galenaspoke.edge.money import loan_protocol
from galenaspoke.edge.serving import admission
from galenaspoke.edge.serving import caller_server
from galenaspoke.edge.serving import request_handler
from galenaspoke.edge.serving import retries
from galenaspoke.edge import settings as edge_settings
from galenaspoke.edge import startup
from galenaspoke.edge import status_pages
from galenaspoke.edge.streams import version_tracking
from galenaspoke.edge.views import config_view as config_views
from galenaspoke.edge.views import evacuation_view
from galenaspoke.edge.views import target_view as target_views
from galenaspoke.edge.views import watchers
from galenaspoke.http import buffers
from galenaspoke.http import listening
from galenaspoke.platform import configuration
from galenaspoke.platform import evacuations
from galenaspoke.platform import headers
from galenaspoke.platform import reports
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import feeds
from galenaspoke.store import paths as store_paths
from galenaspoke.store import relays
from galenaspoke.store import unreadable
from galenaspoke.utils import allocator

EXIT_OK = 0
# Idle connections stay open this long after the start of the shutdown: a load
# balancer needs the time to notice that the router isn't ready any more.
BALANCER_DELAY_MS = 2_500
# Until this long after the start of the shutdown all requests are accepted,
# even if their deadline is after the end of the process.
ACCEPT_ALL_MS = 2_800
# The process abandons open requests this long before its grace period ends.
GRACE_MARGIN_MS = 700
# How long callers get to read the responses to requests that are abandoned.
ABANDON_TIMEOUT_MS = 200
# How long writes that are relayed for other routers get to be answered.
RELAYED_CALLS_TIMEOUT_S = 0.2
STOP_POLL_INTERVAL_S = 0.05


class EdgeRouter:
    """One edge router and all its components."""

    def __init__(self, cfg, metrics_port, settings_path=None):
        self.cfg = cfg
        # Where the settings were read, None for the platform's default.
        self._settings_path = settings_path
        self.clock = clocks.Clock()
        self.metrics = edge_metrics.Metrics()
        self.journal = journals.Journal(self.clock)
        self._metrics_port = metrics_port
        allocator.map_large_blocks()
        buffers.process_account.limit_bytes = buffers.compute_limit_bytes(
            cfg.memory_mb
        )
        self._stopping = event.Event()
        self.poison_detector = poison.PoisonDetector(self.clock, self.journal)
        self.callers = caller_server.CallerServer(
            lambda: self.config_view.catalog.limits,
            lambda req, caller: self.request_handler.handle(req, caller),
            self.clock,
            self.metrics,
        )
        paths = store_paths.StorePaths(
            cfg.store,
            platform_store.probe_url_path(relays.KIND),
            self.clock,
            self.journal,
        )
        store_feeds = feeds.Feeds(
            cfg.name,
            self.clock,
            lambda: self._members.routers.get_count(),
            paths.live,
        )
        store = platform_store.Client(
            paths,
            self.metrics,
            self.clock,
            self.journal,
            store_feeds,
        )
        self._store = store
        history_gone_error = platform_store.HistoryGone
        self.config_view = config_views.ConfigView(
            store, self.clock, self.journal, configuration, history_gone_error
        )
        self.target_view = target_views.TargetView(
            store,
            self.clock,
            self.journal,
            target_entries,
            lambda: self.config_view.catalog.services,
            history_gone_error,
            self.poison_detector.record_target_down,
            lambda key, count: self._members.routers.get_share(key, count),
        )
        self._evacuation_view = None
        if cfg.evacuation_ms:
            self._follow_evacuations(store, history_gone_error)
        self._unreadable_suspects = unreadable.UnreadableObjects(
            'suspects.unreadable', self.journal
        )
        self._suspect_watcher = watchers.Watcher(
            lambda: store.scope(suspect_sharing.KIND),
            store,
            self.clock,
            self.journal,
            lambda items: [self._merge_suspects(item) for item in items],
            lambda change: self._merge_suspects(change.item),
            history_gone_error,
        )
        self._eras = edge_eras.Eras(store)
        self._members = edge_members.Members(
            cfg,
            store,
            self._eras,
            self.clock,
            self.journal,
            lambda: self.config_view.catalog.generation,
            self.config_view.set_required_generation,
        )
        self.poison_detector.get_turn = self._members.routers.get_turn
        self.budget_manager = edge_budgets.BudgetManager(
            cfg,
            store,
            self._eras,
            self._members,
            self.clock,
            self.metrics,
            self.journal,
            lambda: self.config_view.catalog,
            loan_protocol.LoanClient(),
        )
        self.admission = admission.Admission(
            self.config_view, self.poison_detector, headers
        )
        self._peer_server = peer_server.PeerServer(
            cfg, store, paths, store_feeds, self.journal
        )
        self._versions = version_tracking.VersionTracking(
            cfg,
            store,
            self._members,
            self.target_view,
            self._peer_server.datagrams.send,
            self.clock,
            self.journal,
        )
        self._pace_sharing = pace_sharing.PaceSharing(
            self.target_view.directory,
            self._members.routers,
            self._peer_server.datagrams.send,
        )
        self.request_handler = request_handler.RequestHandler(
            cfg,
            self.admission,
            self.config_view,
            self.target_view,
            self.budget_manager,
            retries.RetryBudget(
                cfg, self.clock, self._members.routers.get_count
            ),
            self.poison_detector,
            self._versions.resumption,
            headers,
            reports,
            self.clock,
            self.metrics,
            self.journal,
        )
        self._server = None

    def _follow_evacuations(self, store, history_gone_error):
        """Send nothing until it is known which domains are evacuated."""
        directory = self.target_view.directory

        def apply(domains):
            directory.evacuated_domains = domains

        directory.evacuated_domains = None
        self._evacuation_view = evacuation_view.EvacuationView(
            store,
            self.clock,
            self.journal,
            evacuations,
            history_gone_error,
            apply,
        )

    def start(self):
        """Start the background tasks and listen."""
        if self._evacuation_view is not None:
            gevent.spawn(self._evacuation_view.sweep)
        for watcher in self._list_watchers():
            self._store.add_era_listener(watcher.restart)
            gevent.spawn(watcher.run)
        # Until the list of routers has been read.
        self.config_view.set_required_generation(math.inf)
        self.config_view.add_listener(self.target_view.redecode)
        self.config_view.add_listener(self.budget_manager.apply_new_limits)
        self.config_view.add_listener(
            self.request_handler.charges.apply_new_catalog
        )
        gevent.spawn(self.target_view.sweep)
        gevent.spawn(self.request_handler.end_checker.watch_stalls)
        self._versions.start(
            lambda: self.config_view.catalog.resumable_services
        )
        gevent.spawn(
            suspect_sharing.run_publisher,
            self.cfg.name,
            self._store,
            self._eras,
            self.poison_detector,
            self.journal,
            self.clock,
        )
        gevent.spawn(poison.run_expiry, self.poison_detector)
        self.budget_manager.start()
        gevent.spawn(self._members.run)
        host, port = edge_settings.split_address(self.cfg.listen)
        self._server = listening.serve(host, port, self.callers.serve)
        application = status_pages.make_application(
            self.is_ready,
            lambda: self.metrics.encode(self._gauges()),
            self.dump,
        )
        status_pages.serve(self.cfg.ready_listen, application)
        if self._metrics_port:
            status_pages.serve(f'{host}:{self._metrics_port}', application)
        if self.cfg.peer_listen:
            self._peer_server.start(
                loan_protocol.make_lending_app(self.budget_manager),
                self._versions,
                self._pace_sharing,
            )
        self.journal.note('start', name=self.cfg.name, listen=self.cfg.listen)

    def _list_watchers(self):
        watched = [
            self.config_view.watcher,
            self.target_view.watcher,
            self._suspect_watcher,
        ]
        if self._evacuation_view is not None:
            watched.append(self._evacuation_view.watcher)
        return watched

    def _merge_suspects(self, item):
        if suspect_sharing.merge_suspects(self.poison_detector, item):
            self._unreadable_suspects.forget(item.key)
        else:
            self._unreadable_suspects.note(item.key, 'no suspects')

    def is_ready(self):
        """Return whether load balancers may send callers to this router."""
        is_initialized = self.config_view.has_config() and all(
            watcher.revision for watcher in self._list_watchers()
        )
        return bool(is_initialized and not self._stopping.is_set())

    def stop(self):
        """Shut down gracefully; return the exit code.

        Open requests get until GRACE_MARGIN_MS before the end of the grace
        period.  Those left then are refused, and unspent prepaid tokens are
        returned.
        """
        started_at = self.clock.now()
        self._stopping.set()
        self.journal.note('stop', open=self.request_handler.open_request_count)
        deadline = started_at + self.cfg.grace_ms - GRACE_MARGIN_MS
        self.admission.begin_shutdown(started_at + ACCEPT_ALL_MS, deadline)
        self._wait_until(started_at + BALANCER_DELAY_MS, lambda: False)
        self._close_idle_connections()
        self._wait_until(deadline, lambda: not self.callers.connections)
        listening.finish_accepting(self._server)
        self._wait_until(deadline, lambda: not self.callers.connections)
        self._abandon_open_requests()
        self.budget_manager.close()
        self._members.unregister()
        self._peer_server.relayed_calls.wait_for_writes(
            RELAYED_CALLS_TIMEOUT_S
        )
        self.journal.note(
            'stopped',
            open=self.request_handler.open_request_count,
            ms=self.clock.now() - started_at,
        )
        return EXIT_OK

    def _close_idle_connections(self):
        closed, busy = self.callers.close_idle()
        self.journal.note('stop.idle_closed', closed=closed, busy=busy)

    def _abandon_open_requests(self):
        """Answer the requests that are still open; accept no more."""
        self.admission.begin_shutdown(-math.inf, -math.inf)
        self.request_handler.abandon_open_requests()
        gevent.sleep(0)
        # Callers that read slowly.
        self._wait_until(
            self.clock.now() + ABANDON_TIMEOUT_MS,
            lambda: not self.request_handler.open_request_count,
        )

    def _wait_until(self, deadline, is_done):
        while self.clock.now() < deadline and not is_done():
            gevent.sleep(STOP_POLL_INTERVAL_S)

    def run(self):
        """Serve until a signal requests the shutdown; return the exit code."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.start()
        self._stopping.wait()
        return self.stop()

    def _reload(self):
        startup.check_settings(self._settings_path, self.cfg, self.journal)

    def _gauges(self):
        return {
            'open': self.request_handler.open_request_count,
            'connections': len(self.callers.connections),
            'lines_shed': self.journal.dropped_lines,
            'held_bytes': buffers.process_account.held_bytes,
            'held_cut': buffers.process_account.cut_count,
            'generation': self.config_view.catalog.generation,
            'ready': int(self.is_ready()),
        }

    def dump(self):
        """Return the router's state, for operators and tools."""
        directory = self.target_view.directory
        return {
            'name': self.cfg.name,
            **self._gauges(),
            'money': self.budget_manager.dump(),
            'poison': self.poison_detector.dump(),
            'versions': self._versions.record.dump(),
            'targets': {
                target_id: status_pages.dump_target(directory.get(target_id))
                for target_id in directory.list_ids()
            },
        }


@click.command()
@click.option('--settings', default=None, help='The settings file.')
@click.option(
    '--metrics-port',
    default=0,
    help='The port for /metrics, /ready and /state; 0 for none.',
)
@click.option(
    '--accept-closed-streams/--no-accept-closed-streams',
    default=False,
    help='Take a stream without a length as whole if its target closes it.',
)
@click.option(
    '--doubt-closed-streams/--no-doubt-closed-streams',
    default=False,
    help='Take one as whole only if something shows that it was the end.',
)
def main(settings, metrics_port, accept_closed_streams, doubt_closed_streams):
    """Run the edge router."""
    if accept_closed_streams and doubt_closed_streams:
        raise click.UsageError(
            'closed streams can be accepted or doubted, not both'
        )
    cfg = dataclasses.replace(
        startup.load_settings_or_exit(settings),
        accept_closed_streams=accept_closed_streams,
        doubt_closed_streams=doubt_closed_streams,
    )
    sys.exit(EdgeRouter(cfg, metrics_port, settings).run())


if __name__ == '__main__':
    main()
