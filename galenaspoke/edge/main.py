"""galenaspoke-edge: the router on the data path, on a platform's machines."""

import signal
import sys

import click
import gevent
from gevent import event
from gevent import pywsgi
from gevent import server as gevent_server
from gevent import socket

from galenaspoke.core import clock as clocks
from galenaspoke.edge import admission
from galenaspoke.edge import caller_connections
from galenaspoke.edge import watchers
from galenaspoke.edge import journal as journals
from galenaspoke.edge import loan_protocol
from galenaspoke.edge import metrics as edge_metrics
from galenaspoke.edge import poison
from galenaspoke.edge import budgets as edge_budgets
from galenaspoke.edge import retries
from galenaspoke.edge import fleet_size as rosters
from galenaspoke.edge import relay_discovery
from galenaspoke.edge import request_handler as services
from galenaspoke.edge import settings as edge_settings
from galenaspoke.edge import startup
from galenaspoke.edge import views
from galenaspoke.http import messages
from galenaspoke.platform import configuration
from galenaspoke.platform import headers
from galenaspoke.platform import settings as platform_settings
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import paths as store_paths
from galenaspoke.store import relays
from galenaspoke.utils import state

EXIT_OK = 0
BACKLOG = 1024
# A balancer needs so long to see that this router isn't ready.
UNREADY_MS = 2_500
# Requests that may outlast the process are taken for so long after it was told
# to stop.
TAKE_MS = 2_800
# So long before the end of its grace the process gives up what is open.
GRACE_MARGIN_MS = 700
STOP_POLL_S = 0.05


