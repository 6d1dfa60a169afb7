"""Operators' commands when the store is slow, fails or loses responses.

`galenaspoke-ctl top-up` ended with "no response in time" after one call that
took more than a second, on a loaded machine.
"""

import unittest

from galenaspoke.conf import definitions
from galenaspoke.core import clock as clocks
from galenaspoke.core import ledger
from galenaspoke.ctl import budget_admin
from galenaspoke.ctl import retrying_store
from galenaspoke.store import client as store_client
from tests import fakes

COMMAND_TIMEOUT_MS = 30_000
TIMEOUT_MS = 1000


class SlowClient:
    """A client of a FakeStore whose responses take `delay_ms`.

    A call that takes longer than its timeout ends there; its write takes
    effect all the same.  Time passes on the clock of the test.
    """

    def __init__(self, test, cfg):
        self._test = test
        self._timeout_ms = cfg.timeout_ms

    def get(self, key):
        """Read after the delay, or fail at the timeout."""
        if not self._wait():
            raise store_client.StoreUnavailable('no response in time')
        return self._test.store.get(key)

    def put(self, key, version, value):
        """Write; the response comes after the delay, or is lost."""
        written_version = self._test.store.put(key, version, value)
        if not self._wait():
            raise store_client.OutcomeUnknown('no response in time')
        return written_version

    def _wait(self):
        delay_ms = self._test.delay_ms
        if self._test.lost_responses:
            self._test.lost_responses -= 1
            delay_ms = 2 * COMMAND_TIMEOUT_MS
        self._test.clock.advance(min(delay_ms, self._timeout_ms))
        return delay_ms <= self._timeout_ms


class RetryingStoreTest(unittest.TestCase):
    """Top-ups through a RetryingStore, on a clock that the test moves."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.clock = clocks.ManualClock()
        self.delay_ms = 0
        self.lost_responses = 0
        self.outage_ends_at = 2 * COMMAND_TIMEOUT_MS
        self.reports = []
        self.cfg = definitions.ControlConfig(
            ctl=definitions.ControlSettings(
                command_timeout_ms=COMMAND_TIMEOUT_MS
            ),
            store=definitions.StoreSettings(
                url='http://127.0.0.1:1', timeout_ms=TIMEOUT_MS
            ),
        )

    def sleep(self, seconds):
        """Move the clock; the store serves again when its outage is over."""
        self.clock.advance(int(seconds * 1000))
        if self.clock.now() >= self.outage_ends_at:
            self.store.down = False

    def top_up(self, payment_id='1'):
        """Run a top-up of 100 tokens as a command of its own."""
        retrying = retrying_store.RetryingStore(
            self.cfg,
            lambda cfg: SlowClient(self, cfg),
            self.reports.append,
            self.clock,
            self.sleep,
        )
        payment = ledger.TopUp(payment_id, 100)
        return budget_admin.top_up(retrying, self.cfg.store, 'b', payment)

    def get_limit(self):
        """Return the limit of the budget, 0 if it has no entry."""
        self.store.down = False
        entry = budget_admin.list_entries(self.store).get('b')
        return entry.limit if entry else 0

    def test_store_slower_than_one_timeout(self):
        self.delay_ms = 3 * TIMEOUT_MS
        self.top_up()
        self.assertEqual(100, self.get_limit())
        self.assertEqual(1, len(self.reports))

    def test_lost_responses_count_once(self):
        """Of reads and writes; neither attempt nor repetition counts twice."""
        for lost_responses in range(1, 5):
            self.lost_responses = lost_responses
            self.top_up('1')
            self.assertEqual(100, self.get_limit())

    def test_lost_response_takes_one_timeout(self):
        self.lost_responses = 1
        self.top_up()
        self.assertEqual(
            TIMEOUT_MS + retrying_store.PAUSE_MS, self.clock.now()
        )

    def test_outage_that_ends(self):
        """Reads and writes go on once the store serves again."""
        self.store.faults = ['down', 'down']
        self.store.down = True
        self.outage_ends_at = COMMAND_TIMEOUT_MS // 2
        self.top_up()
        self.assertEqual(100, self.get_limit())

    def test_outage_beyond_the_command(self):
        """The command ends with its time, and has changed nothing."""
        self.store.down = True
        with self.assertRaises(store_client.StoreUnavailable) as caught:
            self.top_up()
        self.assertNotIsInstance(
            caught.exception, store_client.WriteUnresolved
        )
        self.assertGreaterEqual(self.clock.now(), COMMAND_TIMEOUT_MS)
        self.assertLessEqual(
            self.clock.now(),
            COMMAND_TIMEOUT_MS + TIMEOUT_MS + retrying_store.PAUSE_MS,
        )
        self.assertEqual(0, self.get_limit())

    def test_unknown_outcome_is_said_and_repeatable(self):
        """The store goes silent after the write; its repetition is safe."""
        original = self.store.put

        def put(*args):
            version = original(*args)
            self.lost_responses = 1000
            return version

        self.store.put = put
        with self.assertRaises(store_client.WriteUnresolved):
            self.top_up('1')
        self.assertLessEqual(
            self.clock.now(),
            COMMAND_TIMEOUT_MS + TIMEOUT_MS + retrying_store.PAUSE_MS,
        )
        self.store.put = original
        self.lost_responses = 0
        applied, entry = self.top_up('1')
        self.assertEqual((False, 100), (applied, entry.limit))

    def test_writes_without_response_end_with_the_command(self):
        """Reads are answered, and every write is dropped without a word."""
        self.store.faults = ['dropped'] * 100_000
        retry_ms = 500
        original = self.store.put

        def put(*args):
            self.clock.advance(retry_ms)
            return original(*args)

        self.store.put = put
        with self.assertRaises(store_client.WriteUnresolved):
            self.top_up()
        self.assertLessEqual(self.clock.now(), COMMAND_TIMEOUT_MS + retry_ms)
        self.assertEqual(0, self.get_limit())
