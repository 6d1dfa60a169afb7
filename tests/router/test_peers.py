"""What a router reads of its peers in the store."""

import unittest

import gevent
from gevent import event
import msgspec

from galenaspoke.core import clock
from galenaspoke.core import registry
from galenaspoke.core import schema
from galenaspoke.fleet import config_manager
from galenaspoke.router import peers
from galenaspoke.utils import metrics
from tests import fakes
from tests.router import test_grant_manager

UNREADABLE = b'{"version": "a text"}'


class UnchangedStore(fakes.FakeStore):
    """A store whose watches never report a change."""

    def watch(self, prefix, since):
        event.Event().wait()


class UnreadableObjectTest(unittest.TestCase):
    """An object that can't be decoded doesn't hide those after it.

    The router skipped the rest of its listing.  Holders after the unreadable
    record were never recovered, and agents in the registries after an
    unreadable one got no requests.
    """

    def setUp(self):
        self.cfg = test_grant_manager.make_settings()
        self.store = UnchangedStore()
        self.metrics = metrics.Metrics(self.cfg.metrics, 'r1')
        self.config_manager = config_manager.ConfigManager(self.metrics)
        self.directory = peers.PeerDirectory(
            self.cfg.router,
            self.store,
            clock.Clock(),
            self.config_manager,
            self.metrics,
        )

    def put(self, key, struct):
        """Store a struct."""
        self.store.put(key, 0, msgspec.json.encode(struct))

    def start(self):
        """Start the directory and let it read the store once."""
        self.directory.start()
        gevent.idle()
        self.assertEqual(1, self.metrics.counters['store.unreadable'])

    def test_holder_record(self):
        address = self.cfg.router.peer_listen
        for name in ('r0.a', 'r2.a'):
            record = registry.HolderRecord(name, address)
            self.put(registry.holder_key(name), record)
            if name == 'r0.a':
                self.store.put(
                    registry.holder_key('r1.a'), 0, b'{"births": "a text"}'
                )
        self.start()
        self.assertEqual({'r0.a', 'r2.a'}, set(self.directory.holder_records))

    def test_registry(self):
        self.store.put(registry.registry_key('desk'), 0, UNREADABLE)
        self.put(
            registry.registry_key('pool'), registry.Registry('pool', version=1)
        )
        self.start()
        self.assertEqual(['pool'], list(self.directory.registries))

    def test_configuration(self):
        self.store.put('config/draft', 0, b'{"generation": "a text"}')
        head = schema.Head(7, 'publication', 'ops', msgspec.Raw(b'{}'))
        self.put('config/head', head)
        self.start()
        self.assertEqual(7, self.config_manager.config.generation)
