"""Plans that divide new streams among software versions."""

import collections
import unittest
from unittest import mock

from galenaspoke.edge.streams import service_versions
from galenaspoke.edge.streams import version_plans
from galenaspoke.edge.streams import version_record
from tests.edge import test_version_record

# The longest time for which a router keeps a plan that has ended.
LONGEST_KEEP_MS = int(
    version_record.PLAN_KEEP_MS * (1 + version_record.KEEP_SPREAD)
)
KEYS = [f'pool|{number}' for number in range(2000)]


def make_plan(since_ms=0, ended_ms=None, **shares):
    """Return a plan with these shares."""
    return version_plans.Plan(shares, since_ms, ended_ms=ended_ms)


class ChoiceTest(unittest.TestCase):
    """Which version a plan chooses for a key."""

    def test_keys_are_divided_by_share(self):
        plan = make_plan(v1=12, v2=4)
        counts = collections.Counter(
            version_plans.choose_version(plan, key) for key in KEYS
        )
        self.assertAlmostEqual(0.25, counts['v2'] / len(KEYS), delta=0.04)

    # Guards against streams that all become uncertain with each target that a
    # release replaces.
    def test_only_keys_that_a_version_gains_move(self):
        before = make_plan(v1=12, v2=4)
        after = make_plan(v1=11, v2=5)
        moved = [
            key
            for key in KEYS
            if version_plans.choose_version(before, key)
            != version_plans.choose_version(after, key)
        ]
        self.assertLess(len(moved), 0.1 * len(KEYS))

    def test_shares_of_targets(self):
        self.assertEqual({'v1': 16}, version_plans.compute_shares({'v1': 3}))
        self.assertEqual(
            {'v1': 13, 'v2': 3},
            version_plans.compute_shares({'v1': 4, 'v2': 1}),
        )
        # One target of 60 isn't enough for a sixteenth of the streams.
        self.assertEqual(
            {'v1': 16}, version_plans.compute_shares({'v1': 59, 'v2': 1})
        )
        self.assertEqual(
            {'v2': 16}, version_plans.compute_shares({'v1': 0, 'v2': 2})
        )
        many = {f'v{number}': 1 for number in range(40)}
        self.assertEqual({'v0': 16}, version_plans.compute_shares(many))
        self.assertEqual({}, version_plans.compute_shares({'v1': 0}))


class CertaintyTest(unittest.TestCase):
    """What the plans on record tell about a stream."""

    def setUp(self):
        self.plans = [
            make_plan(0, ended_ms=10_000, v1=16),
            make_plan(10_000, ended_ms=20_000, v1=8, v2=8),
            make_plan(20_000, v2=16),
        ]

    def test_all_plans_agree(self):
        for key in KEYS[:100]:
            chosen = version_plans.choose_version(self.plans[1], key)
            found = version_plans.find_certain_version(self.plans[:2], key)
            self.assertIn(found, ('v1', None))
            self.assertEqual(chosen == 'v1', found == 'v1')

    def test_plans_that_disagree(self):
        for key in KEYS[:100]:
            found = version_plans.find_certain_version(self.plans, key)
            self.assertIsNone(found)

    # Guards against a plan that counts as out of use by a time that another
    # machine wrote: a stream that began by it may still be resumed.
    def test_plan_that_has_ended_counts(self):
        found = {
            version_plans.find_certain_version(self.plans[1:], key)
            for key in KEYS[:100]
        }
        self.assertEqual({'v2', None}, found)

    def test_lost_plans_make_all_uncertain(self):
        self.plans[0] = make_plan(0, ended_ms=10_000)
        for plans in (self.plans, self.plans[:1]):
            for key in KEYS[:100]:
                found = version_plans.find_certain_version(plans, key)
                self.assertIsNone(found)


