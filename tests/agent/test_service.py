"""What an agent answers routers, without processes."""

import types
import unittest

from galenaspoke.agent import service
from galenaspoke.conf import definitions
from galenaspoke.core import clock
from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.fleet import config_manager
from galenaspoke.rpc import messages
from galenaspoke.utils import metrics

IDENT = 'pool-0.abc'


class Holders:
    """Holders of which one is sealed."""

    def __init__(self):
        self.sealed = set()

    def admit(self, holder):
        if holder in self.sealed:
            return verdicts.not_run(verdicts.Reason.SEALED)
        return None

    def seal(self, holder):
        self.sealed.add(holder)
        return {}


class Runner:
    """A target that runs nothing by itself."""

    def refusal(self, req, policy, suspect):
        return None

    def start(self, run, submit):
        run.holder = submit.holder
        run.place = submit.request.place
        run.add(submit.resume)


def request(**fields):
    """Return a request."""
    base = {
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
    return messages.Request(**{**base, **fields})


class ServiceTest(unittest.TestCase):
    """One agent, home of everything."""

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
            agent_id=IDENT,
            registry=reg,
            mark_charging=lambda: None,
        )
        counters = metrics.Metrics(definitions.MetricsSettings(), 'x')
        manual = clock.ManualClock()
        self.runs = run_table.Runs(manual)
        self.holders = Holders()
        tables = (
            records.Claims(manual),
            None,
            self.runs,
            self.holders,
            Runner(),
        )
        self.service = service.AgentService(
            cfg,
            membership,
            config_manager.ConfigManager(counters),
            counters,
            manual,
            tables,
        )

    def submit(self, dispatch='d1', req=None, **fields):
        """Return a Submit."""
        base = {
            'to': 'abc',
            'request': req or request(),
            'dispatch': dispatch,
            'holder': 'r1',
            'reserve': 9,
            'propose': IDENT,
        }
        return messages.Submit(**{**base, **fields})

    def ended(self, attempt, pieces):
        """Add a run that has ended whole."""
        run = self.runs.start('k', attempt, f'other-{attempt}')
        run.add(pieces)
        run.state = run_table.RunState.DONE
        run.finish(0)

    def test_stream_goes_on_from_the_same_pieces(self):
        self.ended(2, ['a', 'b', 'c'])
        events = list(
            self.service.submit(
                self.submit(attempt=2, new=False, resume=['a'])
            )
        )
        self.assertEqual(['b', 'c'], events[0].pieces)
        self.assertTrue(events[1].whole)

    def test_answers_are_never_mixed(self):
        """What was delivered came from an attempt with another answer."""
        self.ended(2, ['x', 'b', 'c'])
        for delivered in (['a'], ['x', 'b', 'c', 'd']):
            events = list(
                self.service.submit(
                    self.submit(attempt=2, new=False, resume=delivered)
                )
            )
            end = events[-1]
            self.assertFalse(end.whole)
            self.assertIs(verdicts.Reason.DIVERGED, end.refusal.reason)
            self.assertEqual(1, len(events))

    def test_another_incarnation_is_refused(self):
        event = next(self.service.submit(self.submit(to='old')))
        self.assertIs(verdicts.Reason.REPLACED, event.reason)
        with self.assertRaises(service.WrongIncarnation):
            self.service.ask(messages.Ask('old', 'k'))
        with self.assertRaises(service.WrongIncarnation):
            self.service.seal(messages.Seal('old', 'r1', []))

    def test_sealed_holder_is_refused(self):
        self.service.seal(messages.Seal('abc', 'r1', []))
        event = next(self.service.submit(self.submit()))
        self.assertIs(verdicts.Reason.SEALED, event.reason)
        self.assertIs(verdicts.Verdict.NOT_RUN, event.verdict)

    def test_seal_tells_what_gone_holders_sent(self):
        next(self.service.submit(self.submit()))
        live = self.service.seal(messages.Seal('abc', 'r2', ['r1']))
        gone = self.service.seal(messages.Seal('abc', 'r2', []))
        self.assertEqual([], live.records)
        self.assertEqual(['k'], [one.key for one in gone.records])

    def test_seal_leaves_out_what_was_fenced(self):
        """An attempt that never came was sent by nobody."""
        self.runs.find_or_fence('never', 1)
        sealed = self.service.seal(messages.Seal('abc', 'r2', []))
        self.assertEqual([], sealed.records)

    def test_second_router_follows(self):
        first = next(self.service.submit(self.submit('d1')))
        second = next(self.service.submit(self.submit('d2', holder='r2')))
        self.assertTrue(first.new)
        self.assertFalse(second.new)

    def test_fenced_outcome_never_starts(self):
        asked = messages.OutcomeRequest('abc', 'd1')
        self.assertFalse(self.service.outcome(asked).running)
        events = list(self.service.submit(self.submit('d1')))
        self.assertIs(verdicts.Reason.MOVED, events[-1].reason)

    def test_leaving_fences_what_it_refuses(self):
        self.service.leave()
        event = next(self.service.submit(self.submit()))
        self.assertIs(verdicts.Reason.LEAVING, event.reason)
        known = self.service.ask(messages.Ask('abc', 'k'))
        self.assertFalse(known.known)
