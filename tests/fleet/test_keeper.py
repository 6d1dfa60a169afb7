"""A configuration in force never goes back."""

import json
import unittest

import msgspec

from galenaspoke.conf import defaults
from galenaspoke.core import schema
from galenaspoke.fleet import keeper
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics


def raw(name):
    """Return a document with one policy."""
    return json.dumps({'policies': [{'name': name}]}).encode()


class KeeperTest(unittest.TestCase):
    """Offers from any source, in any order."""

    def setUp(self):
        counters = metrics.Metrics(defaults.MetricsSettings(), 'x')
        self.keeper = keeper.ConfigKeeper(counters)

    def test_lower_and_equal_generations_are_not_installed(self):
        self.assertTrue(self.keeper.offer(3, raw('three')))
        self.assertFalse(self.keeper.offer(2, raw('two')))
        self.assertFalse(self.keeper.offer(3, raw('other')))
        self.assertEqual(['three'], list(self.keeper.config.policies))
        self.assertTrue(self.keeper.offer(4, raw('four')))

    def test_stale_read_of_the_store(self):
        self.keeper.offer(3, raw('three'))
        head = schema.Head(2, 'p', 'ana', msgspec.Raw(raw('two')))
        item = store_client.Item(
            schema.HEAD_KEY, 9, msgspec.Raw(msgspec.json.encode(head))
        )
        self.assertFalse(self.keeper.offer_item(item))
        empty = store_client.Item(schema.HEAD_KEY, 0, msgspec.Raw(b''))
        self.assertFalse(self.keeper.offer_item(empty))
        self.assertEqual(3, self.keeper.config.generation)

    def test_listeners_are_told_once(self):
        heard = []
        self.keeper.listeners.append(heard.append)
        self.keeper.offer(1, raw('one'))
        self.keeper.offer(1, raw('one'))
        self.assertEqual([1], [config.generation for config in heard])
