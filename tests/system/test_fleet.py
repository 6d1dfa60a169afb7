"""Configuration, graceful stops, poison, lost agents, orders, refusals."""

import concurrent.futures
import itertools
import json

from bench import callers
from bench import checker
from bench import processes
from tests.system import base


class ConfigurationTest(base.ClusterTest):
    """A published configuration comes into force everywhere.

    No process returns to an older one.
    """

    def get_generations(self):
        """Return the generations in force, None for an unreachable process."""
        names = self.deployment.list_router_names()
        names += [name for name, _, _ in self.deployment.iter_targets()]
        states = [self.cluster.get_state(name) for name in names]
        return {state['generation'] if state else None for state in states}

    def test_concurrent_publications(self):
        """One publication wins; the others report who published it."""
        path = self.cluster.directory / 'race.json'
        path.write_text(json.dumps(self.deployment.make_document(queue=33)))

        def publish(_):
            return self.cluster.run_ctl(
                'publish', '--expect', '1', str(path), check=False
            )

        self.cluster.run_ctl('show')
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(pool.map(publish, range(4)))
        self.assertEqual([0, 1, 1, 1], sorted(code for code, _ in results))
        for code, text in results:
            if code:
                self.assertIn('generation 2 was published by demo', text)
        self.cluster.wait_until(
            'generation 2 everywhere', lambda: self.get_generations() == {2}
        )

    def test_router_started_in_outage_learns_from_peer(self):
        """A router started in an outage of the store serves with peers' help.

        It must not come up with an older generation: it gets the newest one
        from its peers, and loans of budget.  It is not a holder until the
        store is back.
        """
        self.cluster.publish(self.deployment.make_document(queue=44))
        self.cluster.wait_until(
            'generation 2 everywhere', lambda: self.get_generations() == {2}
        )
        self.send(
            0, base.MODEL_SERVICE, self.make_model_body('warm up', 5), 'warm'
        )
        self.cluster.set_faults('store', outage=True)
        process = self.cluster.processes[self.get_router_name(1)]
        process.kill()
        process.start()

        def is_ready():
            state = self.cluster.get_state(self.get_router_name(1))
            return state and state['ready']

        self.cluster.wait_until('the new router to be ready', is_ready)
        state = self.cluster.get_state(self.get_router_name(1))
        self.assertEqual(2, state['generation'])
        self.assertIsNone(state['money']['holder'])
        result = self.send(
            1, base.MODEL_SERVICE, self.make_model_body('help', 5), 'help'
        )
        self.assertTrue(result.is_complete, result)
        self.cluster.set_faults('store', outage=False)
        self.cluster.wait_until(
            'the new router to become a holder',
            lambda: self.cluster.get_state(self.get_router_name(1))['money'][
                'holder'
            ],
        )
        self.assert_clean()


class GracefulStopTest(base.ClusterTest):
    """Graceful stops interrupt no request; drained targets get no new one."""

    def test_router_stops_under_load(self):
        bodies = [self.make_model_body(f'long {n}', 150) for n in range(4)]
        pending = [
            self.send_in_background(0, base.MODEL_SERVICE, body, f'k{number}')
            for number, body in enumerate(bodies)
        ]
        self.cluster.wait_until(
            'all requests to run',
            lambda: all(self.count_starts(f'k{n}') for n in range(4)),
        )
        self.assertEqual(
            0, self.cluster.processes[self.get_router_name(0)].stop()
        )
        for request in pending:
            result = request.get_result()
            self.results.append(result)
            self.assertTrue(result.is_complete, result)
        findings = self.assert_clean()
        self.assertEqual(600, findings.billed)

    def test_agent_stops_under_load(self):
        """Its runs are completed, and another agent takes over its records."""
        self.confirm_seat(0, 'before')
        body = self.make_model_body('long', 150)
        pending = self.send_in_background(0, base.MODEL_SERVICE, body, 'long')
        model = self.wait_busy_agent('model')
        for name in (model, self.list_agents('application')[0]):
            self.assertEqual(0, self.cluster.processes[name].stop())
        result = pending.get_result()
        self.results.append(result)
        self.assertTrue(result.is_complete, result)
        again = self.send(1, base.MODEL_SERVICE, body, 'long')
        self.assertEqual(result.text, again.text)
        self.assertEqual(1, self.count_starts('long'))
        for number in range(6):
            after = self.confirm_seat(number % 2, f'after-{number}')
            self.assertTrue(after.is_complete, after)
        self.assertTrue(self.confirm_seat(1, 'before').is_complete)
        self.assertEqual(1, self.count_effects('before'))
        findings = self.assert_clean()
        self.assertEqual((150, 0), (findings.billed, findings.in_doubt))

    def test_drained_target_gets_no_new_work(self):
        name = self.list_agents('model')[0]
        self.cluster.run_ctl('drain', name)
        self.cluster.wait_until(
            'the agent to drain',
            lambda: self.cluster.get_state(name)['leaving'],
        )
        before = len(self.cluster.read_log(f'target-{name}'))
        for number in range(8):
            body = self.make_model_body(f'question {number}', 5)
            result = self.send(
                number % 2, base.MODEL_SERVICE, body, f'q{number}'
            )
            self.assertTrue(result.is_complete, result)
        after = len(self.cluster.read_log(f'target-{name}'))
        self.assertEqual(before, after)
        self.cluster.run_ctl('drain', name, '--undo')
        self.cluster.wait_until(
            'the agent to stop draining',
            lambda: not self.cluster.get_state(name)['leaving'],
        )


