"""No budget is overspent, and none is refused that has enough."""

import json

from bench import judge
from tests.system import base

BUDGET = 'voucher-desk'


class SpendTest(base.ClusterTest):
    """Spending a budget to its end, through several routers."""

    limits = {BUDGET: 400, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}

    def spend(self, count, first=0, tokens=20, routers=2):
        """Ask `count` times in turn; return how many were answered."""
        answered = 0
        for number in range(first, first + count):
            body = self.model_body(f'question {number}', tokens)
            answer = self.ask(number % routers, base.MODEL, body, f'q{number}')
            answered += answer.whole
        return answered

    def test_to_the_last_token(self):
        """Every token of a budget can be spent, and not one more."""
        self.assertEqual(20, self.spend(25))
        refused = self.answers[-1]
        self.assert_refused(refused, 'not_run', 'budget_exhausted')
        self.assertGreater(refused.refused['retry_after_ms'], 0)
        self.cluster.ctl('top-up', BUDGET, '100', '--id', 'x1')
        self.cluster.ctl('top-up', BUDGET, '100', '--id', 'x1')
        self.limits[BUDGET] += 100
        self.assertEqual(5, self.spend(8, first=25))
        found = self.assert_clean()
        row = judge.budgets(self.cluster)[BUDGET]
        self.assertEqual((500, 0), (row['settled'], row['granted']))
        self.assertEqual(0, found.in_doubt)

    def test_frozen_holder_wakes_after_its_grant_was_spent(self):
        """A paused router still believes in what others have recovered."""
        self.assertEqual(2, self.spend(2))
        frozen = self.cluster.processes[self.router(0)]
        frozen.freeze()
        self.cluster.wait(
            'the grant to be recovered',
            lambda: len(self.holders_of(BUDGET)) == 1,
        )
        for number in range(2, 25):
            body = self.model_body(f'question {number}')
            self.ask(1, base.MODEL, body, f'q{number}')
        self.assertEqual(20, sum(answer.whole for answer in self.answers))
        frozen.thaw()
        for number in range(25, 30):
            body = self.model_body(f'question {number}')
            answer = self.ask(0, base.MODEL, body, f'q{number}')
            self.assertFalse(answer.whole, answer)
        found = self.assert_clean()
        self.assertEqual(400, found.billed)

    def test_store_outage_is_ridden_out(self):
        """What is held is spent; the peer helps; then it is said plainly."""
        self.assertEqual(4, self.spend(4))
        held = [
            self.cluster.state(self.router(n))['money']['budgets'][BUDGET]
            for n in (0, 1)
        ]
        able = sum(one['available'] // 5 for one in held)
        self.assertGreater(able, 0)
        self.cluster.control('store', outage=True)
        for number in range(able):
            body = self.model_body(f'outage {number}', 5)
            answer = self.ask(0, base.MODEL, body, f'o{number}')
            self.assertTrue(answer.whole, answer)
        body = self.model_body('too much', 100)
        answer = self.ask(0, base.MODEL, body, 'o-last')
        self.assert_refused(answer, 'not_run', 'budget_unreachable')
        self.cluster.control('store', outage=False)
        self.cluster.wait(
            'the store to serve again',
            lambda: self.ask(
                1, base.MODEL, self.model_body('after', 5), 'after'
            ).whole,
        )
        self.assert_clean()

    def test_lost_answers_of_the_store(self):
        """Writes that took effect unheard are neither lost nor doubled."""
        for number in range(25):
            self.cluster.control('store', lose_answers=1)
            body = self.model_body(f'question {number}')
            self.ask(number % 2, base.MODEL, body, f'q{number}')
        self.cluster.control('store', lose_answers=0)
        self.assertEqual(20, sum(answer.whole for answer in self.answers))
        found = self.assert_clean()
        self.assertEqual(400, found.billed)

    def test_lowering_while_grants_are_out(self):
        self.assertEqual(3, self.spend(3))
        self.cluster.ctl('lower', BUDGET, '100')
        self.assertLessEqual(self.spend(20, first=3), 10)
        self.stop_routers()
        row = judge.budgets(self.cluster)[BUDGET]
        self.assertEqual(0, row['free'])
        self.assertEqual(row['settled'], row['limit'])


class FrozenAndCutOffTest(base.ClusterTest):
    """A holder wakes, cut off from the store, when its grant is gone.

    It can't learn from the ledger that it was sealed; only the agents stand
    between it and the money.
    """

    limits = {BUDGET: 400, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}
    router_settings = {'store_link': True, 'grant_idle_ms': 60_000}

    def test_agents_refuse_it(self):
        warm = self.ask(0, base.MODEL, self.model_body('warm', 20), 'warm')
        self.assertTrue(warm.whole, warm)
        held = self.cluster.state(self.router(0))['money']['budgets'][BUDGET]
        self.assertGreaterEqual(held['available'], 20)
        frozen = self.cluster.processes[self.router(0)]
        frozen.freeze()
        link = self.cluster.addresses[f'store-link-{self.router(0)}']
        link.cut()
        self.cluster.wait(
            'the grant to be recovered',
            lambda: not any(
                name.startswith(f'{self.router(0)}.')
                for name in self.holders_of(BUDGET)
            ),
        )
        for number in range(25):
            body = self.model_body(f'question {number}')
            self.ask(1, base.MODEL, body, f'q{number}')
        self.assertEqual(20, sum(answer.whole for answer in self.answers))
        frozen.thaw()
        # It hears the agents again, and still believes in its grant.
        names = [name for name, _, _ in self.deployment.targets()]
        self.cluster.wait_ready([self.router(0)], names)
        for number in range(3):
            body = self.model_body(f'late {number}')
            answer = self.ask(0, base.MODEL, body, f'late{number}', 3.0)
            self.assertFalse(answer.whole, answer)
        link.mend()
        found = self.assert_clean()
        self.assertEqual(400, found.billed)


class CrashTest(base.ClusterTest):
    """Routers and agents die, alone and together."""

    def test_router_dies_with_a_stream_open(self):
        body = self.model_body('long', 200, stream=True)
        asked = self.ask_later(0, base.MODEL, body, 'long')
        self.await_running('model')
        self.cluster.processes[self.router(0)].kill()
        cut = asked.answer()
        self.answers.append(cut)
        self.assertFalse(cut.whole)
        again = self.ask(1, base.MODEL, body, 'long')
        self.assertTrue(again.whole, again)
        self.assertEqual(self.want['long'], again.text)
        self.assertEqual(1, self.runs('long'))
        dead = f'{self.router(0)}.'
        self.cluster.wait(
            'the grant to be recovered',
            lambda: not any(
                name.startswith(dead) for name in self.holders_of(BUDGET)
            ),
        )
        found = self.assert_clean()
        self.assertEqual((200, 0), (found.billed, found.in_doubt))

    def test_router_and_agent_die_together(self):
        """What nobody can tell is in doubt until an operator settles it."""
        body = self.model_body('long', 200, stream=True)
        asked = self.ask_later(0, base.MODEL, body, 'long')
        agent = self.await_running('model')
        self.cluster.processes[agent].kill()
        self.cluster.processes[self.router(0)].kill()
        self.answers.append(asked.answer())
        self.cluster.processes[agent].start()

        def doubts():
            return judge.budgets(self.cluster)[BUDGET]['doubts']

        self.cluster.wait('the doubt to show', doubts)
        doubt = doubts()[0]
        self.assertGreaterEqual(doubt['amount'], 200)
        _, text = self.cluster.ctl(
            '--json', 'settle', BUDGET, doubt['id'], '--spent', '150'
        )
        self.assertEqual({'settled': True, 'in_doubt': 0}, json.loads(text))
        row = judge.budgets(self.cluster)[BUDGET]
        self.assertEqual(150, row['settled'])
        self.assertEqual(base.LIMIT - 150, row['free'] + row['granted'])


class CutTest(base.ClusterTest):
    """Routers are cut off from an agent; a budget is topped up meanwhile."""

    links = True
    limits = {BUDGET: 300, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}

    def test_cut_with_a_top_up(self):
        """The answer that is cut off is neither billed twice nor lost."""
        body = self.model_body('long', 150, stream=True)
        asked = self.ask_later(0, base.MODEL, body, 'long', 20.0)
        agent = self.await_running('model')
        link = self.cluster.addresses[f'link-{agent}']
        link.cut()
        self.cluster.ctl('top-up', BUDGET, '100', '--id', 'cut-1')
        self.limits[BUDGET] += 100
        first = asked.answer()
        self.answers.append(first)
        link.mend()
        again = self.ask(1, base.MODEL, body, 'long', 20.0)
        if again.whole:
            self.assertEqual(self.want['long'], again.text)
        self.cluster.wait(
            'the books to be certain',
            lambda: not any(
                self.cluster.state(self.router(n))['unsettled'] for n in (0, 1)
            ),
        )
        found = self.assert_clean()
        self.assertLessEqual(found.billed, 150)
