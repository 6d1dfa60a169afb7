"""What tenants consumed, by attempts and logs made up here."""

import random
import time
import types
import unittest

from bench import edge_budgets
from bench import edge_callers
from bench import edge_checks
from bench import edge_events
from bench import edge_sessions
from bench import site_profiles
from bench import tenants
from standins import platform_documents

TALK = '/stream/talk/'
TELL = '/stream/tell/'
ASK = '/plain/ask/'
BOOK = '/plain/book/'
INPUT_TOKENS = 100


class FakeRouter:
    """The name of a router."""

    name = 'router-0'


class BudgetsTest(unittest.TestCase):
    """A tenant that has 250 tokens."""

    def setUp(self):
        self.tenants = tenants.Tenants(
            [platform_documents.Tenant('t0', ['a', 'b'], 250)]
        )
        self.tenant = self.tenants.all[0]
        self.tenants.begin_version()
        self.runs = {}
        self.requests = []

    def add(
        self, *outputs, status=200, key='a', ran=True, after_s=0, prefix=TALK
    ):
        """Add a request whose attempts brought so many tokens each."""
        number = len(self.requests)
        req = edge_callers.Request(f'k{number}', prefix, sum(outputs))
        req.tenant = self.tenant
        req.input_tokens = INPUT_TOKENS
        first = 1
        for tokens in outputs:
            attempt = edge_callers.Attempt(
                f'k{number}.{len(req.attempts)}', FakeRouter(), 1
            )
            attempt.api_key = key
            attempt.status = status
            attempt.sent_at += after_s
            attempt.ended_at = time.time()
            if tokens:
                last = first + tokens - 1
                raw = f'id: 1\ndata: k{number} v1 {first} {last}'.encode()
                attempt.events.append(edge_events.Event(raw))
                first = last + 1
            if ran:
                self.runs[attempt.id] = ['a run']
            req.attempts.append(attempt)
        self.requests.append(req)

    def find(self):
        """Return the rules that were broken."""
        findings = edge_checks.Findings()
        edge_budgets.check(findings, self.requests, self.runs, self.tenants)
        return [rule for rule, texts in findings.violations.items() if texts]

    def test_all_of_it(self):
        """Input counts once a request, and output as it came."""
        self.add(30, 20)
        self.add(0)
        self.assertEqual(self.find(), [])

    def test_one_token_more(self):
        """It is found."""
        self.add(30, 21)
        self.add(0)
        self.assertEqual(self.find(), ['BUDGET'])

    def test_requests_that_did_not_run(self):
        """They cost nothing."""
        self.add(30, 20)
        self.add(0, status=402, ran=False)
        self.add(0, status=503)
        self.add(0)
        self.assertEqual(self.find(), [])

    # Guards against BUDGET where tenants ask applications, whose requests
    # state no tokens.
    def test_requests_to_applications(self):
        """They cost nothing, whatever ran."""
        for prefix in (ASK, BOOK):
            for _ in range(5):
                self.add(0, prefix=prefix)
        self.assertEqual(self.find(), [])

    def test_streams_beside_requests_to_applications(self):
        """Each stream costs its input, also one that may not be resumed."""
        self.add(30, 20)
        self.add(0, prefix=ASK)
        self.add(0, prefix=TELL)
        self.assertEqual(self.find(), [])
        self.add(1, prefix=TELL, ran=False)
        self.assertEqual(self.find(), ['BUDGET'])

    # Guards against a check that charges other tokens than callers state.
    def test_input_is_what_callers_state(self):
        """All classes of requests are charged as their headers say."""
        profile = site_profiles.default()
        fleet = types.SimpleNamespace(tenants=self.tenants, profile=profile)
        caller = edge_sessions.Caller('c0', fleet, random.Random(1), [])
        kinds = set()
        for cls in profile.classes:
            prefix = cls.route.prefix
            req = edge_callers.Request('k', prefix, 1, cls.route)
            req.input_tokens = cls.input_tokens
            attempt = edge_callers.Attempt('k.0', FakeRouter(), 1)
            attempt.status = 200
            req.attempts.append(attempt)
            sent = caller._encode(req, attempt, 1.0).decode().lower()
            _, _, usage = sent.partition('x-token-usage: ')
            stated = int(usage.partition(',')[0]) if usage else 0
            (charge,) = edge_budgets.list_charges(req, {'k.0': ['a run']})
            self.assertEqual((prefix, stated), (prefix, charge.tokens))
            kinds.add((req.kind, stated > 0))
        self.assertEqual(
            {
                ('stream', True),
                ('idempotent', False),
                ('non_idempotent', False),
            },
            kinds,
        )

    def test_topup(self):
        """What a later version allows holds from then on."""
        self.add(150)
        self.tenants.top_up(self.tenant, 0.2)
        self.tenants.begin_version()
        self.add(0, ran=False)
        self.assertEqual(self.find(), [])
        self.add(51, ran=False)
        self.assertEqual(self.find(), ['BUDGET'])

    def test_topup_that_comes_too_late(self):
        """It doesn't excuse what was consumed before."""
        self.add(151)
        time.sleep(0.002)
        self.tenants.top_up(self.tenant, 0.2)
        self.tenants.begin_version()
        self.assertEqual(self.find(), ['BUDGET'])

    def test_unlimited(self):
        """Without a limit all is allowed."""
        self.tenant.prepaid = None
        self.tenants.begin_version()
        self.add(10_000)
        self.assertEqual(self.find(), [])

    def test_unknown_keys(self):
        """They must not run; the others must not be unknown."""
        unknown = platform_documents.UNKNOWN_KEY
        self.add(0, status=401, key=unknown, ran=False)
        self.assertEqual(self.find(), [])
        self.add(0, status=401, key=unknown)
        self.assertEqual(self.find(), ['KEY'])

    def test_known_keys(self):
        """Only one that was taken away, or is quite new, may be told 401."""
        self.tenants.revoke(self.tenant)
        self.tenants.begin_version()
        new_key = self.tenant.keys[-1]
        self.add(0, status=401, key='a', ran=False, after_s=9)
        self.add(0, status=401, key=new_key, ran=False, after_s=1.9)
        self.assertEqual(self.find(), [])
        for key in ('b', new_key):
            self.requests.clear()
            self.add(0, status=401, key=key, ran=False, after_s=2.1)
            self.assertEqual(self.find(), ['KEY'])