class PoisonTest(base.ClusterTest):
    """A poison request crashes each target that runs it."""

    engines = 4

    def test_poison_contained_across_routers_and_keys(self):
        for number in range(6):
            body = self.make_model_body('POISON for all', 5)
            address = self.cluster.addresses[self.get_router_name(number % 2)]
            result = callers.send_request(
                address, base.MODEL_SERVICE, body, f'poison-{number}', 8.0
            )
            self.results.append(result)
            self.assertFalse(result.is_complete)
        crashes = [
            line
            for line in self.cluster.read_logs('model')
            if line['what'] == 'crash'
        ]
        self.assertLessEqual(len(crashes), 2)
        self.assertEqual('poison', self.results[-1].refusal['reason'])
        good = self.send(
            0, base.MODEL_SERVICE, self.make_model_body('good', 5), 'good'
        )
        self.assertTrue(good.is_complete, good)
        self.assert_clean()

    def test_stream_resumes_at_another_engine(self):
        """A stream that another request's crash cuts off is resumed."""
        body = self.make_model_body('long', 150, stream=True)
        pending = self.send_in_background(0, base.MODEL_SERVICE, body, 'long')
        agent = self.wait_busy_agent('model')
        target = self.cluster.addresses[f'target-{agent}']
        try:
            processes.post_json(
                target,
                '/generate',
                {
                    'id': 'x',
                    'prompt': 'POISON',
                    'max_tokens': 1,
                    'resume': [],
                },
            )
        except OSError:
            pass
        result = pending.get_result()
        self.results.append(result)
        self.assertTrue(result.is_complete, result)
        self.assertEqual(self.expected['long'], result.text)
        self.assertEqual(2, self.count_starts('long'))
        findings = self.assert_clean()
        self.assertEqual(150, findings.billed)


class LostAgentTest(base.ClusterTest):
    """An agent is declared lost, after a crash and while it is frozen."""

    router_settings = {'agent_lost_ms': 800}

    def test_requests_run_after_loss_is_vouched_for(self):
        """New requests run again once all routers have vouched for the agent.

        Each router hands over the keys that it had sent to the lost agent.
        Retries of these keys never run a second time: they get a response or
        are refused as `may_have_run`.  Before all routers have vouched, nobody
        can know which requests the agent had run.
        """
        for number in range(6):
            self.assertTrue(
                self.confirm_seat(number % 2, f's{number}').is_complete
            )
        name = self.list_agents('application')[0]
        self.cluster.processes[name].kill()
        self.cluster.wait_until(
            'the loss to be declared and vouched for',
            lambda: self._get_phase(name) == 'forgotten',
        )
        for number in range(6):
            again = self.confirm_seat((number + 1) % 2, f's{number}')
            if not again.is_complete:
                self.assert_refused(
                    again, 'may_have_run', 'target_failed', 'unreachable'
                )
            self.assertEqual(1, self.count_effects(f's{number}'))
        for number in range(6):
            new = self.confirm_seat(number % 2, f'new-{number}')
            self.assertTrue(new.is_complete, new)
        self.assert_clean()

    def _get_phase(self, name):
        _, text = self.cluster.run_ctl('--json', 'agents', 'list')
        entries = json.loads(text)
        phases = [e['phase'] for e in entries if e['name'] == name]
        return phases[0] if phases else 'forgotten'

    def test_frozen_agent_declared_lost(self):
        """A frozen agent that resumes after it was declared lost exits."""
        for name in self.list_agents('application'):
            self.cluster.set_faults(f'target-{name}', slow_ms=300)
        pending = self.confirm_seat_in_background(0, 'seat-1')
        name = self.wait_busy_agent('application')
        self.cluster.processes[name].freeze()
        self.results.append(pending.get_result())
        self.cluster.wait_until(
            'the loss to be declared',
            lambda: self._get_phase(name) != 'active',
        )
        self.confirm_seat(1, 'seat-1')
        self.cluster.processes[name].thaw()
        code = self.cluster.processes[name].popen.wait(30)
        self.assertEqual(4, code)
        self.confirm_seat(0, 'seat-1')
        self.assertEqual(1, self.count_effects('seat-1'))
        self.assert_clean()


