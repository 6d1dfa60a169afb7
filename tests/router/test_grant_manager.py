"""Grants of a router: shared draws, unknown write outcomes, sealing."""

import unittest

import gevent
import msgspec

from galenaspoke.conf import definitions
from galenaspoke.core import clock
from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.core import verdicts
from galenaspoke.router import grant_manager
from galenaspoke.router import holders
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics
from tests import fakes

BUDGET = 'voucher-desk'
LIMIT = 10_000


def make_settings(**options):
    """Return a router's settings."""
    return definitions.RouterConfig(
        router=definitions.RouterSettings(
            name='r1',
            domain='a',
            listen='127.0.0.1:1',
            peer_listen='127.0.0.1:2',
            **options,
        ),
        store=definitions.StoreSettings(url='http://127.0.0.1:3'),
        metrics=definitions.MetricsSettings(),
        logging=definitions.LoggingSettings(),
    )


class GrantManagerTest(unittest.TestCase):
    """A grant manager on a fake store with one budget."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.cfg = make_settings()
        self.key = ledger.page_key(BUDGET, self.cfg.store.ledger_pages)
        page = ledger.Page()
        ledger.top_up(page, BUDGET, ledger.TopUp('1', LIMIT))
        self.store.put(self.key, 0, msgspec.json.encode(page))
        self.grant_manager = self.make_grant_manager()

    def make_grant_manager(self):
        """Return a new router's grant manager; set `self.holders`."""
        counters = metrics.Metrics(self.cfg.metrics, 'r1')
        self.holders = holders.HolderManager(
            self.cfg, self.store, clock.Clock(), counters
        )
        self.holders.open()
        return grant_manager.GrantManager(
            self.cfg, self.holders, clock.Clock(), counters
        )

    def read_entry(self):
        """Return the budget's ledger entry."""
        item = self.store.get(self.key)
        page = store_client.decode(item, ledger.Page)
        ledger.check_invariants(page)
        return page.entries[BUDGET]

    def read_granted(self):
        """Return the tokens granted to the current holder in the ledger."""
        name = self.holders.current.name
        grant = self.read_entry().grants.get(name)
        return grant.granted if grant else 0

    def reserve(self, amount, manager=None):
        """Reserve tokens, waiting up to a second."""
        return (manager or self.grant_manager).reserve(BUDGET, amount, 1000)

    def test_reserves_up_to_the_limit_and_no_more(self):
        self.assertIsInstance(self.reserve(LIMIT), grant_manager.Reservation)
        refused = self.reserve(1)
        self.assertIsInstance(refused, grant_manager.ReservationFailure)
        self.assertIs(verdicts.Reason.BUDGET_EXHAUSTED, refused.refusal.reason)

    def test_finished_draw_is_not_reused(self):
        """A reservation does not take the result of an earlier draw.

        Found by random faults, seeds 5 and 13: a request was refused as
        exhausted with 11,591 tokens left, because it checked the finished
        draw again and again and never let the draw's clean-up run.
        """
        for _ in range(30):
            reserved = self.reserve(100)
            self.assertIsInstance(reserved, grant_manager.Reservation)

    def test_concurrent_reservations_share_draws(self):
        tasks = [gevent.spawn(self.reserve, 100) for _ in range(100)]
        gevent.joinall(tasks)
        for task in tasks:
            self.assertIsInstance(task.value, grant_manager.Reservation)
        self.assertLess(self.store.writes, 60)

    def test_write_with_lost_response_is_recognised(self):
        self.store.faults = ['lost']
        self.assertIsInstance(self.reserve(100), grant_manager.Reservation)
        balance = self.holders.current.book.get_balance(BUDGET)
        self.assertEqual(balance.granted, self.read_granted())

    def test_dropped_write_is_not_counted(self):
        self.store.faults = ['dropped']
        self.assertIsInstance(self.reserve(100), grant_manager.Reservation)
        balance = self.holders.current.book.get_balance(BUDGET)
        self.assertEqual(balance.granted, self.read_granted())

    def test_outage_is_distinguished_from_exhaustion(self):
        self.store.down = True
        refused = self.reserve(100)
        self.assertIs(
            verdicts.Reason.BUDGET_UNREACHABLE, refused.refusal.reason
        )

    def test_held_tokens_serve_during_an_outage(self):
        first = self.reserve(500)
        first.settle(100)
        self.store.down = True
        self.assertIsInstance(self.reserve(300), grant_manager.Reservation)

    def test_released_tokens_serve_another_router(self):
        self.reserve(LIMIT).settle(1000)
        self.assertEqual(LIMIT - 1000, self.grant_manager.release(BUDGET))
        other = self.make_grant_manager()
        reserved = self.reserve(LIMIT - 1000, other)
        self.assertIsInstance(reserved, grant_manager.Reservation)

    def test_small_request_sharing_a_draw_with_a_large_one(self):
        """A failed draw for a larger need does not refuse a smaller one.

        Found by measuring exhaustion (1 or 2 false refusals in 110): both
        requests shared the draw for the larger need, and its failure refused
        the smaller one as well.
        """
        self.reserve(LIMIT - 15)
        large = gevent.spawn(self.reserve, 30)
        small = gevent.spawn(self.reserve, 10)
        gevent.joinall([large, small])
        self.assertIsInstance(large.value, grant_manager.ReservationFailure)
        self.assertIsInstance(small.value, grant_manager.Reservation)

    def test_release_waits_for_a_draw_in_progress(self):
        """Tokens of a draw whose response is outstanding are released too.

        Found by measuring exhaustion (1 false refusal in 221): `release`
        returned 0 while a draw larger than needed was in progress, so that
        the router that asked refused its request.
        """
        original = self.store.put

        def slow_put(*args):
            version = original(*args)
            gevent.sleep(0.01)
            return version

        self.store.put = slow_put
        drawing = gevent.spawn(self.reserve, 10)
        gevent.sleep(0.005)
        self.assertGreater(self.read_granted(), 10)
        self.assertGreater(self.grant_manager.release(BUDGET), 0)
        self.assertIsInstance(drawing.get(), grant_manager.Reservation)

    def test_return_in_progress_counts(self):
        """If two routers ask for a release, both learn of returned tokens.

        Found by measuring exhaustion: the second router got the reply 0 and
        refused its request, although the tokens returned for the first one
        were about to be written to the store.
        """
        self.reserve(LIMIT).settle(1000)
        original = self.store.put

        def slow_put(*args):
            gevent.sleep(0.01)
            return original(*args)

        self.store.put = slow_put
        tasks = [
            gevent.spawn(self.grant_manager.release, BUDGET) for _ in '12'
        ]
        gevent.joinall(tasks)
        self.assertTrue(all(task.value > 0 for task in tasks))
        self.assertEqual(0, self.grant_manager.release(BUDGET))

    def test_sealed_holder_can_not_draw(self):
        """A holder that resumes after its recovery is granted nothing."""
        self.reserve(100)
        old = self.holders.current
        record_key = registry.holder_key(old.name)
        item = self.store.get(record_key)
        page = store_client.decode(self.store.get(self.key), ledger.Page)
        ledger.close_grant(page, BUDGET, old.name, 100, 0)
        page.writers.pop(old.name)
        version = self.store.get(self.key).version
        self.store.put(self.key, version, msgspec.json.encode(page))
        self.store.delete(record_key, item.version)
        reserved = self.reserve(5000)
        self.assertIsInstance(reserved, grant_manager.Reservation)
        self.assertIsNot(old, reserved.holder)
        self.assertTrue(old.is_sealed)
        self.assertNotIn(old.name, self.read_entry().grants)

    def test_close_books_and_frees_grants(self):
        self.reserve(100).settle(70)
        self.holders.close()
        self.assertEqual({}, self.read_entry().grants)
        self.assertEqual(70, self.read_entry().settled)
        self.assertEqual([], self.store.list('holders/').items)
        page = store_client.decode(self.store.get(self.key), ledger.Page)
        self.assertEqual({}, page.writers)

    def test_replaced_holder_closes_after_its_requests(self):
        first = self.reserve(100)
        old = self.holders.current
        task = gevent.spawn(self.holders.replace)
        gevent.sleep(0)
        self.assertIsNot(old, self.holders.current)
        second = self.reserve(100)
        self.assertIsNot(old, second.holder)
        self.assertIn(old.name, self.read_entry().grants)
        first.settle(40)
        task.join(timeout=5)
        self.assertNotIn(old.name, self.read_entry().grants)
        self.assertEqual(40, self.read_entry().settled)

    def test_replaced_holder_returns_unreserved_tokens_at_once(self):
        """The old holder keeps reserved tokens only, and reports spent ones.

        Found by random faults, seed 31: 17,399 tokens of one budget were in
        doubt, because routers crashed while their replaced holders still had
        their full grants and waited for a request to end.
        """
        self.reserve(300).settle(40)
        self.reserve(100)
        old = self.holders.current
        task = gevent.spawn(self.holders.replace)
        gevent.sleep(0.05)
        grant = self.read_entry().grants[old.name]
        self.assertEqual((140, 40), (grant.granted, grant.spent))
        task.kill()

    def test_own_closing_holder_is_not_recovered(self):
        """A router does not ask its own replaced holder to release tokens.

        Found by code review: the unspent tokens of the replaced holder
        counted as tokens of another holder, so that the router would have
        sealed its own holder.
        """
        self.reserve(LIMIT - 1000)
        task = gevent.spawn(self.holders.replace)
        gevent.sleep(0.05)
        asked = []
        self.grant_manager.request_release = (
            lambda budget, names: asked.extend(names)
        )
        self.assertIsInstance(
            self.reserve(2000), grant_manager.ReservationFailure
        )
        self.assertEqual([], asked)
        task.kill()

    def test_holder_sealed_before_its_first_write_to_a_page(self):
        """A holder that draws after it was sealed withdraws that grant."""
        name = self.holders.current.name
        key = registry.holder_key(name)
        self.store.delete(key, self.store.get(key).version)
        reserved = self.reserve(100)
        self.assertIsInstance(reserved, grant_manager.Reservation)
        self.assertNotIn(name, self.read_entry().grants)

    def test_late_write_with_another_amount(self):
        """The amount in the store counts, whichever attempt wrote it.

        The first write attempt seems lost, but takes effect after a second
        one was computed with a larger demand.
        """
        self.store.faults = ['late']
        balance = self.holders.current.book.get_balance(BUDGET)
        original = self.store.get

        def get(key):
            if self.store.late:
                balance.waiting_tokens += 3000
            return original(key)

        self.store.get = get
        self.assertIsInstance(self.reserve(100), grant_manager.Reservation)
        self.assertEqual(balance.granted, self.read_granted())
