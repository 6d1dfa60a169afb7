"""galenaspoke-agent: startup, periodic tasks and graceful stop."""

from galenaspoke.utils import early_signals  # noqa: F401, H306

from gevent import monkey

monkey.patch_all()

from absl import logging  # noqa: E402
import click  # noqa: E402
import gevent  # noqa: E402

from galenaspoke.agent import durable_claims  # noqa: E402
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
from galenaspoke.http import buffers  # noqa: E402
from galenaspoke.rpc import transport  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import daemon  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402
from galenaspoke.utils import state  # noqa: E402

EXPIRE_INTERVAL_MS = 5000
# Routers push registry changes; polling covers an agent they can't reach.
MEMBERSHIP_REFRESH_INTERVAL_MS = 10_000
STOP_POLL_INTERVAL_S = 0.05


class Agent:
    """One agent process."""

    def __init__(self, cfg):
        self.cfg = cfg.agent
        buffers.process_account.limit_bytes = buffers.compute_limit_bytes(
            self.cfg.memory_mb
        )
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
        self.durable_claims = durable_claims.DurableClaims(
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
                self.durable_claims,
                self.runs,
                self.holders,
                self.runner,
            ),
        )
        self.order_sender = orders.OrderSender(
            self.cfg, self.config_manager, self.metrics, self.membership
        )
        self.was_replaced = False
        self.server = transport.Server(self.service.get_handlers())

    def start(self):
        """Listen, join the registry and start the periodic tasks."""
        self.server.start(self.cfg.listen)
        if self.cfg.state_listen:
            state.serve(self.cfg.state_listen, self.dump)
        self.membership.join()
        logging.info('agent %s.%s is serving', self.cfg.name, self.incarnation)
        daemon.run_periodically(self.cfg.probe_ms, self.runner.probe)
        daemon.run_periodically(EXPIRE_INTERVAL_MS, self._expire_records)
        daemon.run_periodically(
            MEMBERSHIP_REFRESH_INTERVAL_MS, self.membership.refresh
        )
        daemon.run_periodically(self.cfg.probe_ms, self._check_membership)
        daemon.run_periodically(
            self.cfg.probe_ms, self.order_sender.send_if_changed
        )
        gevent.spawn(self._activate_when_safe)

    def _expire_records(self):
        expired = self.claims.expire(self.cfg.record_ttl_ms)
        self.durable_claims.expire(expired)
        self.runs.expire(self.cfg.record_ttl_ms)

    def _activate_when_safe(self):
        """Activate this agent once former homes have no record of its keys.

        All other agents must have received the registry that lists this
        agent, and the records that they made before must have expired.
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
        is_replaced = self.membership.is_replaced()
        if is_replaced and not self.service.is_stopping():
            self.was_replaced = True
            self.service.begin_stop()
            logging.warning(
                'the registry no longer lists this incarnation as serving'
                ' (declared lost, or a newer incarnation joined); stopping'
            )
            daemon.request_stop()

    def stop(self):
        """Stop gracefully: refuse new work, finish runs, hand records over.

        Return the exit code.
        """
        self.service.begin_stop()
        logging.info('stopping; new requests are refused')
        gevent.sleep(self.cfg.leave_ms / 1000)
        deadline = self.clock.now() + self.cfg.stop_ms
        while self.runs.running() and self.clock.now() < deadline:
            gevent.sleep(STOP_POLL_INTERVAL_S)
        try:
            self.membership.leave(
                self.claims.list_all(),
                self.runs.list_all(),
                self.holders.get_usage(),
            )
        except store_client.StoreError as exc:
            logging.warning(
                'stopping without closing the registry entry, which stays'
                ' open until this agent is declared lost or replaced: %s',
                exc,
            )
        self.server.stop()
        logging.info('stopped')
        was_replaced = self.was_replaced
        return daemon.EXIT_REPLACED if was_replaced else daemon.EXIT_OK

    def dump(self):
        """Return the state dump for operators and tools."""
        return {
            'name': self.cfg.name,
            'incarnation': self.incarnation,
            'generation': self.config_manager.config.generation,
            'joined': self.membership.registry is not None,
            'leaving': self.service.is_leaving,
            'target_up': self.runner.is_up,
            'load': self.runner.get_load(),
            'claims': len(self.claims),
            'runs': len(self.runs),
            'running': len(self.runs.running()),
            'holders': self.holders.get_usage(),
            'order': self.order_sender.accepted_order,
            'counters': dict(self.metrics.counters),
        }


@click.command()
@click.argument('settings', type=click.Path())
def main(settings):
    """Run the agent with the INI file SETTINGS."""
    daemon.serve(settings, definitions.AgentConfig, Agent)


if __name__ == '__main__':
    main()
