"""galenaspoke-agent: start, watch over the target, stop in order."""

from gevent import monkey

monkey.patch_all()

from absl import logging  # noqa: E402
import click  # noqa: E402
import gevent  # noqa: E402

from galenaspoke.agent import durable  # noqa: E402
from galenaspoke.agent import holders as agent_holders  # noqa: E402
from galenaspoke.agent import membership as agent_membership  # noqa: E402
from galenaspoke.agent import orders  # noqa: E402
from galenaspoke.agent import runner as agent_runner  # noqa: E402
from galenaspoke.agent import service as agent_service  # noqa: E402
from galenaspoke.conf import definitions  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import records  # noqa: E402
from galenaspoke.core import runs as run_table  # noqa: E402
from galenaspoke.fleet import config_manager as configs  # noqa: E402
from galenaspoke.rpc import transport  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402
from galenaspoke.utils import daemon  # noqa: E402
from galenaspoke.utils import state  # noqa: E402

EXPIRE_MS = 5000
# Routers tell of changes; this is for an agent that they don't reach.
MEMBERSHIP_MS = 10_000
STOP_POLL_S = 0.05


class Agent:
    """One agent process."""

    def __init__(self, cfg):
        self.cfg = cfg.agent
        self.clock = clocks.Clock()
        self.incarnation = daemon.new_incarnation()
        self.metrics = utils_metrics.Metrics(cfg.metrics, cfg.agent.name)
        self.store = store_client.Client(cfg.store, self.metrics)
        self.config_manager = configs.ConfigManager(self.metrics)
        self.claims = records.Claims(self.clock)
        self.runs = run_table.Runs(self.clock)
        self.holders = agent_holders.Holders(self.store)
        self.runner = agent_runner.Runner(
            self.cfg, self.clock, self.metrics, self.runs, self.holders
        )
        self.membership = agent_membership.Membership(
            self.cfg, self.incarnation, self.store, self.clock
        )
        self.durable = durable.DurableClaims(
            self.store, self.membership.agent_id
        )
        self.service = agent_service.AgentService(
            self.cfg,
            self.membership,
            self.config_manager,
            self.metrics,
            self.clock,
            (
                self.claims,
                self.durable,
                self.runs,
                self.holders,
                self.runner,
            ),
        )
        self.orders = orders.Orders(
            self.cfg, self.config_manager, self.metrics, self.membership
        )
        self.replaced = False
        self.server = transport.Server(self.service.get_handlers())

    def start(self):
        """Listen, join the registry and begin the regular work."""
        self.server.start(self.cfg.listen)
        if self.cfg.state_listen:
            state.serve(self.cfg.state_listen, self.dump)
        self.membership.join()
        logging.info('agent %s.%s serves', self.cfg.name, self.incarnation)
        daemon.every(self.cfg.probe_ms, self.runner.probe)
        daemon.every(EXPIRE_MS, self._expire)
        daemon.every(MEMBERSHIP_MS, self.membership.refresh)
        daemon.every(self.cfg.probe_ms, self._check_membership)
        daemon.every(self.cfg.probe_ms, self.orders.apply)
        gevent.spawn(self._settle_in)

    def _expire(self):
        expired = self.claims.expire(self.cfg.record_ttl_ms)
        self.durable.expire(expired)
        self.runs.expire(self.cfg.record_ttl_ms)

    def _settle_in(self):
        """Clear the joining mark when no other home can have a record.

        All others must have heard of this agent, and what they recorded
        before must have been forgotten.
        """
        while not self.membership.notify_others():
            gevent.sleep(1)
        gevent.sleep(self.cfg.record_ttl_ms / 1000)
        while True:
            try:
                self.membership.activate()
                return
            except store_client.StoreError:
                gevent.sleep(1)

    def _check_membership(self):
        entry = self.membership.own_entry()
        replaced = entry is None or not entry.is_serving()
        if replaced and not self.service.leaving_for_good():
            self.replaced = True
            self.service.leave()
            logging.warning('this agent was declared lost: it will stop')
            daemon.request_stop()

    def stop(self):
        """Take nothing new, finish what runs, hand over, and end.

        Returns the exit code.
        """
        self.service.leave()
        logging.info('leaving')
        gevent.sleep(self.cfg.leave_ms / 1000)
        until = self.clock.now() + self.cfg.stop_ms
        while self.runs.running() and self.clock.now() < until:
            gevent.sleep(STOP_POLL_S)
        try:
            self.membership.leave(
                self.claims.every(), self.runs.every(), self.holders.every()
            )
        except store_client.StoreError as exc:
            logging.warning('left without closing the entry: %s', exc)
        self.server.stop()
        logging.info('stopped')
        replaced = self.replaced
        return daemon.EXIT_REPLACED if replaced else daemon.EXIT_OK

    def dump(self):
        """Return the state for people and tools."""
        return {
            'name': self.cfg.name,
            'incarnation': self.incarnation,
            'generation': self.config_manager.config.generation,
            'joined': self.membership.registry is not None,
            'leaving': self.service.leaving,
            'target_up': self.runner.up,
            'load': self.runner.load(),
            'claims': len(self.claims),
            'runs': len(self.runs),
            'running': len(self.runs.running()),
            'holders': self.holders.every(),
            'order': self.orders.applied,
            'counters': dict(self.metrics.counters),
        }


@click.command()
@click.argument('settings', type=click.Path())
def main(settings):
    """Run the agent with the INI file SETTINGS."""
    daemon.serve(settings, definitions.AgentConfig, Agent)


if __name__ == '__main__':
    main()
