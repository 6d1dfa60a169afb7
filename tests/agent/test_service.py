"""Tests of the agent's RPC service, called in process."""

import types
import unittest
from unittest import mock

import msgspec

from galenaspoke.agent import service
from galenaspoke.conf import definitions
from galenaspoke.core import clock
from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.fleet import config_manager
from galenaspoke.rpc import messages
from galenaspoke.utils import metrics

AGENT_ID = 'pool-0.abc'


class FakeHolders:
    """Fake Holders that refuses sealed holders."""

    def __init__(self):
        self.sealed = set()

    def check_admission(self, holder):
        if holder in self.sealed:
            return verdicts.not_run(verdicts.Reason.SEALED)
        return None

    def seal(self, holder):
        self.sealed.add(holder)
        return {}


class FakeRunner:
    """Fake Runner that admits every request and never finishes a run."""

    def check_admission(self, req, policy, suspect):
        return None

    def start(self, run, submit):
        run.holder = submit.holder
        run.place = submit.request.place
        run.add(submit.resume)


def make_request(**fields):
    """Return a Request; `fields` override the defaults."""
    defaults = {
        'key': 'k',
        'fresh': False,
        'place': 'k',
        'service': 'pool',
        'account': 'desk',
        'budget': 'b',
        'prompt': 'p',
        'digest': 'd',
        'max_tokens': 9,
        'repeatable': True,
        'stream': True,
        'priority': 5,
        'deadline_ms': 1000,
    }
    return messages.Request(**{**defaults, **fields})


class FakeDurableClaims:
    """Fake DurableClaims; `on_claim` is called during the store call."""

    def __init__(self, on_claim):
        self._on_claim = on_claim
        self.keys = []

    def claim(self, key):
        self._on_claim()
        self.keys.append(key)

    def expire(self, keys):
        for key in keys:
            self.keys.remove(key)


