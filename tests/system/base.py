"""Base classes of the tests with real processes: a cluster and callers."""

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
MODEL_SERVICE = 'assistant-pool'
APPLICATION_SERVICE = 'booking-desk'
LIMIT = 2000


class BackgroundRequest(threading.Thread):
    """A request that is sent in a thread of its own."""

    def __init__(self, *args):
        super().__init__(daemon=True)
        self._args = args
        self._result = None
        self.start()

    def run(self):
        self._result = callers.send_request(*self._args)

    def get_result(self):
        """Wait for the request to finish; return its Result."""
        self.join()
        return self._result


class ClusterTest(unittest.TestCase):
    """Start a cluster for each test.

    Most tests end with `assert_clean`, which checks the whole run against the
    event logs of the stand-ins.  Subclasses override the attributes below to
    size and configure the cluster; `limits` has the first top-up of each
    budget, and tests add later top-ups to it.
    """

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
            router_settings={**ROUTER_SETTINGS, **self.router_settings},
            agent_settings={**AGENT_SETTINGS, **self.agent_settings},
            engine_options=self.engine_options,
            policy=self.policy,
        )

    def get_router_name(self, index):
        """Return the name of a router by its index."""
        return self.deployment.list_router_names()[index]

    def list_agents(self, kind):
        """Return the names of the agents of one kind."""
        return [
            name
            for name, pool, _ in self.deployment.iter_targets()
            if pool.kind == kind
        ]

    def make_model_body(self, prompt, tokens=20, **fields):
        """Return the body of a model request."""
        return {
            'account': 'flight-day',
            'budget': 'voucher-desk',
            'prompt': prompt,
            'max_tokens': tokens,
            **fields,
        }

    def send(self, router, service, body, key='', timeout_s=8.0):
        """Send one request to one router; record and return its Result.

        `router` is the index of the router, here and below.
        """
        result = self._start_request(
            router, service, body, key, timeout_s
        ).get_result()
        self.results.append(result)
        return result

    def _start_request(self, router, service, body, key, timeout_s):
        if service == MODEL_SERVICE:
            self.expected[key] = callers.make_expected_text(body)
        address = self.cluster.addresses[self.get_router_name(router)]
        return BackgroundRequest(address, service, body, key, timeout_s)

    def send_in_background(self, router, service, body, key='', timeout_s=8.0):
        """Send a request in the background; return a BackgroundRequest.

        The caller must append the result to `results`; otherwise it is not
        checked.
        """
        return self._start_request(router, service, body, key, timeout_s)

    def confirm_seat(self, router, key, timeout_s=8.0):
        """Send a seat confirmation, an application call; return its Result."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.send(router, APPLICATION_SERVICE, body, key, timeout_s)

    def confirm_seat_in_background(self, router, key):
        """Send a seat confirmation in the background."""
        body = {'account': 'flight-day', 'prompt': f'seat {key}'}
        return self.send_in_background(router, APPLICATION_SERVICE, body, key)

    def find_busy_agent(self, names):
        """Return the agent whose target is running a request, or None."""
        for name in names:
            address = self.cluster.addresses[f'target-{name}']
            if processes.get_json(address, '/load')['running']:
                return name
        return None

    def wait_busy_agent(self, kind):
        """Wait until a target of a kind runs a request; return its agent."""
        names = self.list_agents(kind)
        self.cluster.wait_until(
            'a request to run', lambda: self.find_busy_agent(names) is not None
        )
        return self.find_busy_agent(names)

    def count_effects(self, key):
        """Return how often a key has taken effect at the applications."""
        return len(checker.collect_effects(self.cluster)[f'flight-day/{key}'])

    def count_starts(self, key):
        """Return how often engines have started a key."""
        return len(checker.collect_starts(self.cluster)[f'flight-day/{key}'])

    def get_holders(self, budget):
        """Return the holders of grants of a budget, as in the ledger."""
        return checker.read_budgets(self.cluster)[budget]['holders']

    def stop_routers(self):
        """Stop all routers gracefully."""
        self.cluster.stop_gracefully(self.deployment.list_router_names())

    def assert_clean(self):
        """Stop the routers and check that no property was violated.

        Return the Findings.
        """
        self.stop_routers()
        findings = checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
        self.assertTrue(findings.is_clean(), findings.notes)
        return findings

    def assert_billed(self, tokens, findings):
        """Check how many tokens were billed, after `assert_clean`.

        A failure shows what became of the others: the ledger, and the output
        of the routers, which names agents that did not answer and holders
        that were sealed or left to other routers.
        """
        evidence = ''
        if findings.billed != tokens:
            evidence = self._describe_budgets()
        self.assertEqual(tokens, findings.billed, evidence)

    def _describe_budgets(self):
        rows = checker.read_budgets(self.cluster)
        lines = [f'{name}: {row}' for name, row in rows.items()]
        for name in self.deployment.list_router_names():
            lines += [name, self.cluster.processes[name].read_output()]
        return '\n'.join(lines)

    def assert_refused(self, result, verdict, *reasons):
        """Check that a result is a refusal with a verdict and a reason."""
        self.assertIsNotNone(result.refusal, result)
        self.assertEqual(verdict, result.refusal['verdict'], result)
        self.assertIn(result.refusal['reason'], reasons, result)
