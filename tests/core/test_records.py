"""Tests for claims and runs: attempts, fences and poison requests."""

import unittest

import gevent

from galenaspoke.core import clock
from galenaspoke.core import records
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages


class ClaimsTest(unittest.TestCase):
    """Decisions on which agent runs a request."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.claims = records.Claims(self.clock)

    def claim(self, key, proposed_runner='a', digest=None, **options):
        """Claim a request whose content is unique to its key by default."""
        content = digest or f'content of {key}'
        return self.claims.claim(key, content, key, proposed_runner, **options)

    def test_second_router_follows_the_first_attempt(self):
        first = self.claim('k')
        second = self.claim('k', 'b')
        self.assertTrue(first.new)
        self.assertFalse(second.new)
        self.assertEqual('a', second.runner)

    def test_key_reused_with_other_content_is_refused(self):
        self.claim('k')
        refusal = self.claim('k', digest='other')
        self.assertIs(verdicts.Reason.KEY_CONFLICT, refusal.reason)

    def test_fenced_key_is_never_claimed(self):
        self.assertIsNone(self.claims.find_or_fence('k'))
        refusal = self.claim('k')
        self.assertIs(verdicts.Reason.MOVED, refusal.reason)

    def test_non_repeatable_request_is_not_retried(self):
        self.claim('k')
        failure = records.Failure(1, False)
        refusal = self.claim('k', failure=failure, repeatable=False)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, refusal.verdict)

    def test_non_repeatable_request_is_retried_if_not_billed(self):
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

    def test_poison_content_is_limited_across_keys(self):
        """The same content crashes at most `poison_limit` targets.

        The keys of the requests make no difference.
        """
        crashed_targets = set()
        for number in range(10):
            target = f't{number}'
            claimed = self.claim(f'k{number}', target, digest='poison')
            if isinstance(claimed, verdicts.Refusal):
                self.assertIs(verdicts.Reason.POISON, claimed.reason)
                continue
            crashed_targets.add(claimed.runner)
            failure = records.Failure(1, True, f'{claimed.runner}:1')
            self.claim(
                f'k{number}', f'u{number}', digest='poison', failure=failure
            )
        self.assertLessEqual(len(crashed_targets), 2)

    def test_same_content_runs_on_one_target_at_a_time(self):
        first = self.claim('k1', 'a', digest='same')
        second = self.claim('k2', 'b', digest='same')
        self.assertEqual(first.runner, second.runner)

    def test_expire_returns_the_expired_keys(self):
        self.claim('k')
        self.clock.advance(1001)
        self.assertEqual(['k'], self.claims.expire(1000))
        self.assertEqual(0, len(self.claims))

    def test_adopted_claim_is_not_started_again(self):
        handed = messages.Handed('k', 'content of k', 'k', 1, 'x.1', False)
        self.claims.adopt(handed, '', 'a')
        found = self.claim('k')
        self.assertEqual(('x.1', False), (found.runner, found.new))


class RunsTest(unittest.TestCase):
    """Runs, fences and followers."""

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

    def test_running_run_does_not_expire(self):
        run = self.runs.start('k', 1, 'd1')
        self.clock.advance(10_000)
        self.runs.expire(1000)
        self.assertIs(run, self.runs.find('k', 1))
        run.state = run_table.RunState.DONE
        run.ended_at = self.clock.now()
        self.clock.advance(1001)
        self.runs.expire(1000)
        self.assertIsNone(self.runs.find('k', 1))
