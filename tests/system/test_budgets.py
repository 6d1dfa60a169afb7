"""No budget is overspent, and no request that it can pay is refused."""

import json

from bench import checker
from tests.system import base

BUDGET = 'voucher-desk'


class SpendingTest(base.ClusterTest):
    """Spend a budget until it is exhausted, through several routers."""

    limits = {BUDGET: 400, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}

    def spend(self, count, first=0, tokens=20, routers=2):
        """Send `count` requests, alternating between the routers.

        Return the number of complete responses.
        """
        complete = 0
        for number in range(first, first + count):
            body = self.make_model_body(f'question {number}', tokens)
            result = self.send(
                number % routers, base.MODEL_SERVICE, body, f'q{number}'
            )
            complete += result.is_complete
        return complete

    def test_budget_is_spent_exactly(self):
        """All tokens of a budget can be spent, and none beyond them."""
        self.assertEqual(20, self.spend(25))
        refused = self.results[-1]
        self.assert_refused(refused, 'not_run', 'budget_exhausted')
        self.assertGreater(refused.refusal['retry_after_ms'], 0)
        self.cluster.run_ctl('top-up', BUDGET, '100', '--id', 'x1')
        self.cluster.run_ctl('top-up', BUDGET, '100', '--id', 'x1')
        self.limits[BUDGET] += 100
        self.assertEqual(5, self.spend(8, first=25))
        findings = self.assert_clean()
        row = checker.read_budgets(self.cluster)[BUDGET]
        self.assertEqual((500, 0), (row['settled'], row['granted']))
        self.assertEqual(0, findings.in_doubt)

    def test_frozen_holder_resumes_after_recovery(self):
        """A frozen router resumes after its grant was recovered and spent.

        It still counts on the grant, and must not spend it a second time.
        """
        self.assertEqual(2, self.spend(2))
        frozen = self.cluster.processes[self.get_router_name(0)]
        frozen.freeze()
        self.cluster.wait_until(
            'the grant to be recovered',
            lambda: len(self.get_holders(BUDGET)) == 1,
        )
        for number in range(2, 25):
            body = self.make_model_body(f'question {number}')
            self.send(1, base.MODEL_SERVICE, body, f'q{number}')
        self.assertEqual(
            20, sum(result.is_complete for result in self.results)
        )
        frozen.thaw()
        for number in range(25, 30):
            body = self.make_model_body(f'question {number}')
            result = self.send(0, base.MODEL_SERVICE, body, f'q{number}')
            self.assertFalse(result.is_complete, result)
        findings = self.assert_clean()
        self.assert_billed(400, findings)

    def test_spending_during_store_outage(self):
        """Grants and loans from the peer are spent in an outage of the store.

        What they cannot pay is refused as `budget_unreachable`.
        """
        self.assertEqual(4, self.spend(4))
        balances = [
            self.cluster.get_state(self.get_router_name(n))['money'][
                'budgets'
            ][BUDGET]
            for n in (0, 1)
        ]
        affordable = sum(balance['available'] // 5 for balance in balances)
        self.assertGreater(affordable, 0)
        self.cluster.set_faults('store', outage=True)
        for number in range(affordable):
            body = self.make_model_body(f'outage {number}', 5)
            result = self.send(0, base.MODEL_SERVICE, body, f'o{number}')
            self.assertTrue(result.is_complete, result)
        body = self.make_model_body('too much', 100)
        result = self.send(0, base.MODEL_SERVICE, body, 'o-last')
        self.assert_refused(result, 'not_run', 'budget_unreachable')
        self.cluster.set_faults('store', outage=False)
        self.cluster.wait_until(
            'the store to serve again',
            lambda: self.send(
                1,
                base.MODEL_SERVICE,
                self.make_model_body('after', 5),
                'after',
            ).is_complete,
        )
        self.assert_clean()

    def test_lost_store_responses(self):
        """A write whose response is lost is neither dropped nor repeated.

        Else a budget loses tokens or is charged twice.
        """
        for number in range(25):
            self.cluster.set_faults('store', lose_answers=1)
            body = self.make_model_body(f'question {number}')
            self.send(number % 2, base.MODEL_SERVICE, body, f'q{number}')
        self.cluster.set_faults('store', lose_answers=0)
        self.assertEqual(
            20, sum(result.is_complete for result in self.results)
        )
        findings = self.assert_clean()
        self.assert_billed(400, findings)

    def test_limit_lowered_with_grants_out(self):
        self.assertEqual(3, self.spend(3))
        self.cluster.run_ctl('lower', BUDGET, '100')
        self.assertLessEqual(self.spend(20, first=3), 10)
        self.stop_routers()
        row = checker.read_budgets(self.cluster)[BUDGET]
        self.assertEqual(0, row['free'])
        self.assertEqual(row['settled'], row['limit'])


class FrozenAndPartitionedTest(base.ClusterTest):
    """A frozen holder resumes after its grant was recovered.

    It is cut off from the store and cannot learn from the ledger that it was
    sealed; only the agents, which refuse it, keep it from spending the grant
    again.
    """

    limits = {BUDGET: 400, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}
    router_settings = {'store_link': True, 'grant_idle_ms': 60_000}

    def test_agents_refuse_sealed_holder(self):
        warm = self.send(
            0, base.MODEL_SERVICE, self.make_model_body('warm', 20), 'warm'
        )
        self.assertTrue(warm.is_complete, warm)
        balance = self.cluster.get_state(self.get_router_name(0))['money'][
            'budgets'
        ][BUDGET]
        self.assertGreaterEqual(balance['available'], 20)
        frozen = self.cluster.processes[self.get_router_name(0)]
        frozen.freeze()
        link = self.cluster.addresses[f'store-link-{self.get_router_name(0)}']
        link.cut()
        self.cluster.wait_until(
            'the grant to be recovered',
            lambda: not any(
                name.startswith(f'{self.get_router_name(0)}.')
                for name in self.get_holders(BUDGET)
            ),
        )
        for number in range(25):
            body = self.make_model_body(f'question {number}')
            self.send(1, base.MODEL_SERVICE, body, f'q{number}')
        self.assertEqual(
            20, sum(result.is_complete for result in self.results)
        )
        frozen.thaw()
        # The thawed router reaches the agents again, and still counts on its
        # grant.
        names = [name for name, _, _ in self.deployment.iter_targets()]
        self.cluster.wait_ready([self.get_router_name(0)], names)
        for number in range(3):
            body = self.make_model_body(f'late {number}')
            result = self.send(
                0, base.MODEL_SERVICE, body, f'late{number}', 3.0
            )
            self.assertFalse(result.is_complete, result)
        link.restore()
        findings = self.assert_clean()
        self.assert_billed(400, findings)


class CrashTest(base.ClusterTest):
    """A router crashes, alone or together with an agent."""

    def test_router_crashes_with_open_stream(self):
        body = self.make_model_body('long', 200, stream=True)
        pending = self.send_in_background(0, base.MODEL_SERVICE, body, 'long')
        self.wait_busy_agent('model')
        self.cluster.processes[self.get_router_name(0)].kill()
        cut = pending.get_result()
        self.results.append(cut)
        self.assertFalse(cut.is_complete)
        again = self.send(1, base.MODEL_SERVICE, body, 'long')
        self.assertTrue(again.is_complete, again)
        self.assertEqual(self.expected['long'], again.text)
        self.assertEqual(1, self.count_starts('long'))
        holder_prefix = f'{self.get_router_name(0)}.'
        self.cluster.wait_until(
            'the grant to be recovered',
            lambda: not any(
                name.startswith(holder_prefix)
                for name in self.get_holders(BUDGET)
            ),
        )
        findings = self.assert_clean()
        self.assertEqual((200, 0), (findings.billed, findings.in_doubt))

    def test_router_and_agent_crash_together(self):
        """The cost of the request is in doubt until an operator settles it.

        Neither the router nor the agent is left to report how many tokens were
        generated.
        """
        body = self.make_model_body('long', 200, stream=True)
        pending = self.send_in_background(0, base.MODEL_SERVICE, body, 'long')
        agent = self.wait_busy_agent('model')
        self.cluster.processes[agent].kill()
        self.cluster.processes[self.get_router_name(0)].kill()
        self.results.append(pending.get_result())
        self.cluster.processes[agent].start()

        def get_doubts():
            return checker.read_budgets(self.cluster)[BUDGET]['doubts']

        self.cluster.wait_until('the amount in doubt to appear', get_doubts)
        doubt = get_doubts()[0]
        self.assertGreaterEqual(doubt['amount'], 200)
        _, text = self.cluster.run_ctl(
            '--json', 'settle', BUDGET, doubt['id'], '--spent', '150'
        )
        self.assertEqual({'settled': True, 'in_doubt': 0}, json.loads(text))
        row = checker.read_budgets(self.cluster)[BUDGET]
        self.assertEqual(150, row['settled'])
        self.assertEqual(base.LIMIT - 150, row['free'] + row['granted'])


class PartitionTest(base.ClusterTest):
    """A budget is topped up while an agent is cut off from the routers."""

    links = True
    limits = {BUDGET: 300, 'rebooking': base.LIMIT, 'gift-chat': base.LIMIT}

    def test_partition_with_top_up(self):
        """The response that is cut off is not billed twice.

        A retry never gets a different response.
        """
        body = self.make_model_body('long', 150, stream=True)
        pending = self.send_in_background(
            0, base.MODEL_SERVICE, body, 'long', 20.0
        )
        agent = self.wait_busy_agent('model')
        link = self.cluster.addresses[f'link-{agent}']
        link.cut()
        self.cluster.run_ctl('top-up', BUDGET, '100', '--id', 'cut-1')
        self.limits[BUDGET] += 100
        first = pending.get_result()
        self.results.append(first)
        link.restore()
        again = self.send(1, base.MODEL_SERVICE, body, 'long', 20.0)
        if again.is_complete:
            self.assertEqual(self.expected['long'], again.text)
        self.cluster.wait_until(
            'no request to be unsettled',
            lambda: not any(
                self.cluster.get_state(self.get_router_name(n))['unsettled']
                for n in (0, 1)
            ),
        )
        findings = self.assert_clean()
        self.assertLessEqual(findings.billed, 150)
