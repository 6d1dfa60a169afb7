"""Each request runs at most once, also if its home agent crashes."""

from tests.system import base


class AgentCrashTest(base.ClusterTest):
    """The home agent of a request crashes while the target executes it."""

    def test_no_second_run_at_another_agent(self):
        """The router knows that it sent the request, and tries no other agent.

        Found by random faults with seed 3: the failure of an attempt at one
        home agent was reported to the next one, which took it as proof for its
        own attempt.
        """
        for name in self.list_agents('application'):
            self.cluster.set_faults(f'target-{name}', slow_ms=600)
        pending = self.confirm_seat_in_background(0, 'seat-1')
        home = self.wait_busy_agent('application')
        self.cluster.processes[home].kill()
        result = pending.get_result()
        self.results.append(result)
        self.assertIsNotNone(result.refusal, result)
        self.assertEqual('may_have_run', result.refusal['verdict'])
        again = self.confirm_seat(1, 'seat-1')
        self.assertEqual('may_have_run', again.refusal['verdict'], again)
        self.cluster.wait_until(
            'the effect', lambda: self.count_effects('seat-1') == 1
        )
        self.cluster.processes[home].start()
        self.cluster.wait_until(
            'the loss to be vouched for',
            lambda: 'lost' not in self.cluster.run_ctl('agents', 'list')[1],
        )
        for name in self.list_agents('application'):
            self.cluster.set_faults(f'target-{name}', slow_ms=0)
        after = self.confirm_seat(0, 'seat-1')
        self.assertEqual('may_have_run', after.refusal['verdict'], after)
        other = self.confirm_seat(1, 'seat-2')
        self.assertTrue(other.is_complete, other)
        self.assertEqual(1, self.count_effects('seat-1'))
        self.assert_clean()
