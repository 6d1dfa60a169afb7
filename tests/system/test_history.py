"""Chaos tests: concurrent callers under random faults.

The runs are checked against the event logs of the stand-ins.  The seeds
are fixed, but timing differs from run to run; the properties must hold in any
case.
"""

import tempfile
import unittest

from bench import chaos
from bench import cluster as clusters

SECONDS = 8
CALLERS = 8


class ChaosTest(unittest.TestCase):
    """One chaos run for each seed, kind of claims and set of faults."""

    def run_chaos(self, seed, durable, faults=chaos.FAULTS):
        """Execute and check one chaos run; a failure message has the seed."""
        with tempfile.TemporaryDirectory() as directory:
            with clusters.Cluster(directory) as cluster:
                run = chaos.ChaosRun(cluster, seed, faults, durable=durable)
                run.start()
                run.run_callers(SECONDS, CALLERS)
                run.settle_and_stop()
                findings = run.check()
        self.assertTrue(findings.is_clean(), f'seed {seed}: {findings.notes}')
        self.assertTrue(any(result.is_complete for result in run.results))

    def test_in_memory_claims(self):
        self.run_chaos(3, False)

    def test_durable_claims(self):
        self.run_chaos(5, True)

    def test_budgets_under_store_faults(self):
        faults = (
            'store_outage',
            'store_slow',
            'lose_answers',
            'top_up',
            'kill_router',
            'freeze_router',
        )
        self.run_chaos(7, False, faults)

    def test_exited_agent_is_restarted_while_settling(self):
        """The supervisor must go on while the run waits for its routers.

        With tests/system run alone, it stood still there, and an agent that
        had exited stayed away: "waited 60 s" for a router to be ready.
        """
        agent = 'booking-desk-0'
        with tempfile.TemporaryDirectory() as directory:
            with clusters.Cluster(directory) as cluster:
                run = chaos.ChaosRun(cluster, 1, ['lose_answers'])
                run.start()
                run.run_callers(1, 1)
                first = cluster.processes[agent].popen
                cluster.processes[agent].kill()
                cluster.wait_until(
                    'the agent to be restarted',
                    lambda: cluster.processes[agent].popen is not first,
                )
                run.settle_and_stop()
                findings = run.check()
        self.assertTrue(findings.is_clean(), findings.notes)