class Edge:
    """One edge router."""

    def __init__(self, cfg, metrics_port):
        self.cfg = cfg
        self.clock = clocks.Clock()
        self.metrics = edge_metrics.Metrics()
        self.journal = journals.Journal(self.clock)
        self._metrics_port = metrics_port
        self._stopping = event.Event()
        self.poison_detector = poison.PoisonDetector(self.clock)
        self._connections = set()
        self._paths = store_paths.StorePaths(
            cfg.store,
            platform_store.cheap_path(relays.KIND),
            self.clock,
            self.journal,
        )
        store = platform_store.Client(self._paths, self.metrics)
        self._store = store
        gone = platform_store.HistoryGone
        self.config = views.ConfigView(
            store, self.clock, self.journal, configuration, gone
        )
        self.targets = views.TargetView(
            store,
            self.clock,
            self.journal,
            target_entries,
            lambda: self.config.catalog.services,
            gone,
            self.poison_detector.record_target_down,
        )
        self._suspects = watchers.Watcher(
            poison.KIND,
            store,
            self.clock,
            self.journal,
            lambda items: [self._hear(item) for item in items],
            lambda change: self._hear(change.item),
            gone,
        )
        self.budget_manager = edge_budgets.BudgetManager(
            cfg,
            store,
            self.clock,
            self.metrics,
            self.journal,
            lambda: self.config.catalog,
            loan_protocol.LoanClient(),
        )
        self.roster = rosters.FleetSize(cfg.name, store, self.journal)
        self.admission = admission.Admission(
            self.config, self.poison_detector, headers
        )
        self.service = services.Service(
            cfg,
            self.admission,
            self.config,
            self.targets,
            self.budget_manager,
            retries.RetryBudget(cfg, self.clock, self.roster.routers),
            self.poison_detector,
            headers,
            self.clock,
            self.metrics,
            self.journal,
        )
        self._server = None

    def startup(self):
        """Listen, and begin to follow the store."""
        self.config.listen(self.targets.decode_again)
        self.config.listen(self.budget_manager.apply_new_limits)
        gevent.spawn(self.config.watcher.run)
        gevent.spawn(self.targets.watcher.run)
        gevent.spawn(self.targets.sweep)
        gevent.spawn(self._suspects.run)
        gevent.spawn(
            poison.run_publisher,
            self.cfg.name,
            self._store,
            self.poison_detector,
            self.journal,
        )
        gevent.spawn(poison.run_expiry, self.poison_detector)
        self.budget_manager.start()
        gevent.spawn(self.roster.keep)
        host, port = edge_settings.split_address(self.cfg.listen)
        listener = _listen(host, port)
        self._server = gevent_server.StreamServer(listener, self._handle)
        self._server.start()
        _serve(self.cfg.ready_listen, self._state)
        if self._metrics_port:
            _serve(f'{host}:{self._metrics_port}', self._state)
        if self.cfg.peer_listen:
            self._serve_peers()
        self.journal.note('start', name=self.cfg.name, listen=self.cfg.listen)

    def _hear(self, item):
        if not item.key.endswith(f'/{self.cfg.name}'):
            poison.merge_suspects(self.poison_detector, item)

    def _serve_peers(self):
        relay = store_paths.make_relay_app(self._paths)
        lend = loan_protocol.application(self.budget_manager)

        def application(environ, start_response):
            relayed = environ['PATH_INFO'].startswith(store_paths.RELAY_PREFIX)
            return (relay if relayed else lend)(environ, start_response)

        _serve(self.cfg.peer_listen, application)
        gevent.spawn(
            relay_discovery.keep,
            self.cfg,
            self._store,
            self._paths,
            self.journal,
        )

    def _state(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/ready':
            ready = self.ready()
            status = '200 OK' if ready else '503 Service Unavailable'
            start_response(status, [('Content-Length', '0')])
            return [b'']
        if path == '/metrics':
            body = self.metrics.text(self._gauges())
        elif path == '/state':
            body = state.encode(self.dump())
        else:
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    def ready(self):
        """Tell the balancer whether to send callers here."""
        known = self.config.known() and self.targets.watcher.revision
        return bool(known and not self._stopping.is_set())

    def _handle(self, sock, _):
        caller = caller_connections.CallerConnection(
            sock, self.clock, self.config.catalog.limits
        )
        self._connections.add(caller)
        try:
            self._converse(caller)
        except caller_connections.CallerDisconnected:
            pass
        finally:
            self._connections.discard(caller)
            caller.close()

    def _converse(self, caller):
        while caller.keep:
            try:
                req = caller.next_request(self.config.catalog.limits)
            except messages.BadRequest as exc:
                self.metrics.count(f'answers.{exc.status}')
                caller.keep = False
                caller.answer(exc.status, [], str(exc).encode())
                return
            if req is None:
                return
            self.service.serve(req, caller)

    def stop(self):
        """Finish what is open, give the money back; return the exit code."""
        began = self.clock.now()
        self._stopping.set()
        self.journal.note('stop', open=self.service.open)
        until = began + self.cfg.grace_ms - GRACE_MARGIN_MS
        self.admission.begin_shutdown(began + TAKE_MS, until)
        self._wait(began + UNREADY_MS, lambda: False)
        for caller in list(self._connections):
            caller.shut_if_idle()
        self._wait(until, lambda: not self._connections)
        self._server.stop_accepting()
        self.budget_manager.close()
        self.roster.leave()
        self.journal.note(
            'stopped', open=self.service.open, ms=self.clock.now() - began
        )
        return EXIT_OK

    def _wait(self, until, done):
        while self.clock.now() < until and not done():
            gevent.sleep(STOP_POLL_S)

    def run(self):
        """Serve until a signal says to stop; return the exit code."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.start()
        self._stopping.wait()
        return self.stop()

    def _reload(self):
        """Read the settings again; what can't change while running stays."""
        try:
            found = platform_settings.load()
        except platform_settings.SettingsInvalid as exc:
            self.journal.note('reload.refused', why=str(exc))
            return
        changed = found != self.cfg
        self.journal.note('reload', changed=changed)

    def _gauges(self):
        return {
            'open': self.service.open,
            'connections': len(self._connections),
            'lines_shed': self.journal.shed,
            'generation': self.config.catalog.generation,
            'ready': int(self.ready()),
        }

    def dump(self):
        """Return the state for people and tools."""
        found = {}
        for name in self.targets.directory.ids():
            target = self.targets.directory.get(name)
            found[name] = {
                'service': target.entry.service,
                'leaving': target.entry.leaving,
                'in_flight': target.in_flight,
                'failure_share': target.health.failure_share,
            }
        return {
            'name': self.cfg.name,
            **self._gauges(),
            'money': self.budget_manager.dump(),
            'targets': found,
        }


def _serve(address, application):
    host, port = edge_settings.split_address(address)
    pywsgi.WSGIServer((host, port), application, log=None).start()


def _listen(host, port):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener


@click.command()
@click.option('--settings', default=None, help='The settings file.')
@click.option('--metrics-port', default=0, help='Where to serve /metrics.')
def main(settings, metrics_port):
    """Run the edge router."""
    cfg = startup.settings_or_end(settings)
    sys.exit(Edge(cfg, metrics_port).run())


if __name__ == '__main__':
    main()
