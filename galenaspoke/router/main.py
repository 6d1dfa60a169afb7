"""galenaspoke-router: start, serve, stop in order."""

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
from galenaspoke.fleet import config_manager as configs  # noqa: E402
from galenaspoke.router import dispatch  # noqa: E402
from galenaspoke.router import holders as router_holders  # noqa: E402
from galenaspoke.router import homes as router_homes  # noqa: E402
from galenaspoke.router import members as router_members  # noqa: E402
from galenaspoke.router import navigator  # noqa: E402
from galenaspoke.router import recovery as router_recovery  # noqa: E402
from galenaspoke.router import service as router_service  # noqa: E402
from galenaspoke.router import treasury as treasuries  # noqa: E402
from galenaspoke.router import unsettled as router_unsettled  # noqa: E402
from galenaspoke.router import vouching  # noqa: E402
from galenaspoke.router import web  # noqa: E402
from galenaspoke.rpc import transport  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402
from galenaspoke.utils import daemon  # noqa: E402

GIVE_BACK_MS = 1000
REFILL_MS = 250
SETTLE_MS = 300
EXPIRE_MS = 5000
RECOVERY_MS = 1000
SWEEP_MS = 30_000
STOP_POLL_S = 0.05
# How long a balancer may take to see that this router is not ready.
UNREADY_S = 0.5


class Router:
    """One router process."""

    def __init__(self, cfg):
        self.cfg = cfg.router
        self.clock = clocks.Clock()
        self.metrics = utils_metrics.Metrics(cfg.metrics, cfg.router.name)
        self.store = store_client.Client(cfg.store, self.metrics)
        self.config_manager = configs.ConfigManager(self.metrics)
        self.members = router_members.Members(
            self.cfg, self.store, self.clock, self.config_manager, self.metrics
        )
        self.holders = router_holders.Holders(
            cfg, self.store, self.clock, self.metrics
        )
        self.treasury = treasuries.Treasury(
            cfg, self.holders, self.clock, self.metrics
        )
        self.treasury.routers = self._count_routers
        self.sent = vouching.SentKeys(self.clock)
        self.vouching = vouching.Vouching(
            self.sent, self.store, self.members, self.holders
        )
        self.members.lost_listener = self._note_registry
        self.members.own_holders = self.holders.names
        self.holders.vouched = self.vouching.idle
        self.unsettled = router_unsettled.Unsettled(self.members, self.metrics)
        self.dispatcher = dispatch.Dispatcher(
            self.cfg,
            self.clock,
            self.config_manager,
            self.metrics,
            self.treasury,
            self.holders,
            self.members,
            self._navigator(),
            self.unsettled,
        )
        self.recovery = router_recovery.Recovery(
            cfg,
            self.store,
            self.clock,
            self.members,
            self.holders,
            self.vouching,
            self.metrics,
        )
        self.treasury.release_at = router_service.release_at(
            self.members, self.recovery.recover_now
        )
        service = router_service.RouterService(
            self.cfg,
            self.config_manager,
            self.members,
            self.treasury,
            self.holders,
            self.dispatcher,
            self.vouching,
        )
        self.server = transport.Server(service.get_handlers())
        self.web = None

    def _note_registry(self, reg):
        self.holders.note_registry(reg)
        self.vouching.note_registry(reg)

    def _navigator(self):
        return navigator.Navigator(
            self.cfg,
            self.clock,
            self.members,
            router_homes.Homes(
                self.members, routing.make_placement_policy(self.cfg.placement)
            ),
            self.unsettled,
            self.metrics,
            self.sent,
            lambda: self.holders.current,
        )

    def _count_routers(self):
        return 1 + len(self.members.live_routers())

    def start(self):
        """Listen and begin the regular work."""
        self.server.start(self.cfg.peer_listen)
        application = web.Web(
            self.cfg,
            self.config_manager,
            self.dispatcher,
            self.ready,
            self.dump,
        )
        host, _, port = self.cfg.listen.rpartition(':')
        self.web = pywsgi.WSGIServer((host, int(port)), application, log=None)
        self.web.start()
        self.members.start()
        gevent.spawn(self._open)
        daemon.every(GIVE_BACK_MS, self.treasury.give_back_idle)
        daemon.every(REFILL_MS, self.treasury.refill)
        daemon.every(SETTLE_MS, self.unsettled.settle)
        daemon.every(EXPIRE_MS, self.sent.expire, self.cfg.record_ttl_ms)
        daemon.every(RECOVERY_MS, self.recovery.turn)
        daemon.every(RECOVERY_MS, self.recovery.declare_lost)
        daemon.every(SWEEP_MS, self.recovery.sweep)
        logging.info('router %s serves', self.cfg.name)

    def _open(self):
        """Mark that routers have served from this store, then hold money."""
        while True:
            try:
                item = self.store.get(membership.STARTED_KEY)
                if item.version == 0:
                    self.store.put(membership.STARTED_KEY, 0, b'true')
                break
            except store_client.Conflict:
                break
            except (store_client.StoreError, store_client.OutcomeUnknown):
                gevent.sleep(router_holders.RETRY_S)
        self.holders.open()

    def ready(self):
        """Tell the balancer whether to send callers here."""
        known = (
            self.config_manager.config.generation and self.members.registries
        )
        served = self.holders.current or self.members.live_routers()
        return bool(known and served and not self.dispatcher.leaving)

    def stop(self):
        """Turn unready, finish open requests, give the money back.

        Returns the exit code.
        """
        self.dispatcher.leaving = True
        logging.info('stopping with %d open requests', self.dispatcher.open)
        gevent.sleep(UNREADY_S)
        self.web.stop_accepting()
        until = self.clock.now() + self.cfg.stop_ms
        while self.dispatcher.open and self.clock.now() < until:
            gevent.sleep(STOP_POLL_S)
        self.unsettled.settle()
        self._close_money()
        self.web.stop(timeout=1)
        self.server.stop()
        logging.info('stopped')
        return daemon.EXIT_OK

    def _close_money(self):
        """Pass on what was sent where, then end the grants."""
        if not self.vouching.pass_on():
            self._note_unvouched()
        self.holders.close()

    def _note_unvouched(self):
        for service in self.members.registries:
            for holder in self.holders.names():
                try:
                    vouching.note_unvouched(self.store, service, holder)
                except store_client.StoreError as exc:
                    logging.warning('went without a word: %s', exc)

    def dump(self):
        """Return the state for people and tools."""
        agents = {}
        for (name, incarnation), peer in self.members.agents.items():
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
            'ready': self.ready(),
            'generation': self.config_manager.config.generation,
            'open': self.dispatcher.open,
            'money': self.treasury.dump(),
            'unsettled': len(self.unsettled),
            'agents': agents,
            'routers': [p.address for p in self.members.live_routers()],
            'counters': dict(self.metrics.counters),
        }


@click.command()
@click.argument('settings', type=click.Path())
def main(settings):
    """Run the router with the INI file SETTINGS."""
    daemon.serve(settings, definitions.RouterConfig, Router)


if __name__ == '__main__':
    main()
