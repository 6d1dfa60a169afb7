"""The galenaspoke-router daemon: start, serving, graceful stop."""

from galenaspoke.utils import early_signals  # noqa: F401, H306

from gevent import monkey

monkey.patch_all()

from absl import logging  # noqa: E402
import click  # noqa: E402
import gevent  # noqa: E402
from gevent import pywsgi  # noqa: E402

from galenaspoke.agent import membership  # noqa: E402
from galenaspoke.conf import definitions  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import routing  # noqa: E402
from galenaspoke.fleet import config_manager  # noqa: E402
from galenaspoke.http import buffers  # noqa: E402
from galenaspoke.http import listening  # noqa: E402
from galenaspoke.router import attempt_executor  # noqa: E402
from galenaspoke.router import dispatch  # noqa: E402
from galenaspoke.router import grant_manager as grant_managers  # noqa: E402
from galenaspoke.router import holders as router_holders  # noqa: E402
from galenaspoke.router import home_locator  # noqa: E402
from galenaspoke.router import peers as router_peers  # noqa: E402
from galenaspoke.router import recovery as router_recovery  # noqa: E402
from galenaspoke.router import service as router_service  # noqa: E402
from galenaspoke.router import unsettled_dispatches  # noqa: E402
from galenaspoke.router import vouching  # noqa: E402
from galenaspoke.router import wsgi  # noqa: E402
from galenaspoke.rpc import transport  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import bounded_wsgi  # noqa: E402
from galenaspoke.utils import daemon  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402

RETURN_SURPLUS_INTERVAL_MS = 1000
DRAW_AHEAD_INTERVAL_MS = 250
SETTLE_INTERVAL_MS = 300
EXPIRY_INTERVAL_MS = 5000
RECOVERY_INTERVAL_MS = 1000
ORPHAN_CHECK_INTERVAL_MS = 30_000
# How long a load balancer may take to notice that this router is not ready.
UNREADY_WAIT_S = 0.5


