"""Configuration, leaving, poison, orders, lost agents."""

import concurrent.futures
import itertools
import json

from bench import callers
from bench import judge
from bench import processes
from tests.system import base


class ConfigurationTest(base.ClusterTest):
    """What operators publish is what runs, and it never goes back."""

    def generations(self):
        """Return the generation in force in each process."""
        names = self.deployment.router_names()
        names += [name for name, _, _ in self.deployment.targets()]
        states = [self.cluster.state(name) for name in names]
        return {state['generation'] if state else None for state in states}

    def test_racing_operators(self):
        """One wins, the others are told by whom and about what."""
        path = self.cluster.directory / 'race.json'
        path.write_text(json.dumps(self.deployment.document(queue=33)))

        def publish(_):
            return self.cluster.ctl(
                'publish', '--expect', '1', str(path), check=False
            )

        self.cluster.ctl('show')
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(pool.map(publish, range(4)))
        self.assertEqual([0, 1, 1, 1], sorted(code for code, _ in results))
        for code, text in results:
            if code:
                self.assertIn('generation 2 was published by demo', text)
        self.cluster.wait(
            'generation 2 everywhere', lambda: self.generations() == {2}
        )

    def test_new_router_in_an_outage_learns_from_a_peer(self):
        """It serves with the peers' help, and not an older generation."""
        self.cluster.publish(self.deployment.document(queue=44))
        self.cluster.wait(
            'generation 2 everywhere', lambda: self.generations() == {2}
        )
        self.ask(0, base.MODEL, self.model_body('warm up', 5), 'warm')
        self.cluster.control('store', outage=True)
        process = self.cluster.processes[self.router(1)]
        process.kill()
        process.start()

        def ready():
            state = self.cluster.state(self.router(1))
            return state and state['ready']

        self.cluster.wait('the new router', ready)
        state = self.cluster.state(self.router(1))
        self.assertEqual(2, state['generation'])
        self.assertIsNone(state['money']['holder'])
        answer = self.ask(1, base.MODEL, self.model_body('help', 5), 'help')
        self.assertTrue(answer.whole, answer)
        self.cluster.control('store', outage=False)
        self.cluster.wait(
            'the new router to hold money',
            lambda: self.cluster.state(self.router(1))['money']['holder'],
        )
        self.assert_clean()


class LeavingTest(base.ClusterTest):
    """Planned stops cut nothing, and what leaves gets nothing new."""

    def test_router_stops_under_load(self):
        bodies = [self.model_body(f'long {n}', 150) for n in range(4)]
        asked = [
            self.ask_later(0, base.MODEL, body, f'k{number}')
            for number, body in enumerate(bodies)
        ]
        self.cluster.wait(
            'all to run', lambda: all(self.runs(f'k{n}') for n in range(4))
        )
        self.assertEqual(0, self.cluster.processes[self.router(0)].stop())
        for waiting in asked:
            answer = waiting.answer()
            self.answers.append(answer)
            self.assertTrue(answer.whole, answer)
        found = self.assert_clean()
        self.assertEqual(600, found.billed)

    def test_agent_stops_under_load(self):
        """Its runs end whole, its records go on with another."""
        self.seat(0, 'before')
        body = self.model_body('long', 150)
        asked = self.ask_later(0, base.MODEL, body, 'long')
        model = self.await_running('model')
        for name in (model, self.agents('application')[0]):
            self.assertEqual(0, self.cluster.processes[name].stop())
        answer = asked.answer()
        self.answers.append(answer)
        self.assertTrue(answer.whole, answer)
        again = self.ask(1, base.MODEL, body, 'long')
        self.assertEqual(answer.text, again.text)
        self.assertEqual(1, self.runs('long'))
        for number in range(6):
            after = self.seat(number % 2, f'after-{number}')
            self.assertTrue(after.whole, after)
        self.assertTrue(self.seat(1, 'before').whole)
        self.assertEqual(1, self.effects('before'))
        found = self.assert_clean()
        self.assertEqual((150, 0), (found.billed, found.in_doubt))

    def test_drained_target_gets_no_new_work(self):
        name = self.agents('model')[0]
        self.cluster.ctl('drain', name)
        self.cluster.wait(
            'the agent to know',
            lambda: self.cluster.state(name)['leaving'],
        )
        before = len(self.cluster.truth(f'target-{name}'))
        for number in range(8):
            body = self.model_body(f'question {number}', 5)
            answer = self.ask(number % 2, base.MODEL, body, f'q{number}')
            self.assertTrue(answer.whole, answer)
        after = len(self.cluster.truth(f'target-{name}'))
        self.assertEqual(before, after)
        self.cluster.ctl('drain', name, '--undo')
        self.cluster.wait(
            'the agent to know',
            lambda: not self.cluster.state(name)['leaving'],
        )


