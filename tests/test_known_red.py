"""Guards against a list of known failures that hides other ones."""

import unittest
from unittest import mock

from tests import known_red

LISTED = 'tests.edge.test_a.T.test_b'


class KnownRedTest(unittest.TestCase):
    """What becomes of the outcomes of listed tests and of others."""

    def setUp(self):
        self.plugin = known_red.KnownRed()
        self.plugin._test_ids = known_red.read_test_ids(
            f'a fault\n- test: {LISTED}\n- command: make test\n'
        )

    def outcome(self, test_id, outcome, exc=None):
        """Return the outcome that a run reports."""
        event = mock.Mock(outcome=outcome, exc_info=(type(exc), exc, None))
        event.test.id.return_value = test_id
        self.plugin.setTestOutcome(event)
        return event.outcome

    def test_listed_failure_is_passed_over(self):
        for outcome in ('failed', 'error'):
            exc = AssertionError('1 != 2')
            self.assertEqual('skipped', self.outcome(LISTED, outcome, exc))

    def test_listed_success_fails(self):
        self.assertEqual('failed', self.outcome(LISTED, 'passed'))

    def test_other_outcomes_stay(self):
        for outcome in ('failed', 'error', 'passed', 'skipped'):
            self.assertEqual(outcome, self.outcome(f'{LISTED}_2', outcome))