class Router:
    """One router process."""

    def __init__(self, cfg):
        self.cfg = cfg.router
        buffers.process_account.limit_bytes = buffers.compute_limit_bytes(
            self.cfg.memory_mb
        )
        self.clock = clocks.Clock()
        self.metrics = utils_metrics.Metrics(cfg.metrics, cfg.router.name)
        self.store = store_client.Client(cfg.store, self.metrics)
        self.config_manager = config_manager.ConfigManager(self.metrics)
        self.peers = router_peers.PeerDirectory(
            self.cfg, self.store, self.clock, self.config_manager, self.metrics
        )
        self.holders = router_holders.HolderManager(
            cfg, self.store, self.clock, self.metrics
        )
        self.grant_manager = grant_managers.GrantManager(
            cfg, self.holders, self.clock, self.metrics
        )
        self.grant_manager.count_routers = self._count_routers
        self.sent_keys = vouching.SentKeys(self.clock)
        self.vouching = vouching.Vouching(
            self.sent_keys, self.store, self.peers, self.holders
        )
        self.peers.on_registry_change = self._on_registry_change
        self.peers.get_own_holder_names = self.holders.get_holder_names
        self.holders.has_vouched = self.vouching.is_idle
        self.unsettled = unsettled_dispatches.UnsettledDispatches(
            self.peers, self.metrics
        )
        self.dispatcher = dispatch.Dispatcher(
            self.cfg,
            self.clock,
            self.config_manager,
            self.metrics,
            self.grant_manager,
            self.holders,
            self.peers,
            self._make_attempt_executor(),
            self.unsettled,
        )
        self.recovery = router_recovery.GrantRecovery(
            cfg,
            self.store,
            self.clock,
            self.peers,
            self.holders,
            self.vouching,
            self.metrics,
        )
        self.grant_manager.request_release = (
            router_service.make_release_requester(
                self.peers, self.recovery.recover_on_demand
            )
        )
        service = router_service.RouterService(
            self.cfg,
            self.config_manager,
            self.peers,
            self.grant_manager,
            self.holders,
            self.dispatcher,
            self.vouching,
        )
        self.rpc_server = transport.Server(service.get_handlers())
        self.http_server = None

    def _on_registry_change(self, reg):
        self.holders.on_registry_change(reg)
        self.vouching.on_registry_change(reg)

    def _make_attempt_executor(self):
        return attempt_executor.AttemptExecutor(
            self.cfg,
            self.clock,
            self.peers,
            home_locator.HomeLocator(
                self.peers, routing.make_placement_policy(self.cfg.placement)
            ),
            self.unsettled,
            self.metrics,
            self.sent_keys,
            lambda: self.holders.current,
        )

    def _count_routers(self):
        return 1 + len(self.peers.list_live_routers())

    def start(self):
        """Start the servers, the peer directory and the periodic tasks."""
        self.rpc_server.start(self.cfg.peer_listen)
        application = wsgi.WsgiApp(
            self.cfg,
            self.config_manager,
            self.dispatcher,
            self.is_ready,
            self.dump_state,
        )
        host, _, port = self.cfg.listen.rpartition(':')
        self.http_server = pywsgi.WSGIServer(
            (host, int(port)),
            application,
            log=None,
            handler_class=bounded_wsgi.Handler,
        )
        self.http_server.start()
        self.peers.start()
        gevent.spawn(self._open)
        daemon.run_periodically(
            RETURN_SURPLUS_INTERVAL_MS, self.grant_manager.return_surplus
        )
        daemon.run_periodically(
            DRAW_AHEAD_INTERVAL_MS, self.grant_manager.draw_ahead
        )
        daemon.run_periodically(SETTLE_INTERVAL_MS, self.unsettled.settle)
        daemon.run_periodically(
            EXPIRY_INTERVAL_MS, self.sent_keys.expire, self.cfg.record_ttl_ms
        )
        daemon.run_periodically(
            RECOVERY_INTERVAL_MS, self.recovery.recover_silent_holders
        )
        daemon.run_periodically(
            RECOVERY_INTERVAL_MS, self.recovery.declare_lost_agents
        )
        daemon.run_periodically(
            ORPHAN_CHECK_INTERVAL_MS, self.recovery.recover_orphaned_grants
        )
        logging.info('router %s started', self.cfg.name)

    def _open(self):
        """Open a holder, after recording that a router has used this store.

        Agents that join later then know that earlier records may exist.
        """
        while True:
            try:
                item = self.store.get(membership.STARTED_KEY)
                if item.version == 0:
                    self.store.put(membership.STARTED_KEY, 0, b'true')
                break
            except store_client.Conflict:
                break
            except (store_client.StoreError, store_client.OutcomeUnknown):
                gevent.sleep(router_holders.RETRY_PAUSE_S)
        self.holders.open()

    def is_ready(self):
        """Return whether the load balancer may send callers here."""
        has_config = (
            self.config_manager.config.generation and self.peers.registries
        )
        has_grants_or_peers = (
            self.holders.current or self.peers.list_live_routers()
        )
        return bool(
            has_config
            and has_grants_or_peers
            and not self.dispatcher.is_stopping
        )

    def stop(self):
        """Become unready, finish open requests, and close the grants.

        Returns the exit code.
        """
        self.dispatcher.is_stopping = True
        logging.info(
            'stopping with %d open requests', self.dispatcher.open_requests
        )
        gevent.sleep(UNREADY_WAIT_S)
        listening.finish_accepting(self.http_server)
        self.dispatcher.drain(self.cfg.stop_ms)
        self.unsettled.settle()
        self._close_grants()
        self.rpc_server.stop()
        logging.info('stopped')
        return daemon.EXIT_OK

    def _close_grants(self):
        """Transfer the sent keys to another router, then close the grants."""
        if not self.vouching.transfer_to_peer():
            self._record_unvouched()
        self.holders.close()

    def _record_unvouched(self):
        for service in self.peers.registries:
            for holder_name in self.holders.get_holder_names():
                try:
                    vouching.record_unvouched(self.store, service, holder_name)
                except store_client.StoreError as exc:
                    logging.warning(
                        'could not record that a holder stopped without'
                        ' vouching: %s',
                        exc,
                    )

    def dump_state(self):
        """Return the state dump for operators and tools."""
        agents = {}
        for (name, incarnation), peer in self.peers.agents.items():
            agents[name] = {
                'incarnation': incarnation,
                'address': peer.entry.address,
                'service': peer.entry.service,
                'phase': peer.entry.phase.value,
                'in_flight': peer.load.in_flight,
                'others': peer.load.others_in_flight,
                'leaving': peer.load.leaving,
                'failed': peer.load.failed,
            }
        return {
            'name': self.cfg.name,
            'ready': self.is_ready(),
            'generation': self.config_manager.config.generation,
            'open': self.dispatcher.open_requests,
            'money': self.grant_manager.dump_state(),
            'unsettled': len(self.unsettled),
            'agents': agents,
            'routers': [p.address for p in self.peers.list_live_routers()],
            'counters': dict(self.metrics.counters),
        }


@click.command()
@click.argument('settings', type=click.Path())
def main(settings):
    """Run the router with the INI file SETTINGS."""
    daemon.serve(settings, definitions.RouterConfig, Router)


if __name__ == '__main__':
    main()
