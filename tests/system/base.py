"""What the tests with real processes share: a small cluster and callers."""

import tempfile
import threading
import unittest

from bench import callers
from bench import cluster as clusters
from bench import deployments
from bench import judge
from bench import processes

ROUTER = {
    'reclaim_after_ms': 1000,
    'grant_idle_ms': 1000,
    'first_answer_ms': 1000,
    'idle_ms': 2000,
}
AGENT = {'leave_ms': 300}
MODEL = 'assistant-pool'
APPLICATION = 'booking-desk'
LIMIT = 2000


class Background(threading.Thread):
    """A request on its way; `answer` waits for what it gets."""

    def __init__(self, *args):
        super().__init__(daemon=True)
        self._args = args
        self._answer = None
        self.start()

    def run(self):
        self._answer = callers.ask(*self._args)

    def answer(self):
        """Return the Answer."""
        self.join()
        return self._answer


class ClusterTest(unittest.TestCase):
    """Starts a cluster for each test, and judges it in the end."""

    engines = 2
    applications = 2
    routers = 2
    links = False
    policy = {}
    router_settings = {}
    agent_settings = {}
    engine = {'token_ms': 5, 'down_ms': 800}
    limits = {'voucher-desk': LIMIT, 'rebooking': LIMIT, 'gift-chat': LIMIT}

    def setUp(self):
        self._directory = tempfile.TemporaryDirectory()
        self.addCleanup(self._directory.cleanup)
        self.cluster = clusters.Cluster(self._directory.name)
        self.addCleanup(self.cluster.stop_all)
        self.deployment = deployments.small(
            deployments.QLD_EAST,
            self.engines,
            self.applications,
            self.routers,
        )
        self.limits = dict(self.limits)
        self.answers = []
        self.want = {}
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=self.links,
            router={**ROUTER, **self.router_settings},
            agent={**AGENT, **self.agent_settings},
            engine=self.engine,
            policy=self.policy,
        )

    def router(self, number):
        """Return the name of a router."""
        return self.deployment.router_names()[number]

    def agents(self, kind):
        """Return the names of the agents of one kind."""
        return [
            name
            for name, pool, _ in self.deployment.targets()
            if pool.kind == kind
        ]

    def model_body(self, prompt, tokens=20, **fields):
        """Return the body of a model request."""
        return {
            'account': 'flight-day',
            'budget': 'voucher-desk',
            'prompt': prompt,
            'max_tokens': tokens,
            **fields,
        }

    def ask(self, router, service, body, key='', timeout_s=8.0):
        """Ask one router once."""
        answer = self._start(router, service, body, key, timeout_s).answer()
        self.answers.append(answer)
        return answer

    def _start(self, router, service, body, key, timeout_s):
        if service == MODEL:
            self.want[key] = callers.expected(body)
        address = self.cluster.addresses[self.router(router)]
        return Background(address, service, body, key, timeout_s)

    def ask_later(self, router, service, body, key='', timeout_s=8.0):
        """Ask in the background; return a Background."""
        return self._start(router, service, body, key, timeout_s)

    def seat(self, router, key, timeout_s=8.0):
        """Confirm a seat."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.ask(router, APPLICATION, body, key, timeout_s)

    def seat_later(self, router, key):
        """Confirm a seat in the background; return a Background."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.ask_later(router, APPLICATION, body, key)

    def running_at(self, names):
        """Return the agent whose target has a request running, or None."""
        for name in names:
            address = self.cluster.addresses[f'target-{name}']
            if processes.get(address, '/load')['running']:
                return name
        return None

    def await_running(self, kind):
        """Wait until a target of a kind runs something; return its agent."""
        names = self.agents(kind)
        self.cluster.wait(
            'a request to run', lambda: self.running_at(names) is not None
        )
        return self.running_at(names)

    def effects(self, key):
        """Return how often a key took effect at the applications."""
        return len(judge.effects(self.cluster)[f'flight-day/{key}'])

    def runs(self, key):
        """Return how often engines started a key."""
        return len(judge.starts(self.cluster)[f'flight-day/{key}'])

    def holders_of(self, budget):
        """Return who holds a grant of a budget, by the ledger."""
        return judge.budgets(self.cluster)[budget]['holders']

    def stop_routers(self):
        """Stop all routers in order."""
        self.cluster.stop_in_order(self.deployment.router_names())

    def assert_clean(self):
        """Stop the routers and judge by the stand-ins' logs."""
        self.stop_routers()
        found = judge.judge(self.cluster, self.limits, self.answers, self.want)
        self.assertTrue(found.clean(), found.notes)
        return found

    def assert_refused(self, answer, verdict, *reasons):
        """Check an answer's refusal."""
        self.assertIsNotNone(answer.refused, answer)
        self.assertEqual(verdict, answer.refused['verdict'], answer)
        self.assertIn(answer.refused['reason'], reasons, answer)
