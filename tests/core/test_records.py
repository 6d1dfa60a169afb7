"""Claims and runs: one attempt at a time, fences, poison."""

import unittest

import gevent

from galenaspoke.core import clock
from galenaspoke.core import records
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages


class ClaimsTest(unittest.TestCase):
    """Who may run a request."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.claims = records.Claims(self.clock)

    def claim(self, key, propose='a', digest=None, **terms):
        """Claim with a content of the key's own."""
        content = digest or f'content of {key}'
        return self.claims.claim(key, content, key, propose, **terms)

    def test_second_router_follows(self):
        first = self.claim('k')
        second = self.claim('k', 'b')
        self.assertTrue(first.new)
        self.assertFalse(second.new)
        self.assertEqual('a', second.runner)

    def test_other_content_under_the_same_key(self):
        self.claim('k')
        refusal = self.claim('k', digest='other')
        self.assertIs(verdicts.Reason.KEY_CONFLICT, refusal.reason)

    def test_fenced_key_is_never_claimed(self):
        self.assertIsNone(self.claims.ask('k'))
        refusal = self.claim('k')
        self.assertIs(verdicts.Reason.MOVED, refusal.reason)

    def test_non_repeatable_is_not_tried_again(self):
        self.claim('k')
        failure = records.Failure(1, False)
        refusal = self.claim('k', failure=failure, repeatable=False)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, refusal.verdict)

    def test_non_repeatable_proved_not_to_have_run(self):
        self.claim('k')
        failure = records.Failure(1, True)
        again = self.claim('k', 'b', failure=failure, repeatable=False)
        self.assertEqual(
            (2, 'b', True), (again.attempt, again.runner, again.new)
        )

    def test_unproved_failure_makes_the_next_attempt_unbillable(self):
        self.claim('k')
        again = self.claim('k', 'b', failure=records.Failure(1, False))
        self.assertFalse(again.billable)
        later = self.claim('k', 'c', failure=records.Failure(2, True))
        self.assertFalse(later.billable)

    def test_stale_failure_changes_nothing(self):
        self.claim('k')
        self.claim('k', 'b', failure=records.Failure(1, True))
        late = self.claim('k', 'c', failure=records.Failure(1, True))
        self.assertEqual(
            (2, 'b', False), (late.attempt, late.runner, late.new)
        )

    def test_poison_is_contained_under_any_key(self):
        """At most `poison_limit` targets go down, whatever the keys."""
        brought_down = set()
        for number in range(10):
            target = f't{number}'
            claimed = self.claim(f'k{number}', target, digest='poison')
            if isinstance(claimed, verdicts.Refusal):
                self.assertIs(verdicts.Reason.POISON, claimed.reason)
                continue
            brought_down.add(claimed.runner)
            failure = records.Failure(1, True, f'{claimed.runner}:1')
            self.claim(
                f'k{number}', f'u{number}', digest='poison', failure=failure
            )
        self.assertLessEqual(len(brought_down), 2)

    def test_same_content_goes_to_one_target_at_a_time(self):
        first = self.claim('k1', 'a', digest='same')
        second = self.claim('k2', 'b', digest='same')
        self.assertEqual(first.runner, second.runner)

    def test_expired_claims_are_named(self):
        self.claim('k')
        self.clock.advance(1001)
        self.assertEqual(['k'], self.claims.expire(1000))
        self.assertEqual(0, len(self.claims))

    def test_adopted_record_is_not_run_again(self):
        handed = messages.Handed('k', 'content of k', 'k', 1, 'x.1', False)
        self.claims.adopt(handed, '', 'a')
        found = self.claim('k')
        self.assertEqual(('x.1', False), (found.runner, found.new))


class RunsTest(unittest.TestCase):
    """Runs, their fences, and following them."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.runs = run_table.Runs(self.clock)

    def test_fenced_attempt_never_starts(self):
        self.runs.find_or_fence('k', 1)
        self.assertIsNone(self.runs.start('k', 1, 'd1'))

    def test_fenced_dispatch_never_starts(self):
        self.runs.find_dispatch_or_fence('d1')
        self.assertIsNone(self.runs.start('k', 1, 'd1'))

    def test_attempt_starts_once(self):
        self.assertIsNotNone(self.runs.start('k', 1, 'd1'))
        self.assertIsNone(self.runs.start('k', 1, 'd2'))

    def test_two_followers_get_every_piece(self):
        run = self.runs.start('k', 1, 'd1')
        tasks = [
            gevent.spawn(lambda s=skip: sum(run.follow(s), []))
            for skip in (0, 2)
        ]
        for piece in 'abcd':
            run.add([piece])
            gevent.sleep(0)
        run.state = run_table.RunState.DONE
        run.finish(self.clock.now())
        gevent.joinall(tasks)
        self.assertEqual(list('abcd'), tasks[0].value)
        self.assertEqual(list('cd'), tasks[1].value)
        self.assertEqual(list('bcd'), sum(run.follow(1), []))

    def test_running_is_not_expired(self):
        run = self.runs.start('k', 1, 'd1')
        self.clock.advance(10_000)
        self.runs.expire(1000)
        self.assertIs(run, self.runs.find('k', 1))
        run.state = run_table.RunState.DONE
        run.ended_at = self.clock.now()
        self.clock.advance(1001)
        self.runs.expire(1000)
        self.assertIsNone(self.runs.find('k', 1))
