"""Each request runs once, is billed once and is answered whole."""

from tests.system import base


class AgentCrashTest(base.ClusterTest):
    """The home of a confirmation dies when it has taken effect."""

    def test_no_second_run_at_another_agent(self):
        """The router that sent it knows, and doesn't try another home.

        Found by random faults, seed 3: a failure at one home was taken as
        proof for the next.
        """
        for name in self.agents('application'):
            self.cluster.set_faults(f'target-{name}', slow_ms=600)
        pending = self.confirm_seat_later(0, 'seat-1')
        home = self.wait_running('application')
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
        for name in self.agents('application'):
            self.cluster.set_faults(f'target-{name}', slow_ms=0)
        after = self.confirm_seat(0, 'seat-1')
        self.assertEqual('may_have_run', after.refusal['verdict'], after)
        other = self.confirm_seat(1, 'seat-2')
        self.assertTrue(other.is_complete, other)
        self.assertEqual(1, self.count_effects('seat-1'))
        self.assert_clean()
