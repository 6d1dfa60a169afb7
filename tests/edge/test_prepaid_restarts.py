"""Prepaid budgets across restarts, lost and late writes, loans, new limits.

Guards against overspending when a process dies with unreported spending or a
write to the ledger has an unknown outcome.
"""

import io
import unittest

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from galenaspoke.core import ledger
from galenaspoke.edge.money import loan_protocol
from galenaspoke.edge.money import reservations
from tests.edge import fleets

# Longer than any wait on a busy machine: it must not decide the outcome.
LONG_WAIT_MS = 60_000


class RestartTest(unittest.TestCase):
    """A process that starts on an instance ends its predecessor's grants."""

    def setUp(self):
        self.fleet = fleets.Fleet()

    def test_unreported_spending_is_in_doubt(self):
        self.fleet.start('a')
        self.assertTrue(self.fleet.serve('a', 600, 500))
        entry_before = self.fleet.page().entries[fleets.BUDGET]
        granted = sum(grant.granted for grant in entry_before.grants.values())
        self.fleet.start('a')
        self.assertTrue(self.fleet.serve('a', 1, 0))
        entry = self.fleet.page().entries[fleets.BUDGET]
        self.assertEqual(granted, entry.settled + entry.in_doubt_tokens())
        self.assertEqual(
            [self.fleet.managers['a'].holder_name], list(entry.grants)
        )
        self.assertEqual(1, len(self.fleet.page().writers))

    def test_successor_that_only_borrows_ends_old_grants(self):
        for name in 'ab':
            self.fleet.start(name)
        self.fleet.serve('a', 600, 500)
        # No router answers at the address of router a, so router b draws.
        old_holder = self.fleet.managers.pop('a').holder_name
        self.fleet.serve('b', 2000, 500)
        self.fleet.start('a')
        self.assertTrue(self.fleet.serve('a', 600, 500))
        entry = self.fleet.page().entries[fleets.BUDGET]
        self.assertNotIn(old_holder, entry.grants)
        self.assertGreater(entry.in_doubt_tokens(), 0)

    def test_replaced_process_says_why_it_refuses(self):
        """The refusal says that the holder is sealed.

        Callers of a process that its successor had replaced got the name of
        its holder as the only reason.
        """
        old = self.fleet.start('a')
        self.fleet.serve('a', 600, 500)
        self.fleet.start('a')
        self.fleet.serve('a', 1, 0)
        failure = old.reserve(fleets.BUDGET, 5000, LONG_WAIT_MS)
        self.assertIs(reservations.Shortage.UNREACHABLE, failure.shortage)
        self.assertEqual(
            f'the holder {old.holder_name} is sealed and can no longer draw'
            ' or return tokens',
            failure.detail,
        )

    def test_grants_of_other_instances_stay(self):
        self.fleet.start('a')
        self.fleet.serve('a', 600, 500)
        self.fleet.start('b')
        self.assertEqual(
            1, len(self.fleet.page().entries[fleets.BUDGET].grants)
        )

    def test_clean_shutdown_leaves_nothing_in_doubt(self):
        self.fleet.start('a')
        self.fleet.serve('a', 600, 500)
        self.fleet.managers['a'].close()
        entry = self.fleet.page().entries[fleets.BUDGET]
        self.assertEqual((500, 0), (entry.settled, entry.in_doubt_tokens()))
        self.assertEqual(fleets.LIMIT - 500, entry.free_tokens())

    def test_open_reservations_count_as_spent_at_shutdown(self):
        self.fleet.start('a')
        self.fleet.managers['a'].reserve(fleets.BUDGET, 600, fleets.WAIT_MS)
        self.fleet.managers['a'].close()
        self.assertEqual(600, self.fleet.page().entries[fleets.BUDGET].settled)


class LimitTest(unittest.TestCase):
    """Limits that operators raise or lower, and why requests are refused."""

    def setUp(self):
        self.fleet = fleets.Fleet(1000)
        self.fleet.start('a')

    def test_exhausted_when_spending_proves_it(self):
        self.assertTrue(self.fleet.serve('a', 900, 900))
        failure = self.fleet.managers['a'].reserve(
            fleets.BUDGET, 200, fleets.WAIT_MS
        )
        self.assertIs(reservations.Shortage.EXHAUSTED, failure.shortage)

    def test_not_exhausted_while_tokens_are_in_doubt(self):
        self.fleet.serve('a', 900, 900)
        self.fleet.start('a')
        failure = self.fleet.managers['a'].reserve(
            fleets.BUDGET, 200, fleets.WAIT_MS
        )
        self.assertIs(reservations.Shortage.IN_DOUBT, failure.shortage)

    def test_raised_limit(self):
        self.fleet.serve('a', 900, 900)
        self.fleet.catalog = fleets.catalog_with_limit(2000, 2)
        self.assertTrue(self.fleet.serve('a', 500, 500))

    def test_older_generation_changes_nothing(self):
        page = ledger.Page()
        ledger.set_limit(page, fleets.BUDGET, 500, 7)
        self.assertFalse(ledger.set_limit(page, fleets.BUDGET, 900, 6))
        self.assertEqual(500, page.entries[fleets.BUDGET].limit)

    def test_limit_below_spending(self):
        self.fleet.serve('a', 600, 600)
        self.fleet.catalog = fleets.catalog_with_limit(100, 2)
        self.fleet.managers['a'].apply_new_limits()
        gevent.sleep(0.01)
        self.assertFalse(self.fleet.serve('a', 1, 1))
        entry = self.fleet.page().entries[fleets.BUDGET]
        self.assertLessEqual(entry.committed_tokens(), 600)

    def test_unreachable_store(self):
        self.fleet.serve('a', 100, 100)
        self.fleet.store.down = True
        failure = self.fleet.managers['a'].reserve(
            fleets.BUDGET, 950, fleets.WAIT_MS
        )
        self.assertIs(reservations.Shortage.UNREACHABLE, failure.shortage)

    def test_request_during_a_draw_gets_its_own_draw(self):
        fleet = fleets.Fleet(100_000)
        fleet.start('a')
        results = []

        def serve():
            results.append(fleet.serve('a', 9_000, 10))

        gevent.joinall([gevent.spawn(serve) for _ in range(4)])
        self.assertEqual([True] * 4, results)


