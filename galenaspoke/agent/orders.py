"""Orders to the target: the published model, adapter and role.

The configuration's generation is the fencing token of an order, so an order
from an older configuration has a lower one.  Engines that check the token
refuse a stale order.  Other engines are protected by this agent alone: it
checks in the store that it has not been replaced, after all waits, and then
sends the order of the configuration in force at once.
"""

import random

from absl import logging
import gevent

from galenaspoke.core import schema
from galenaspoke.engine import client as engine
from galenaspoke.rpc import messages
from galenaspoke.store import client as store_client
from galenaspoke.utils import http

# Model loads are spread over this time: the weight store is rate-limited.
MAX_JITTER_S = 1.0


class OrderSender:
    """Sends the target its order each time the published one changes."""

    __slots__ = (
        'accepted_order',
        '_is_answer_lost',
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
        self.accepted_order = None
        # Whether the target may run a later order than the accepted one.
        self._is_answer_lost = False

    def _get_desired_order(self):
        config = self._config_manager.config
        target = config.targets.get(self._cfg.name)
        if self._cfg.kind != schema.MODEL or target is None:
            return None
        if not target.model:
            return None
        return messages.Order(
            config.generation, target.model, target.adapter, target.role
        )

    def _get_changed_order(self):
        """Return the order unless the target has accepted it, else None."""
        desired_order = self._get_desired_order()
        if desired_order is None or self._is_answer_lost:
            return desired_order
        if _has_same_content(desired_order, self.accepted_order):
            return None
        return desired_order

    def _may_send(self):
        """Return whether this agent may send orders to its target."""
        if self._membership.is_replaced():
            return False
        target = self._config_manager.config.targets.get(self._cfg.name)
        if target is None:
            return False
        if target.checks_fencing:
            return True
        try:
            return not self._membership.is_replaced_in_store()
        except store_client.StoreError:
            return False

    def send_if_changed(self):
        """Send the target its order unless it has accepted it already."""
        if self._get_changed_order() is None:
            return
        if self.accepted_order is not None:
            gevent.sleep(random.uniform(0, MAX_JITTER_S))
        # After the wait: this agent may have been replaced meanwhile.
        if not self._may_send():
            return
        # A newer configuration may have been published meanwhile.
        desired_order = self._get_changed_order()
        if desired_order is None:
            return
        try:
            engine.send_order(self._cfg.target, desired_order)
        except http.TargetFailed as exc:
            self._is_answer_lost = self._is_answer_lost or exc.sent
            self._metrics.count('orders.refused')
            logging.log_every_n_seconds(
                logging.WARNING,
                'the target did not accept its order: %s',
                10,
                exc,
            )
            return
        self.accepted_order = desired_order
        self._is_answer_lost = False
        self._metrics.count('orders.given')
        logging.info(
            'target accepted an order: model %s, adapter %s',
            desired_order.model,
            desired_order.adapter,
        )


def _has_same_content(desired_order, accepted_order):
    """Return whether two orders differ at most in their fencing tokens.

    A new generation with the same model, adapter and role needs no order.
    """
    if accepted_order is None:
        return False
    return (
        desired_order.model,
        desired_order.adapter,
        desired_order.role,
    ) == (
        accepted_order.model,
        accepted_order.adapter,
        accepted_order.role,
    )
