"""Concurrent callers under random faults, judged by the stand-ins' logs.

The seeds are fixed.  Timing still differs from run to run, and the properties
must hold whatever it is.
"""

import tempfile
import unittest

from bench import chaos
from bench import cluster as clusters

SECONDS = 8
CALLERS = 8


class HistoryTest(unittest.TestCase):
    """One history for each seed and way of claiming."""

    def run_history(self, seed, durable, faults=chaos.FAULTS):
        """Run and judge; the seed is printed with a failure."""
        with tempfile.TemporaryDirectory() as directory:
            with clusters.Cluster(directory) as cluster:
                run = chaos.Chaos(cluster, seed, faults, durable=durable)
                run.start()
                run.run_callers(SECONDS, CALLERS)
                run.settle_and_stop()
                findings = run.check()
        self.assertTrue(findings.is_clean(), f'seed {seed}: {findings.notes}')
        self.assertTrue(any(result.is_complete for result in run.results))

    def test_records(self):
        self.run_history(3, False)

    def test_durable_claims(self):
        self.run_history(5, True)

    def test_money_under_store_faults(self):
        faults = (
            'store_outage',
            'store_slow',
            'lose_answers',
            'top_up',
            'kill_router',
            'freeze_router',
        )
        self.run_history(7, False, faults)