class ReportTest(unittest.TestCase):
    """A budget that is granted whole, so that nothing more is drawn."""

    def setUp(self):
        self.fleet = fleets.Fleet(1000)
        self.manager = self.fleet.start('a')
        self.assertTrue(self.fleet.serve('a', 1000, 0))

    def reported(self):
        """Return the tokens that the ledger knows as spent."""
        (grant,) = self.fleet.page().entries[fleets.BUDGET].grants.values()
        return grant.spent

    def test_owner_reports_what_it_spent(self):
        self.fleet.serve('a', 600, 600)
        self.assertEqual(0, self.reported())
        self.manager._rebalance(fleets.BUDGET)
        gevent.sleep(0.01)
        self.assertEqual(600, self.reported())

    def test_little_is_not_reported(self):
        self.fleet.serve('a', 30, 30)
        writes = self.fleet.store.writes
        self.manager._rebalance(fleets.BUDGET)
        gevent.sleep(0.01)
        self.assertEqual(writes, self.fleet.store.writes)


class NothingWantedTest(unittest.TestCase):
    """A draw that finds that enough is held, as a probe after an outage."""

    def test_next_request_is_not_refused(self):
        fleet = fleets.Fleet(100_000)
        manager = fleet.start('a')
        self.assertTrue(fleet.serve('a', 1_000, 0))
        change = manager._ledger_client.draw(fleets.BUDGET)
        self.assertEqual('nothing wanted', change.result.get())
        self.assertTrue(fleet.serve('a', 50_000, 10))


class LoanTest(unittest.TestCase):
    """Loans between routers while the ledger has no free tokens."""

    def setUp(self):
        self.fleet = fleets.Fleet(1000)
        self.fleet.start('a')
        self.fleet.start('b')
        # Router a holds the whole budget.
        lender = self.fleet.managers['a']
        lender.reserve(fleets.BUDGET, 1000, fleets.WAIT_MS).settle(0)
        # By now, the demand that router a recorded has decayed.
        self.fleet.clock.advance(60_000)

    def test_borrows_what_others_hold(self):
        self.assertTrue(self.fleet.serve('b', 300, 300))
        self.assertLessEqual(self.fleet.spent, 1000)

    def test_loan_counts_as_spent_by_the_lender(self):
        self.fleet.serve('b', 300, 0)
        lender = self.fleet.managers['a'].dump()['budgets'][fleets.BUDGET]
        self.assertGreaterEqual(lender['spent'], 300)

    def test_lender_and_borrower_restart(self):
        self.fleet.serve('b', 300, 300)
        self.fleet.start('a')
        self.fleet.start('b')
        self.fleet.serve('a', 1, 0)
        entry = self.fleet.page().entries[fleets.BUDGET]
        self.assertGreaterEqual(entry.settled + entry.in_doubt_tokens(), 300)

    def test_no_lender(self):
        self.fleet.start('c', fleets.UnreachableLoanClient())
        self.assertFalse(self.fleet.serve('c', 300, 300))

    def test_malformed_request_is_refused(self):
        statuses = []
        environ = {
            'PATH_INFO': loan_protocol.LEND_PATH,
            'wsgi.input': io.BytesIO(b'garbage'),
        }
        loan_protocol.make_lending_app(self.fleet.managers['a'])(
            environ,
            lambda status, _: statuses.append(status),
        )
        self.assertEqual(['400 Bad Request'], statuses)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('serve'),
            strategies.sampled_from('abc'),
            strategies.integers(1, 400),
        ),
        strategies.tuples(
            strategies.just('restart'),
            strategies.sampled_from('abc'),
            strategies.just(0),
        ),
        strategies.tuples(
            strategies.just('fault'),
            strategies.sampled_from(['lost', 'dropped', 'late', 'down']),
            strategies.just(0),
        ),
        strategies.tuples(
            strategies.just('limit'),
            strategies.just(''),
            strategies.integers(500, 2000),
        ),
    ),
    max_size=30,
)


class OverspendTest(unittest.TestCase):
    """Random histories never spend more than the highest limit."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(STEPS)
    def test_random_histories(self, steps):
        fleet = fleets.Fleet(1000)
        highest = 1000
        for name in 'abc':
            fleet.start(name)
        for step, name, amount in steps:
            if step == 'serve':
                fleet.clock.advance(100)
                fleet.serve(name, amount, amount)
            elif step == 'restart':
                fleet.start(name)
            elif step == 'fault':
                fleet.store.faults.append(name)
            else:
                generation = fleet.catalog.generation + 1
                fleet.catalog = fleets.catalog_with_limit(amount, generation)
                highest = max(highest, amount)
        self.assertLessEqual(fleet.spent, highest)