class ServiceTest(unittest.TestCase):
    """One agent, which is the home of all requests."""

    def setUp(self):
        cfg = definitions.AgentSettings(
            name='pool-0',
            domain='a',
            service='pool',
            listen='127.0.0.1:1',
            target='http://127.0.0.1:2',
        )
        reg = registry.Registry('pool', 1)
        reg.entries.append(
            registry.AgentEntry(
                'pool', 'pool-0', 'abc', 'x', 'a', registry.Phase.ACTIVE
            )
        )
        membership = types.SimpleNamespace(
            incarnation='abc',
            agent_id=AGENT_ID,
            registry=reg,
            ensure_charging=lambda: None,
        )
        agent_metrics = metrics.Metrics(definitions.MetricsSettings(), 'x')
        manual_clock = clock.ManualClock()
        self.runs = run_table.Runs(manual_clock)
        self.holders = FakeHolders()
        components = (
            records.Claims(manual_clock),
            None,
            self.runs,
            self.holders,
            FakeRunner(),
        )
        self.service = service.AgentService(
            cfg,
            membership,
            config_manager.ConfigManager(agent_metrics),
            agent_metrics,
            manual_clock,
            components,
        )

    def make_submit(self, dispatch='d1', req=None, **fields):
        """Return a Submit; `fields` override the defaults."""
        defaults = {
            'to': 'abc',
            'request': req or make_request(),
            'dispatch': dispatch,
            'holder': 'r1',
            'reserve': 9,
            'propose': AGENT_ID,
        }
        return messages.Submit(**{**defaults, **fields})

    def add_finished_run(self, attempt, pieces):
        """Add a finished run with a complete answer."""
        run = self.runs.start('k', attempt, f'other-{attempt}')
        run.add(pieces)
        run.state = run_table.RunState.DONE
        run.finish(0)

    def test_stream_resumes_after_identical_pieces(self):
        self.add_finished_run(2, ['a', 'b', 'c'])
        events = list(
            self.service.submit(
                self.make_submit(attempt=2, new=False, resume=['a'])
            )
        )
        self.assertEqual(['b', 'c'], events[0].pieces)
        self.assertTrue(events[1].whole)

    def test_answers_are_never_mixed(self):
        """A stream never resumes from pieces that the run did not produce.

        The caller has pieces of an earlier attempt, whose answer differs from
        that of the run, or is longer.
        """
        self.add_finished_run(2, ['x', 'b', 'c'])
        for delivered in (['a'], ['x', 'b', 'c', 'd']):
            events = list(
                self.service.submit(
                    self.make_submit(attempt=2, new=False, resume=delivered)
                )
            )
            end = events[-1]
            self.assertFalse(end.whole)
            self.assertIs(verdicts.Reason.DIVERGED, end.refusal.reason)
            self.assertEqual(1, len(events))

    def test_another_incarnation_is_refused(self):
        event = next(self.service.submit(self.make_submit(to='old')))
        self.assertIs(verdicts.Reason.REPLACED, event.reason)
        with self.assertRaises(service.WrongIncarnation):
            self.service.ask(messages.Ask('old', 'k'))
        with self.assertRaises(service.WrongIncarnation):
            self.service.seal(messages.Seal('old', 'r1', []))

    def test_sealed_holder_is_refused(self):
        self.service.seal(messages.Seal('abc', 'r1', []))
        event = next(self.service.submit(self.make_submit()))
        self.assertIs(verdicts.Reason.SEALED, event.reason)
        self.assertIs(verdicts.Verdict.NOT_RUN, event.verdict)

    def test_seal_reports_records_of_gone_holders(self):
        next(self.service.submit(self.make_submit()))
        live = self.service.seal(messages.Seal('abc', 'r2', ['r1']))
        gone = self.service.seal(messages.Seal('abc', 'r2', []))
        self.assertEqual([], live.records)
        self.assertEqual(['k'], [record.key for record in gone.records])

    def test_seal_omits_fenced_runs(self):
        """A fenced attempt never arrived, so it is not reported."""
        self.runs.find_or_fence('never', 1)
        reply = self.service.seal(messages.Seal('abc', 'r2', []))
        self.assertEqual([], reply.records)

    def test_second_router_follows_run(self):
        """A second router with the same key must not start a second run."""
        first = next(self.service.submit(self.make_submit('d1')))
        second = next(self.service.submit(self.make_submit('d2', holder='r2')))
        self.assertTrue(first.new)
        self.assertFalse(second.new)

    def test_dispatch_fenced_by_outcome_never_starts(self):
        """A dispatch that was settled as costing nothing must not run later.

        Its submit arrives after the router asked for its outcome.
        """
        outcome_request = messages.OutcomeRequest('abc', 'd1')
        self.assertFalse(self.service.outcome(outcome_request).running)
        events = list(self.service.submit(self.make_submit('d1')))
        self.assertIs(verdicts.Reason.MOVED, events[-1].reason)

    def test_leaving_agent_fences_refused_requests(self):
        """A request refused by a leaving agent must never start there.

        The fence proves to its new home that this agent has no record of it.
        """
        self.service.begin_stop()
        event = next(self.service.submit(self.make_submit()))
        self.assertIs(verdicts.Reason.LEAVING, event.reason)
        reply = self.service.ask(messages.Ask('abc', 'k'))
        self.assertFalse(reply.known)

    def test_run_is_not_started_after_stop_began_during_durable_claim(self):
        """A run must not start once the agent may have ended its last one.

        The stop would cut it off.  The claim is deleted, so that the next home
        may run the request.
        """
        claims = FakeDurableClaims(self.service.begin_stop)
        self.service._durable_claims = claims
        policy = msgspec.structs.replace(schema.DEFAULTS, durable_claims=True)
        submit = self.make_submit(req=make_request(repeatable=False))
        with mock.patch.object(
            service.AgentService, '_get_policy', return_value=policy
        ):
            event = next(self.service.submit(submit))
        self.assertIs(verdicts.Reason.LEAVING, event.reason)
        self.assertIs(verdicts.Verdict.NOT_RUN, event.verdict)
        self.assertEqual([], self.runs.running())
        self.assertEqual([], claims.keys)

    def test_run_that_its_agent_cut_off_is_not_adopted_as_running(self):
        """The run has ended, with an unknown outcome.

        Else it would count as load of the new home, whose own stop would wait
        for its end.
        """
        handed = messages.Handed(
            'k',
            'd',
            'k',
            1,
            'pool-1.xyz',
            True,
            state=run_table.RunState.RUNNING,
            pieces=['a'],
        )
        self.service.hand_over(
            messages.HandOver('abc', 'pool-1.xyz', [handed])
        )
        self.assertEqual([], self.runs.running())
        *_, end = self.service.submit(self.make_submit())
        self.assertFalse(end.whole)
        self.assertIs(verdicts.Reason.LEAVING, end.refusal.reason)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, end.refusal.verdict)