class PoisonTest(base.ClusterTest):
    """A request that brings down each target that runs it."""

    engines = 4

    def test_contained_across_routers_and_keys(self):
        for number in range(6):
            body = self.model_body('POISON for all', 5)
            address = self.cluster.addresses[self.router(number % 2)]
            answer = callers.ask(
                address, base.MODEL, body, f'poison-{number}', 8.0
            )
            self.answers.append(answer)
            self.assertFalse(answer.whole)
        crashes = [
            line
            for line in self.cluster.truths('model')
            if line['what'] == 'crash'
        ]
        self.assertLessEqual(len(crashes), 2)
        self.assertEqual('poison', self.answers[-1].refused['reason'])
        good = self.ask(0, base.MODEL, self.model_body('good', 5), 'good')
        self.assertTrue(good.whole, good)
        self.assert_clean()

    def test_stream_goes_on_at_another_engine(self):
        """An answer cut by another's crash is resumed, piece by piece."""
        body = self.model_body('long', 150, stream=True)
        asked = self.ask_later(0, base.MODEL, body, 'long')
        agent = self.await_running('model')
        target = self.cluster.addresses[f'target-{agent}']
        try:
            processes.post(
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
        answer = asked.answer()
        self.answers.append(answer)
        self.assertTrue(answer.whole, answer)
        self.assertEqual(self.want['long'], answer.text)
        self.assertEqual(2, self.runs('long'))
        found = self.assert_clean()
        self.assertEqual(150, found.billed)


class LostAgentTest(base.ClusterTest):
    """An agent dies and is replaced; then it dies and isn't."""

    router_settings = {'agent_lost_ms': 800}

    def test_loss_is_vouched_for(self):
        """New requests run again once all routers have told what they sent.

        Before that nobody can tell, and the refusals say so.
        """
        for number in range(6):
            self.assertTrue(self.seat(number % 2, f's{number}').whole)
        name = self.agents('application')[0]
        self.cluster.processes[name].kill()
        self.cluster.wait(
            'the loss to be declared and lifted',
            lambda: self._phase(name) == 'forgotten',
        )
        for number in range(6):
            again = self.seat((number + 1) % 2, f's{number}')
            if not again.whole:
                self.assert_refused(
                    again, 'may_have_run', 'target_failed', 'unreachable'
                )
            self.assertEqual(1, self.effects(f's{number}'))
        for number in range(6):
            new = self.seat(number % 2, f'new-{number}')
            self.assertTrue(new.whole, new)
        self.assert_clean()

    def _phase(self, name):
        _, text = self.cluster.ctl('--json', 'agents', 'list')
        entries = json.loads(text)
        phases = [e['phase'] for e in entries if e['name'] == name]
        return phases[0] if phases else 'forgotten'

    def test_wrongly_declared_lost(self):
        """A frozen agent wakes after it was declared lost, and stops."""
        for name in self.agents('application'):
            self.cluster.control(f'target-{name}', slow_ms=300)
        asked = self.seat_later(0, 'seat-1')
        name = self.await_running('application')
        self.cluster.processes[name].freeze()
        self.answers.append(asked.answer())
        self.cluster.wait(
            'the loss to be declared',
            lambda: self._phase(name) != 'active',
        )
        self.seat(1, 'seat-1')
        self.cluster.processes[name].thaw()
        code = self.cluster.processes[name].popen.wait(30)
        self.assertEqual(4, code)
        self.seat(0, 'seat-1')
        self.assertEqual(1, self.effects('seat-1'))
        self.assert_clean()


class DurableClaimsTest(base.ClusterTest):
    """Claims in the store, for a service that asks for them."""

    policy = {'durable_claims': True}

    def test_only_the_lost_requests_are_refused(self):
        self.assertTrue(self.seat(0, 'seat-1').whole)
        for name in self.agents('application'):
            self.cluster.processes[name].kill()
            self.cluster.processes[name].start()
        probes = itertools.count()
        self.cluster.wait(
            'the agents to be back',
            lambda: self.seat(0, f'probe-{next(probes)}').whole,
        )
        again = self.seat(1, 'seat-1')
        self.assert_refused(
            again, 'may_have_run', 'record_lost', 'target_failed'
        )
        for number in range(6):
            new = self.seat(number % 2, f'new-{number}')
            self.assertTrue(new.whole, new)
        self.assertEqual(1, self.effects('seat-1'))
        self.assert_clean()


class OrdersTest(base.ClusterTest):
    """Targets are brought to what is published."""

    applications = 1

    def test_target_obeys_the_newest_order(self):
        for model in ('galena-7b', 'galena-8b'):
            doc = self.deployment.document()
            for target in doc['targets']:
                target['model'] = model
            self.cluster.publish(doc)
            for name in self.agents('model'):
                self.cluster.wait(
                    f'{name} to run {model}',
                    lambda n=name, m=model: self._model(n) == m,
                )
        for name in self.agents('model'):
            fences = [
                line['fence']
                for line in self.cluster.truth(f'target-{name}')
                if line['what'] == 'order'
            ]
            self.assertEqual(sorted(fences), fences)

    def _model(self, name):
        address = self.cluster.addresses[f'target-{name}']
        return processes.get(address, '/load')['order'].get('model')


class RefusalTest(base.ClusterTest):
    """Requests that can't be served, and what is said of them."""

    engines = 1
    applications = 1
    routers = 1

    def test_bad_requests(self):
        for service, body, what in (
            ('nowhere', self.model_body('x'), 'no service'),
            (base.MODEL, self.model_body('x', account='who'), 'no account'),
            (base.MODEL, self.model_body('x', budget='b'), 'no budget'),
            (base.MODEL, self.model_body('x', budget='gift-chat'), 'not of'),
            (base.MODEL, self.model_body('x', 10**9), 'max_tokens'),
            (base.MODEL, self.model_body('x', 0), 'max_tokens'),
            (base.MODEL, self.model_body('x', speed=3), 'speed'),
        ):
            address = self.cluster.addresses[self.router(0)]
            answer = callers.ask(address, service, body)
            self.assertEqual(400, answer.status, answer)
            self.assertIn(what, answer.refused['detail'])
        self.assertEqual({}, dict(judge.starts(self.cluster)))
