"""Brings the target to the published model, adapter and role.

The configuration's generation is the fencing number of an order, so an order
from an older configuration is lower.  Engines that check it refuse an old
one; before the others this agent is the only door, so it makes sure in the
store that it hasn't been replaced, and reads the configuration in force right
before it sends.
"""

import random

from absl import logging
import gevent

from galenaspoke.core import schema
from galenaspoke.engine import client as engine
from galenaspoke.rpc import messages
from galenaspoke.store import client as store_client
from galenaspoke.utils import http

# Loads are spread over this time, since the weight store is rate-limited.
SPREAD_S = 1.0


class Orders:
    """The order that the target obeys, and the one it should."""

    __slots__ = (
        'applied',
        '_cfg',
        '_config_manager',
        '_metrics',
        '_membership',
    )

    def __init__(self, cfg, config_manager, metrics, membership):
        self._cfg = cfg
        self._membership = membership
        self._config_manager = config_manager
        self._metrics = metrics
        self.applied = None

    def _wanted(self):
        config = self._config_manager.config
        target = config.targets.get(self._cfg.name)
        if self._cfg.kind != schema.MODEL or target is None:
            return None
        if not target.model:
            return None
        return messages.Order(
            config.generation, target.model, target.adapter, target.role
        )

    def _may_send(self):
        """Tell whether this agent may give orders to its target."""
        target = self._config_manager.config.targets[self._cfg.name]
        if target.checks_fencing:
            return True
        try:
            return not self._membership.replaced()
        except store_client.StoreError:
            return False

    def apply(self):
        """Give the target its order unless it has it already."""
        wanted = self._wanted()
        if wanted is None or _same(wanted, self.applied):
            return
        if not self._may_send():
            return
        if self.applied is not None:
            gevent.sleep(random.uniform(0, SPREAD_S))
            # What was published meanwhile goes first.
            wanted = self._wanted()
            if wanted is None:
                return
        try:
            engine.give_order(self._cfg.target, wanted)
        except http.TargetFailed as exc:
            self._metrics.count('orders.refused')
            logging.log_every_n_seconds(
                logging.WARNING, 'order not taken: %s', 10, exc
            )
            return
        self.applied = wanted
        self._metrics.count('orders.given')
        logging.info('target runs %s %s', wanted.model, wanted.adapter)


def _same(wanted, applied):
    if applied is None:
        return False
    return (wanted.model, wanted.adapter, wanted.role) == (
        applied.model,
        applied.adapter,
        applied.role,
    )
