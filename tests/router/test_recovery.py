"""Recovery of the grants of holders whose router is gone."""

import unittest

import msgspec

from galenaspoke.core import clock
from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.fleet import config_manager
from galenaspoke.router import holders
from galenaspoke.router import peers
from galenaspoke.router import recovery
from galenaspoke.router import vouching
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics
from tests import fakes
from tests.router import test_grant_manager

GONE = 'gone.a'
BUDGET = 'voucher-desk'


class SlowStore(fakes.FakeStore):
    """A store whose lists may fail after a while.

    `list_attempts` counts the lists, and `list_ms`, unless it is None, is how
    long each takes until it fails.
    """

    def __init__(self, manual_clock):
        super().__init__()
        self.list_attempts = 0
        self.list_ms = None
        self._clock = manual_clock

    def list(self, prefix):
        self.list_attempts += 1
        if self.list_ms is None:
            return super().list(prefix)
        self._clock.advance(self.list_ms)
        raise store_client.StoreUnavailable('no response in time')


class RecoveryTest(unittest.TestCase):
    """One router, one holder whose router is gone, and no agents."""

    def setUp(self):
        cfg = test_grant_manager.make_settings()
        self.clock = clock.ManualClock()
        self.store = SlowStore(self.clock)
        counters = metrics.Metrics(cfg.metrics, 'r1')
        own_holders = holders.HolderManager(
            cfg, self.store, self.clock, counters
        )
        own_holders.open()
        directory = peers.PeerDirectory(
            cfg.router,
            self.store,
            self.clock,
            config_manager.ConfigManager(counters),
            counters,
        )
        self.recovery = recovery.GrantRecovery(
            cfg,
            self.store,
            self.clock,
            directory,
            own_holders,
            vouching.Vouching(
                vouching.SentKeys(self.clock),
                self.store,
                directory,
                own_holders,
            ),
            counters,
        )
        record = registry.HolderRecord(GONE, '127.0.0.1:4')
        self.store.put(
            registry.holder_key(GONE), 0, msgspec.json.encode(record)
        )

    def test_beside_an_unreadable_record(self):
        """Another holder's record that can't be decoded stops no recovery.

        The recovery read the records of all holders and failed at the
        unreadable one, so no tokens were freed.
        """
        self.store.put(registry.holder_key('r9.a'), 0, b'{"births": "a text"}')
        self.assertTrue(self.recovery.recover_on_demand(GONE))
        self.assertEqual(0, self.store.get(registry.holder_key(GONE)).version)

    def test_pause_after_a_failure(self):
        """A failed recovery on demand is followed by a pause.

        The pause was counted from its start, so that none followed one that
        took over 500 ms, as with agents that don't answer: each request that
        lacked tokens tried again, and sealed and read everything once more.
        """
        for took_ms in (0, recovery.RETRY_PAUSE_MS, 2000):
            self.store.list_ms = took_ms
            self.store.list_attempts = 0
            self.assertFalse(self.recovery.recover_on_demand(GONE))
            self.assertEqual(1, self.store.list_attempts)
            self.clock.advance(recovery.RETRY_PAUSE_MS - 1)
            self.assertFalse(self.recovery.recover_on_demand(GONE))
            self.assertEqual(1, self.store.list_attempts)
            self.clock.advance(1)
        self.store.list_ms = None
        self.assertTrue(self.recovery.recover_on_demand(GONE))

    def test_orphaned_grants_beside_an_unreadable_record(self):
        """Grants without a record are recovered, those under it are kept.

        The list of all holders failed at the unreadable record, so grants
        without a record stayed for good.
        """
        page = ledger.Page()
        ledger.top_up(page, BUDGET, ledger.TopUp('1', 1000))
        for name in ('orphan.a', 'r9.a'):
            ledger.draw(page, BUDGET, name, 100, 100)
        key = f'{ledger.PAGE_PREFIX}0000'
        self.store.put(key, 0, msgspec.json.encode(page))
        self.store.put(registry.holder_key('r9.a'), 0, b'{"births": "a text"}')
        self.recovery.recover_orphaned_grants()
        page = store_client.decode(self.store.get(key), ledger.Page)
        self.assertEqual(['r9.a'], list(page.entries[BUDGET].grants))
