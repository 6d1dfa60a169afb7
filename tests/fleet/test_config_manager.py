"""The configuration in force is never replaced by an older one."""

import json
import unittest

import msgspec

from galenaspoke.conf import definitions
from galenaspoke.core import schema
from galenaspoke.fleet import config_manager
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics


def make_document(name):
    """Return a document with one policy."""
    return json.dumps({'policies': [{'name': name}]}).encode()


class ConfigManagerTest(unittest.TestCase):
    """Updates from any source, in any order."""

    def setUp(self):
        counters = metrics.Metrics(definitions.MetricsSettings(), 'x')
        self.config_manager = config_manager.ConfigManager(counters)

    def test_lower_and_equal_generations_are_not_installed(self):
        self.assertTrue(
            self.config_manager.update_if_newer(3, make_document('three'))
        )
        self.assertFalse(
            self.config_manager.update_if_newer(2, make_document('two'))
        )
        self.assertFalse(
            self.config_manager.update_if_newer(3, make_document('other'))
        )
        self.assertEqual(['three'], list(self.config_manager.config.policies))
        self.assertTrue(
            self.config_manager.update_if_newer(4, make_document('four'))
        )

    def test_stale_read_from_the_store(self):
        self.config_manager.update_if_newer(3, make_document('three'))
        head = schema.Head(2, 'p', 'ana', msgspec.Raw(make_document('two')))
        item = store_client.Item(
            schema.HEAD_KEY, 9, msgspec.Raw(msgspec.json.encode(head))
        )
        self.assertFalse(self.config_manager.update_from_store(item))
        empty = store_client.Item(schema.HEAD_KEY, 0, msgspec.Raw(b''))
        self.assertFalse(self.config_manager.update_from_store(empty))
        self.assertEqual(3, self.config_manager.config.generation)

    def test_listeners_are_called_once(self):
        installed = []
        self.config_manager.listeners.append(installed.append)
        self.config_manager.update_if_newer(1, make_document('one'))
        self.config_manager.update_if_newer(1, make_document('one'))
        self.assertEqual([1], [config.generation for config in installed])