class DurableClaimsTest(base.ClusterTest):
    """Claims are kept in the store if the policy of a service asks for it."""

    policy = {'durable_claims': True}

    def test_only_lost_requests_are_refused(self):
        self.assertTrue(self.confirm_seat(0, 'seat-1').is_complete)
        for name in self.list_agents('application'):
            self.cluster.processes[name].kill()
            self.cluster.processes[name].start()
        probes = itertools.count()
        self.cluster.wait_until(
            'the agents to be back',
            lambda: self.confirm_seat(0, f'probe-{next(probes)}').is_complete,
        )
        again = self.confirm_seat(1, 'seat-1')
        self.assert_refused(
            again, 'may_have_run', 'record_lost', 'target_failed'
        )
        for number in range(6):
            new = self.confirm_seat(number % 2, f'new-{number}')
            self.assertTrue(new.is_complete, new)
        self.assertEqual(1, self.count_effects('seat-1'))
        self.assert_clean()


class OrdersTest(base.ClusterTest):
    """Targets follow the published orders."""

    applications = 1

    def test_target_follows_newest_order(self):
        for model in ('galena-7b', 'galena-8b'):
            doc = self.deployment.make_document()
            for target in doc['targets']:
                target['model'] = model
            self.cluster.publish(doc)
            for name in self.list_agents('model'):
                self.cluster.wait_until(
                    f'{name} to run {model}',
                    lambda n=name, m=model: self._get_model(n) == m,
                )
        for name in self.list_agents('model'):
            fences = [
                line['fence']
                for line in self.cluster.read_log(f'target-{name}')
                if line['what'] == 'order'
            ]
            self.assertEqual(sorted(fences), fences)

    def _get_model(self, name):
        address = self.cluster.addresses[f'target-{name}']
        return processes.get_json(address, '/load')['order'].get('model')


class RefusalTest(base.ClusterTest):
    """Invalid requests are refused with the reason, and never run."""

    engines = 1
    applications = 1
    routers = 1

    def test_invalid_requests(self):
        for service, body, detail in (
            ('nowhere', self.make_model_body('x'), 'no service'),
            (
                base.MODEL_SERVICE,
                self.make_model_body('x', account='who'),
                'no account',
            ),
            (
                base.MODEL_SERVICE,
                self.make_model_body('x', budget='b'),
                'no budget',
            ),
            (
                base.MODEL_SERVICE,
                self.make_model_body('x', budget='gift-chat'),
                'does not belong to account',
            ),
            (
                base.MODEL_SERVICE,
                self.make_model_body('x', 10**9),
                'max_tokens',
            ),
            (base.MODEL_SERVICE, self.make_model_body('x', 0), 'max_tokens'),
            (base.MODEL_SERVICE, self.make_model_body('x', speed=3), 'speed'),
        ):
            address = self.cluster.addresses[self.get_router_name(0)]
            result = callers.send_request(address, service, body)
            self.assertEqual(400, result.status, result)
            self.assertIn(detail, result.refusal['detail'])
        self.assertEqual({}, dict(checker.collect_starts(self.cluster)))
