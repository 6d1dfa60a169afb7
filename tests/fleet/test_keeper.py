"""A configuration in force never goes back."""

import json
import unittest

import msgspec

from galenaspoke.conf import definitions
from galenaspoke.core import schema
from galenaspoke.fleet import config_manager
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics


def raw(name):
    """Return a document with one policy."""
    return json.dumps({'policies': [{'name': name}]}).encode()


class KeeperTest(unittest.TestCase):
    """Offers from any source, in any order."""

    def setUp(self):
        counters = metrics.Metrics(definitions.MetricsSettings(), 'x')
        self.config_manager = config_manager.ConfigManager(counters)

    def test_lower_and_equal_generations_are_not_installed(self):
        self.assertTrue(self.config_manager.update_if_newer(3, raw('three')))
        self.assertFalse(self.config_manager.update_if_newer(2, raw('two')))
        self.assertFalse(self.config_manager.update_if_newer(3, raw('other')))
        self.assertEqual(['three'], list(self.config_manager.config.policies))
        self.assertTrue(self.config_manager.update_if_newer(4, raw('four')))

    def test_stale_read_of_the_store(self):
        self.config_manager.update_if_newer(3, raw('three'))
        head = schema.Head(2, 'p', 'ana', msgspec.Raw(raw('two')))
        item = store_client.Item(
            schema.HEAD_KEY, 9, msgspec.Raw(msgspec.json.encode(head))
        )
        self.assertFalse(self.config_manager.update_from_store(item))
        empty = store_client.Item(schema.HEAD_KEY, 0, msgspec.Raw(b''))
        self.assertFalse(self.config_manager.update_from_store(empty))
        self.assertEqual(3, self.config_manager.config.generation)

    def test_listeners_are_told_once(self):
        heard = []
        self.config_manager.listeners.append(heard.append)
        self.config_manager.update_if_newer(1, raw('one'))
        self.config_manager.update_if_newer(1, raw('one'))
        self.assertEqual([1], [config.generation for config in heard])
