"""Operators' commands while the store is slow or loses responses.

The users saw `galenaspoke-ctl top-up` fail in the set-up of tests because one
response took longer than the timeout of one call.
"""

import json
import tempfile
import unittest

from bench import checker
from bench import cluster as clusters
from bench import deployments

BUDGET = 'voucher-desk'
# Longer than the timeout of one call, whatever the speed of the machine.
SLOW_MS = clusters.STORE_TIMEOUT_MS + 500


class OperatorTest(unittest.TestCase):
    """Commands against a store alone, without routers or agents."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = clusters.Cluster(directory.name)
        self.addCleanup(self.cluster.kill_all)
        self.cluster.start_store()
        self.cluster.publish(deployments.QLD_EAST.make_document())

    def top_up(self, *options):
        """Top up the budget by 100 tokens; return the decoded output."""
        _, text = self.cluster.run_ctl(
            '--json', 'top-up', BUDGET, '100', *options
        )
        return json.loads(text)

    def get_limit(self):
        """Return the limit of the budget, as in the ledger."""
        return checker.read_budgets(self.cluster)[BUDGET]['limit']

    def test_top_up_waits_for_slow_store(self):
        """Each response takes longer than the timeout of one call.

        The command failed with "the store call failed: no response in time".
        """
        self.cluster.set_faults('store', slow_ms=SLOW_MS)
        self.assertEqual(100, self.top_up()['limit'])
        self.assertEqual(100, self.get_limit())

    def test_top_up_with_lost_response_counts_once(self):
        """Neither the command nor its repetition counts the payment twice."""
        self.cluster.set_faults('store', lose_answers=1)
        self.assertEqual(100, self.top_up('--id', 'x1')['limit'])
        self.assertFalse(self.top_up('--id', 'x1')['applied'])
        self.assertEqual(100, self.get_limit())
