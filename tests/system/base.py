"""What the tests with real processes share: a small cluster and callers."""

import tempfile
import threading
import unittest

from bench import callers
from bench import checker
from bench import cluster as clusters
from bench import deployments
from bench import processes

ROUTER_SETTINGS = {
    'reclaim_after_ms': 1000,
    'grant_idle_ms': 1000,
    'first_answer_ms': 1000,
    'idle_ms': 2000,
}
AGENT_SETTINGS = {'leave_ms': 300}
MODEL = 'assistant-pool'
APPLICATION = 'booking-desk'
LIMIT = 2000


class BackgroundRequest(threading.Thread):
    """A request on its way; `get_result` waits for what it gets."""

    def __init__(self, *args):
        super().__init__(daemon=True)
        self._args = args
        self._result = None
        self.start()

    def run(self):
        self._result = callers.send_request(*self._args)

    def get_result(self):
        """Return the Answer."""
        self.join()
        return self._result


class ClusterTest(unittest.TestCase):
    """Starts a cluster for each test, and judges it in the end."""

    engines = 2
    applications = 2
    routers = 2
    links = False
    policy = {}
    router_settings = {}
    agent_settings = {}
    engine_options = {'token_ms': 5, 'down_ms': 800}
    limits = {'voucher-desk': LIMIT, 'rebooking': LIMIT, 'gift-chat': LIMIT}

    def setUp(self):
        self._directory = tempfile.TemporaryDirectory()
        self.addCleanup(self._directory.cleanup)
        self.cluster = clusters.Cluster(self._directory.name)
        self.addCleanup(self.cluster.kill_all)
        self.deployment = deployments.scale_down(
            deployments.QLD_EAST,
            self.engines,
            self.applications,
            self.routers,
        )
        self.limits = dict(self.limits)
        self.results = []
        self.expected = {}
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=self.links,
            router={**ROUTER_SETTINGS, **self.router_settings},
            agent={**AGENT_SETTINGS, **self.agent_settings},
            engine=self.engine_options,
            policy=self.policy,
        )

    def router(self, number):
        """Return the name of a router."""
        return self.deployment.router_names()[number]

    def agents(self, kind):
        """Return the names of the agents of one kind."""
        return [
            name
            for name, pool, _ in self.deployment.list_targets()
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

    def send(self, router, service, body, key='', timeout_s=8.0):
        """Ask one router once."""
        result = self._start(
            router, service, body, key, timeout_s
        ).get_result()
        self.results.append(result)
        return result

    def _start(self, router, service, body, key, timeout_s):
        if service == MODEL:
            self.expected[key] = callers.make_expected_text(body)
        address = self.cluster.addresses[self.router(router)]
        return BackgroundRequest(address, service, body, key, timeout_s)

    def send_later(self, router, service, body, key='', timeout_s=8.0):
        """Ask in the background; return a Background."""
        return self._start(router, service, body, key, timeout_s)

    def confirm_seat(self, router, key, timeout_s=8.0):
        """Confirm a seat."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.send(router, APPLICATION, body, key, timeout_s)

    def confirm_seat_later(self, router, key):
        """Confirm a seat in the background; return a Background."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.send_later(router, APPLICATION, body, key)

    def find_running(self, names):
        """Return the agent whose target has a request running, or None."""
        for name in names:
            address = self.cluster.addresses[f'target-{name}']
            if processes.get_json(address, '/load')['running']:
                return name
        return None

    def wait_running(self, kind):
        """Wait until a target of a kind runs something; return its agent."""
        names = self.agents(kind)
        self.cluster.wait_until(
            'a request to run', lambda: self.find_running(names) is not None
        )
        return self.find_running(names)

    def count_effects(self, key):
        """Return how often a key took effect at the applications."""
        return len(checker.collect_effects(self.cluster)[f'flight-day/{key}'])

    def count_starts(self, key):
        """Return how often engines started a key."""
        return len(checker.collect_starts(self.cluster)[f'flight-day/{key}'])

    def get_holders(self, budget):
        """Return who holds a grant of a budget, by the ledger."""
        return checker.read_budgets(self.cluster)[budget]['holders']

    def stop_routers(self):
        """Stop all routers in order."""
        self.cluster.stop_gracefully(self.deployment.router_names())

    def assert_clean(self):
        """Stop the routers and judge by the stand-ins' logs."""
        self.stop_routers()
        findings = checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
        self.assertTrue(findings.is_clean(), findings.notes)
        return findings

    def assert_refused(self, result, verdict, *reasons):
        """Check an answer's refusal."""
        self.assertIsNotNone(result.refusal, result)
        self.assertEqual(verdict, result.refusal['verdict'], result)
        self.assertIn(result.refusal['reason'], reasons, result)
