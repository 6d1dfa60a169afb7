"""Orders of an agent to its target, around its replacement by another."""

import json
import types
import unittest
from unittest import mock

from galenaspoke.agent import orders
from galenaspoke.conf import definitions
from galenaspoke.fleet import config_manager
from galenaspoke.store import client as store_client
from galenaspoke.utils import http
from galenaspoke.utils import metrics


def make_document(model, checks_fencing=False):
    """Return a document in which pool-0 runs `model`."""
    target = {
        'name': 'pool-0',
        'service': 'pool',
        'model': model,
        'checks_fencing': checks_fencing,
    }
    return json.dumps({'targets': [target]}).encode()


class FakeMembership:
    """Fake Membership of an agent that may have been replaced.

    `on_read` is called while the registry is read from the store.
    """

    def __init__(self):
        self.is_replaced_now = False
        self.is_known_here = False
        self.is_store_down = False
        self.on_read = lambda: None

    def is_replaced(self):
        return self.is_known_here

    def is_replaced_in_store(self):
        if self.is_store_down:
            raise store_client.StoreUnavailable('down')
        self.on_read()
        return self.is_replaced_now


class OrderSenderTest(unittest.TestCase):
    """An agent whose target has accepted the order to run one model."""

    def setUp(self):
        counters = metrics.Metrics(definitions.MetricsSettings(), 'x')
        self.config_manager = config_manager.ConfigManager(counters)
        self.membership = FakeMembership()
        self.sender = orders.OrderSender(
            types.SimpleNamespace(name='pool-0', kind='model', target='url'),
            self.config_manager,
            counters,
            self.membership,
        )
        self.sent = []
        self.failure = None
        self.patch(orders.engine, 'send_order', self.accept_order)
        self.on_wait = lambda: None
        self.patch(orders.gevent, 'sleep', lambda seconds: self.on_wait())

    def patch(self, module, name, function):
        """Replace a module's function for this test."""
        patcher = mock.patch.object(module, name, function)
        patcher.start()
        self.addCleanup(patcher.stop)

    def accept_order(self, url, order):
        """Take the place of the target, whose answer may be lost."""
        self.sent.append(order)
        if self.failure:
            raise self.failure

    def publish(self, generation, model, **fields):
        """Install a configuration in which the target runs `model`."""
        raw = make_document(model, **fields)
        self.config_manager.update_if_newer(generation, raw)

    def send(self):
        """Send the order if it has changed; return the models sent so far."""
        self.sender.send_if_changed()
        return [order.model for order in self.sent]

    def replace(self):
        """Let a newer incarnation join."""
        self.membership.is_replaced_now = True

    def test_each_order_is_sent_once(self):
        self.publish(1, 'first')
        self.assertEqual(['first'], self.send())
        self.assertEqual(['first'], self.send())
        self.publish(2, 'second')
        self.assertEqual(['first', 'second'], self.send())

    def test_replaced_during_the_wait(self):
        """An agent that is replaced while it waits sends no order.

        It asked the store before the wait that spreads model loads, and gave
        its order up to 1 s after its successor had begun to give orders: two
        processes acted, and the target ran what the replaced one had sent.
        """
        self.publish(1, 'first')
        self.send()
        self.publish(2, 'second')
        self.on_wait = self.replace
        self.assertEqual(['first'], self.send())

    def test_published_while_the_store_is_read(self):
        """The first order is also that of the configuration in force.

        It was made before the store was read, so a slow read made it stale.
        """
        self.publish(1, 'first')
        self.membership.on_read = lambda: self.publish(2, 'second')
        self.assertEqual(['second'], self.send())
        self.assertEqual(2, self.sent[0].fence)

    def test_taken_back_during_the_wait(self):
        """No order is repeated if the change is taken back meanwhile."""
        self.publish(1, 'first')
        self.send()
        self.publish(2, 'second')
        self.on_wait = lambda: self.publish(3, 'first')
        self.assertEqual(['first'], self.send())

    def test_target_removed_during_the_wait(self):
        self.publish(1, 'first')
        self.send()
        self.publish(2, 'second')
        self.on_wait = lambda: self.config_manager.update_if_newer(3, b'{}')
        self.assertEqual(['first'], self.send())

    def test_known_replaced_agent_of_a_target_that_checks_fencing(self):
        """An agent that knows that it was replaced sends no order.

        A target that checks fencing accepts an equal fence, so it was given
        the same order twice: by the replaced agent and by its successor.
        """
        self.publish(1, 'first', checks_fencing=True)
        self.membership.is_known_here = True
        self.assertEqual([], self.send())

    def test_store_outage(self):
        """Only a target that checks fencing gets orders meanwhile."""
        self.membership.is_store_down = True
        self.publish(1, 'first')
        self.assertEqual([], self.send())
        self.publish(2, 'second', checks_fencing=True)
        self.assertEqual(['second'], self.send())

    def test_lost_answer(self):
        """An order whose answer was lost may be the one that the target runs.

        It counted as not accepted.  If the order before it was published
        again, none was sent, and the target went on with the lost one.
        """
        self.publish(1, 'first')
        self.send()
        self.publish(2, 'second')
        self.failure = http.TargetFailed('connection reset', True)
        self.send()
        self.failure = None
        self.publish(3, 'first')
        self.assertEqual(['first', 'second', 'first'], self.send())
        self.assertEqual(['first', 'second', 'first'], self.send())

    def test_refused_order(self):
        """An order that certainly had no effect needs none to undo it."""
        self.publish(1, 'first')
        self.send()
        self.publish(2, 'second')
        self.failure = http.TargetFailed('connection refused', False)
        self.send()
        self.failure = None
        self.publish(3, 'first')
        self.assertEqual(['first', 'second'], self.send())
