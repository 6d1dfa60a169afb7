"""Each request runs once, is billed once and is answered whole."""

from tests.system import base


class AgentDiesTest(base.ClusterTest):
    """The home of a confirmation dies when it has taken effect."""

    def test_not_run_elsewhere(self):
        """The router that sent it knows, and doesn't try another home.

        Found by random faults, seed 3: a failure at one home was taken as
        proof for the next.
        """
        for name in self.agents('application'):
            self.cluster.control(f'target-{name}', slow_ms=600)
        asked = self.seat_later(0, 'seat-1')
        home = self.await_running('application')
        self.cluster.processes[home].kill()
        answer = asked.answer()
        self.answers.append(answer)
        self.assertIsNotNone(answer.refused, answer)
        self.assertEqual('may_have_run', answer.refused['verdict'])
        again = self.seat(1, 'seat-1')
        self.assertEqual('may_have_run', again.refused['verdict'], again)
        self.cluster.wait('the effect', lambda: self.effects('seat-1') == 1)
        self.cluster.processes[home].start()
        self.cluster.wait(
            'the loss to be vouched for',
            lambda: 'lost' not in self.cluster.ctl('agents', 'list')[1],
        )
        for name in self.agents('application'):
            self.cluster.control(f'target-{name}', slow_ms=0)
        after = self.seat(0, 'seat-1')
        self.assertEqual('may_have_run', after.refused['verdict'], after)
        other = self.seat(1, 'seat-2')
        self.assertTrue(other.whole, other)
        self.assertEqual(1, self.effects('seat-1'))
        self.assert_clean()