class ManyPlansTest(unittest.TestCase):
    """More plans than the record holds."""

    # Guards against a plan that counts as ended since it was removed, though a
    # router may follow it: the news that an earlier one is settled came late.
    def test_late_settlement_of_a_plan_that_was_removed(self):
        versions = service_versions.ServiceVersions({'v1': 1, 'v2': 1})
        versions.add_plan({'v1': 16}, 1, 0)
        for number in range(service_versions.MAX_PLANS + 5):
            units = 1 + number % 2
            versions.add_plan(
                {'v1': units, 'v2': 16 - units}, number + 2, number
            )
        lost = versions.plans[0]
        self.assertTrue(lost.is_lost())
        self.assertGreater(lost.number, 3)
        self.assertEqual(service_versions.MAX_PLANS, len(versions.plans))
        # A router may still follow the plan 3.
        versions.settle(2, 10_000)
        self.assertFalse(versions.plans[0].has_ended())
        versions.settle(versions.plan_count, 20_000)
        self.assertTrue(versions.plans[0].has_ended())


class RecordedPlansTest(test_version_record.RecordTestCase):
    """The plans in the store's record."""

    def put_plan(self, counts, revision, is_settled=True):
        """Put a plan in force, which all routers then follow at once."""
        self.record.update('pool', {'v1', 'v2'}, counts, revision)
        if is_settled:
            self.settle()

    def settle(self):
        """Record that all routers follow the plan in force."""
        number = self.record.get_plan_number('pool')
        self.record.settle('pool', number)

    def test_written_once_by_all(self):
        for _ in range(4):
            self.make_record().update('pool', {'v1'}, {'v1': 3})
        self.assertEqual(1, self.store.writes)

    def test_same_shares_cost_no_call(self):
        self.record.update('pool', {'v1', 'v2'}, {'v1': 30, 'v2': 30})
        self.store.down = True
        self.record.update('pool', {'v1', 'v2'}, {'v1': 29, 'v2': 30})

    def find(self, key='k'):
        """Return a stream's version by what the store has now."""
        return self.record.find_version(self.record.read('pool'), key)

    def let_plans_go(self):
        """Let as much time pass as plans that have ended stay on record."""
        self.clock.advance(LONGEST_KEEP_MS + 1)
        self.record.update('pool', {'v1', 'v2'})

    def test_history_before_the_first_plan_is_uncertain(self):
        self.record.update('pool', {'v1', 'v2'})
        self.put_plan({'v1': 3}, 1, is_settled=False)
        self.let_plans_go()
        self.assertIsNone(self.find())
        self.settle()
        self.assertIsNone(self.find())
        self.let_plans_go()
        self.assertEqual('v1', self.find())

    # Guards against a new era of the store, whose record lacks the plans
    # written last.
    def test_history_before_a_new_era_is_uncertain(self):
        self.put_plan({'v1': 3}, 1)
        self.assertEqual('v1', self.find())
        self.store.objects.clear()
        self.store.era = 1
        self.put_plan({'v1': 3}, 1)
        self.assertIsNone(self.find())
        self.let_plans_go()
        self.assertEqual('v1', self.find())

    # Guards against the only version of a new era's record, which lacks the
    # versions of routers that have not noticed the era yet.
    def test_only_version_of_a_new_era_is_uncertain(self):
        self.store.era = 1
        self.record.update('pool', {'v1'}, {'v1': 3}, 1)
        self.assertIsNone(self.find())
        self.settle()
        self.assertIsNone(self.find())
        self.clock.advance(LONGEST_KEEP_MS + 1)
        self.record.update('pool', {'v1'})
        self.assertEqual('v1', self.find())

    def test_history_that_was_removed_is_uncertain(self):
        for number in range(service_versions.MAX_PLANS + 5):
            self.clock.advance(100)
            versions = {'v1': 1, 'v2': 1} if number % 2 else {'v1': 1}
            self.put_plan(versions, number + 1)
        record = self.record.read('pool')
        self.assertEqual(service_versions.MAX_PLANS, len(record.plans))
        for key in KEYS[:50]:
            self.assertIsNone(self.find(key))
        self.let_plans_go()
        # The last plan alone is left.
        self.assertEqual({'v1'}, {self.find(key) for key in KEYS[:50]})

    # Guards against plans that are removed while streams may begin by them.
    def test_history_that_was_removed_too_soon_is_uncertain(self):
        self.put_plan({'v1': 1}, 1)
        for number in range(service_versions.MAX_PLANS + 5):
            versions = {'v1': 1} if number % 2 else {'v1': 1, 'v2': 1}
            self.put_plan(versions, number + 2, is_settled=False)
        self.let_plans_go()
        record = self.record.read('pool')
        self.assertEqual(service_versions.MAX_PLANS, len(record.plans))
        for key in KEYS[:50]:
            self.assertIsNone(self.find(key))
        self.settle()
        self.let_plans_go()
        found = {self.find(key) for key in KEYS[:50]}
        self.assertEqual({'v1', 'v2'}, found)

    # Guards against plans that leave the record by the times that other
    # machines wrote: their clocks say nothing about the age of a stream.
    def test_wall_clocks_remove_no_plan(self):
        self.put_plan({'v1': 1, 'v2': 1}, 1)
        self.put_plan({'v1': 1}, 2)
        moved = [key for key in KEYS[:50] if self.find(key) is None]
        self.assertTrue(moved)
        for error_ms in (-12_000, 12_000, 20 * 60_000):
            with mock.patch.object(
                type(self.clock), 'wall', lambda self: self.now() + error_ms
            ):
                other = self.make_record()
                other.update('pool', {'v1', 'v2'}, {'v1': 3}, 3)
                other.update('pool', {'v1', 'v2', 'v3'}, {'v1': 3}, 3)
                record = other.read('pool')
            for key in moved:
                self.assertIsNone(other.find_version(record, key))

    # Guards against a process that has just started, and takes the end of a
    # plan for older than it knows.
    def test_new_process_keeps_the_plans(self):
        self.put_plan({'v1': 1, 'v2': 1}, 1)
        self.put_plan({'v1': 1}, 2)
        self.clock.advance(LONGEST_KEEP_MS)
        other = self.make_record()
        other.update('pool', {'v1', 'v2'}, {'v1': 1}, 3)
        self.clock.advance(version_record.PLAN_KEEP_MS - 1)
        other.update('pool', {'v1', 'v2', 'v3'}, {'v1': 1}, 3)
        self.assertEqual(2, len(self.record.read('pool').plans))

    # Guards against a plan worked out from an old view of the targets, which
    # replaces the one that all others follow.
    def test_older_view_does_not_replace_a_plan(self):
        self.put_plan({'v2': 1}, 20)
        late = self.make_record()
        late.update('pool', {'v1', 'v2'}, {'v1': 1}, 19)
        self.assertEqual({'v2': 16}, late.get_plan('pool').shares)
        self.assertEqual(1, len(self.record.read('pool').plans))

    def test_clock_that_is_behind_keeps_the_order(self):
        self.put_plan({'v1': 1}, 1)
        self.clock.advance(-2_000)
        self.put_plan({'v2': 1}, 2)
        times = [plan.since_ms for plan in self.record.read('pool').plans]
        self.assertEqual(2, len(times))
        self.assertEqual(sorted(times), times)

    # Guards against a call to the store at each update while a version has an
    # entry, but no target that this router would use.
    def test_version_without_usable_targets_costs_no_calls(self):
        self.record.update('pool', {'v1'}, {'v1': 1, 'v9': 1})
        self.store.down = True
        self.record.update('pool', {'v1'}, {'v1': 1, 'v9': 1})

    def test_version_that_is_not_on_record_gets_no_share(self):
        self.record.update('pool', {'v1'}, {'v1': 1, 'v9': 1})
        plan = self.record.get_plan('pool')
        self.assertNotIn('v9', plan.shares)
