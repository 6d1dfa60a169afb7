"""Whole answers that are told broken, from callers and logs made up here."""

import json
import pathlib
import tempfile
import unittest

from bench import closed_streams
from bench import edge_callers
from bench import edge_checks
from bench import fault_history
from bench import fleet_options
from bench import lost_checks

TALK = '/stream/talk/'
TELL = '/stream/tell/'
ASK = '/plain/ask/'
BOOK = '/plain/book/'
PREFIXES = (TALK, TELL, ASK, BOOK)
FRAMINGS = ('length', 'chunked', 'none')
ROUTER = 'router-0'
OTHER_ROUTER = 'router-1'
# When the attempt is sent and ends, and its run ends, in milliseconds.
SENT_MS = 100_000
RUN_ENDED_MS = 100_980
ENDED_MS = 101_000
FRESH_MS = ENDED_MS - 500
GRACE_MS = 8_000
CONFIG_APPLY_MS = 2_000
STABLE_WINDOW_MS = 3_000
TIMEOUT_MS = 8_000


class FakeRouter:
    """The name of a router."""

    name = ROUTER


def make_history(*entries):
    """Return the history of these lines of a log."""
    history = fault_history.History()
    for entry in entries:
        history.take(entry)
    return history


def note(fault, at, name=ROUTER, **fields):
    """Return the line of a fault."""
    return {'what': 'fault', 'fault': fault, 'name': name, 'at': at, **fields}


def span(fault, began, ended):
    """Return the line of a fault that is over."""
    return {'what': 'span', 'fault': fault, 'began': began, 'at': ended}


def end(name, at, code, **fields):
    """Return the line of a process that ended."""
    return {'what': 'ended', 'name': name, 'at': at, 'code': code, **fields}


def start(name, at):
    """Return the line of a process that was started again."""
    return {'what': 'started', 'name': name, 'at': at}


def publish(at, timeout_ms=TIMEOUT_MS):
    """Return the line of a configuration."""
    return {'what': 'published', 'at': at, 'timeout_ms': timeout_ms}


class LostTest(unittest.TestCase):
    """What LOST finds in one attempt that was told broken."""

    def setUp(self):
        self.req = edge_callers.Request('k', TELL, 4)
        self.runs = {}
        self.attempt = self.add_attempt()
        self.run = self.add_run(self.attempt)
        self.history = make_history(note('stop_router', FRESH_MS))
        self.mode = closed_streams.JUDGE

    def add_attempt(self):
        """Return a further attempt, which was cut."""
        number = len(self.req.attempts)
        attempt = edge_callers.Attempt(f'k.{number}', FakeRouter(), 1)
        attempt.sent_at = SENT_MS / 1000
        attempt.ended_at = ENDED_MS / 1000
        attempt.outcome = 'cut'
        attempt.status = 200
        self.req.attempts.append(attempt)
        return attempt

    def add_run(self, attempt, how='whole', **fields):
        """Have an engine run an attempt; return the run."""
        begin = {
            'at': SENT_MS + 5,
            'framing': 'none',
            'instance': 'i-1',
            'born': 7,
            'version': 'v1',
            'service': 'model-chat',
        }
        run = edge_checks.Run({**begin, **fields})
        run.end({'how': how, 'events': 4, 'tokens': 4, 'at': RUN_ENDED_MS})
        self.runs.setdefault(attempt.id, []).append(run)
        return run

    def set_request(self, prefix):
        """Have the attempt be one of another route."""
        attempts = self.req.attempts
        self.req = edge_callers.Request('k', prefix, 4)
        self.req.attempts = attempts

    def check(self):
        """Return the Findings."""
        findings = edge_checks.Findings()
        lost_checks.check(
            findings, [self.req], self.runs, self.history, self.mode
        )
        return findings

    def count(self):
        """Return how many violations there are, of which all are LOST."""
        findings = self.check()
        violations = findings.violations
        self.assertEqual(findings.is_clean(), not violations['LOST'])
        return len(violations['LOST'])

    def assert_lost(self, is_lost, *entries):
        """Check whether it is lost beside what these lines say."""
        self.history = make_history(*entries)
        self.assertEqual(self.count(), is_lost, entries)

    def test_answers_for_which_the_rule_holds(self):
        """They are counted whatever their callers were told."""
        for outcome in ('whole', 'cut'):
            self.attempt.outcome = outcome
            counted = self.check().wholes_beside_work
            self.assertEqual({'stream none': 1}, counted)
        self.mode = closed_streams.DOUBT
        self.assertEqual(self.check().wholes_beside_work.total(), 0)
        self.mode = closed_streams.JUDGE
        self.history = make_history()
        self.assertEqual(self.check().wholes_beside_work.total(), 0)

    # Planned work.

    def test_no_planned_work(self):
        """It is no violation, but it is counted by kind and framing."""
        self.history = make_history()
        findings = self.check()
        self.assertTrue(findings.is_clean())
        self.assertEqual({'stream none': 1}, findings.broken_wholes)
        self.assertEqual(findings.wholes, 1)

    def test_violation(self):
        """What is lost isn't counted a second time; its text says where."""
        findings = self.check()
        self.assertEqual(sum(findings.broken_wholes.values()), 0)
        self.assertEqual(findings.wholes, 1)
        text = findings.violations['LOST'][0]
        for word in ('k.0', TELL, ROUTER, 'SIGTERM', 'none'):
            self.assertIn(word, text)

    def test_stop_of_the_router(self):
        """From the SIGTERM to a second after the grace period."""
        last_ms = ENDED_MS - GRACE_MS - 1_000
        for fault in ('stop_router', 'roll_term'):
            self.assert_lost(True, note(fault, FRESH_MS))
            self.assert_lost(True, note(fault, ENDED_MS))
            self.assert_lost(True, note(fault, last_ms))
            self.assert_lost(False, note(fault, last_ms - 1))
            self.assert_lost(False, note(fault, ENDED_MS + 1))

    def test_stop_of_another_router(self):
        """It is no planned work beside this attempt."""
        self.assert_lost(False, note('stop_router', FRESH_MS, OTHER_ROUTER))
        self.assert_lost(False, note('hup', FRESH_MS, OTHER_ROUTER))

    def test_stop_of_a_process_that_has_ended(self):
        """No signal is sent until it is started again."""
        ended = end(ROUTER, FRESH_MS - 100, 0)
        self.assert_lost(False, ended, note('stop_router', FRESH_MS))
        started = start(ROUTER, FRESH_MS - 50)
        stopped = note('stop_router', FRESH_MS)
        self.assert_lost(True, ended, started, stopped)

    def test_reload(self):
        """Requests sent until ConfigApplyMs after it, and cut after it."""
        last_ms = SENT_MS - CONFIG_APPLY_MS
        for fault in ('reload_router', 'hup'):
            self.assert_lost(True, note(fault, FRESH_MS))
            self.assert_lost(True, note(fault, ENDED_MS))
            self.assert_lost(True, note(fault, last_ms))
            self.assert_lost(False, note(fault, last_ms - 1))
            self.assert_lost(False, note(fault, ENDED_MS + 1))

    def test_configuration(self):
        """From its sending to a second after ConfigApplyMs, at any router."""
        last_ms = ENDED_MS - CONFIG_APPLY_MS - 1_000
        self.assert_lost(True, publish(FRESH_MS))
        self.assert_lost(True, publish(ENDED_MS))
        self.assert_lost(True, publish(last_ms))
        self.assert_lost(False, publish(last_ms - 1))
        self.assert_lost(False, publish(ENDED_MS + 1))

    def test_all_planned_work(self):
        """None of it, nor work that is planned at engines, excuses others."""
        stop = note('stop_router', FRESH_MS)
        names = fault_history.PLANNED + fault_history.PLANNED_AT_ENGINES
        for name in names:
            self.assert_lost(True, span(name, SENT_MS, ENDED_MS), stop)

    # Unplanned faults.

    def test_fault_near(self):
        """From StableWindowMs before the request to its end."""
        stop = note('stop_router', FRESH_MS)
        first_ms = SENT_MS - STABLE_WINDOW_MS
        cases = (
            (SENT_MS, SENT_MS + 1, False),
            (first_ms - 9, first_ms, False),
            (first_ms - 9, first_ms - 1, True),
            (first_ms - 9, ENDED_MS + 9, False),
            (ENDED_MS, ENDED_MS + 9, False),
            (ENDED_MS + 1, ENDED_MS + 9, True),
        )
        for name in ('harm_link', 'freeze_router', 'any_other'):
            for began_ms, ended_ms, is_lost in cases:
                line = span(name, began_ms, ended_ms)
                self.assert_lost(is_lost, stop, line)

    def test_fault_that_lasts(self):
        """One that is told how long it lasts outlives its call."""
        stop = note('stop_router', FRESH_MS)
        began_ms = SENT_MS - STABLE_WINDOW_MS - 5_000
        flood = note('flood_engine', began_ms, 'model-0', s=5.0)
        self.assert_lost(False, stop, flood)
        flood = note('flood_engine', began_ms, 'model-0', s=4.99)
        self.assert_lost(True, stop, flood)

    def test_machine_that_is_down(self):
        """Without its process it is disturbed until it is started again."""
        stop = note('stop_router', FRESH_MS)
        down_ms = SENT_MS - STABLE_WINDOW_MS - 6_000
        up_ms = down_ms + 6_000
        for name, code, fields, is_lost in (
            ('model-0', -9, {}, False),
            ('model-0', -9, {'after_grace': True}, False),
            ('model-0', 1, {}, False),
            ('model-0', 0, {}, True),
            ('model-0', 0, {'handed_over': True}, False),
            (OTHER_ROUTER, -9, {}, False),
            ('relay-0', -9, {}, False),
            # Its own end is no excuse, nor that it took too long to stop.
            (OTHER_ROUTER, 1, {}, True),
            (OTHER_ROUTER, 0, {}, True),
            (OTHER_ROUTER, -9, {'after_grace': True}, True),
        ):
            ended = end(name, down_ms, code, **fields)
            self.assert_lost(is_lost, ended, stop)
            self.assert_lost(is_lost, ended, start(name, up_ms), stop)
            self.assert_lost(True, ended, start(name, up_ms - 1), stop)

    def test_end_that_is_noticed_late(self):
        """A process ended a little before its line in the log."""
        stop = note('stop_router', FRESH_MS)
        killed = end('model-0', ENDED_MS + 200, -9)
        self.assert_lost(False, stop, killed)
        killed = end('model-0', ENDED_MS + 201, -9)
        self.assert_lost(True, stop, killed)

    # What else excuses it.

    def test_deadline(self):
        """The caller's time is over, or nearly."""
        self.req.timeout_s = 1.0
        self.assertEqual(self.count(), 0)
        self.req.timeout_s = 1.101
        self.assertEqual(self.count(), 1)

    def test_deadline_counts_from_the_first_attempt(self):
        """An earlier attempt took a part of the caller's time."""
        second = self.add_attempt()
        self.add_run(second)
        self.runs.pop('k.0')
        self.req.timeout_s = 3.0
        self.assertEqual(self.count(), 1)
        self.req.attempts[0].sent_at -= 2.0
        self.assertEqual(self.count(), 0)

    def test_timeout_of_the_route(self):
        """The shortest that a configuration so far had."""
        stop = note('stop_router', FRESH_MS)
        self.assert_lost(True, publish(0, 1_101), stop)
        self.assert_lost(False, publish(0, 1_100), stop)
        self.assert_lost(False, publish(0, 1_100), publish(1), stop)
        self.assert_lost(True, publish(ENDED_MS + 1, 1_100), stop)

    def test_end_of_the_grace_period(self):
        """An engine at work then, on what was sent early in it."""
        stop_ms = RUN_ENDED_MS - GRACE_MS * 5 // 6 - 1
        stop = note('stop_router', stop_ms)
        self.attempt.sent_at = (stop_ms + 3_000) / 1000
        self.assert_lost(False, stop)
        self.assert_lost(False, stop, note('stop_router', stop_ms + 500))
        self.attempt.sent_at = (stop_ms + 3_001) / 1000
        self.assert_lost(True, stop)
        self.attempt.sent_at = (stop_ms + 3_000) / 1000
        self.assert_lost(True, note('stop_router', stop_ms + 10))

    def test_engine_broke_off(self):
        """It isn't whole then, and isn't counted."""
        for how in ('closed', 'reset', 'killed', 'left', 'leaving', 'error'):
            self.runs.clear()
            self.add_run(self.attempt, how)
            self.assertEqual(self.count(), 0, how)
            self.assertEqual(self.check().wholes, 0)

    def test_garbled_run(self):
        """Bytes beside the answer, or before it, are the engine's fault."""
        self.run.end({'how': 'whole', 'extra': 'within', 'at': RUN_ENDED_MS})
        self.assertEqual(self.count(), 0)
        self.runs.clear()
        self.add_run(self.attempt, follows_garbage=True)
        self.assertEqual(self.count(), 0)

    def test_no_run(self):
        """What no engine ran isn't an answer that was lost."""
        self.runs.clear()
        self.assertEqual(self.count(), 0)

    def test_outcomes(self):
        """Told broken is what was cut by the router, or a 502."""
        for outcome, status, is_lost in (
            ('whole', 200, False),
            ('cut', 200, True),
            ('cut', 0, True),
            ('left', 200, False),
            ('failed', 502, True),
            ('failed', 504, False),
            ('refused', 503, False),
        ):
            self.attempt.outcome = outcome
            self.attempt.status = status
            self.assertEqual(self.count(), is_lost, (outcome, status))

    def test_caller(self):
        """One that left, or didn't read for long, isn't told anything."""
        self.attempt.has_given_up = True
        self.assertEqual(self.check().broken_wholes.total(), 0)
        self.assertEqual(self.count(), 0)
        self.attempt.has_given_up = False
        self.attempt.has_stalled = True
        self.assertEqual(self.count(), 0)
        self.assertEqual({'stream none': 1}, self.check().broken_wholes)

    # Framings and modes.

    def test_framings(self):
        """All count, of streams and bodies, but for a choice to doubt."""
        for mode in closed_streams.MODES:
            for prefix in PREFIXES:
                for framing in FRAMINGS:
                    self.mode = mode
                    self.set_request(prefix)
                    self.run.framing = framing
                    is_stream = prefix in (TALK, TELL)
                    is_chosen = (
                        mode == 'doubt' and is_stream and framing == 'none'
                    )
                    case = (mode, prefix, framing)
                    self.assertEqual(self.count(), not is_chosen, case)
                    counted = self.check().broken_wholes.total()
                    self.assertEqual(counted, is_chosen, case)

    def test_last_run_counts(self):
        """Of an attempt with several runs."""
        self.set_request(TALK)
        self.add_run(self.attempt, 'reset')
        self.assertEqual(self.count(), 0)
        self.add_run(self.attempt, after=2, first=3)
        self.assertEqual(self.count(), 1)

    def test_resumed(self):
        """Each attempt counts by itself, also one that asked for the rest."""
        self.set_request(TALK)
        self.attempt.outcome = 'cut'
        second = self.add_attempt()
        second.outcome = 'whole'
        self.add_run(second, after=4, first=5)
        self.assertEqual(self.count(), 1)
        second.outcome = 'cut'
        self.assertEqual(self.count(), 2)
        self.attempt.outcome = 'left'
        self.assertEqual(self.count(), 1)
        self.assertEqual(self.check().wholes, 2)


class HistoryTest(unittest.TestCase):
    """What is read from a log."""

    def test_read(self):
        """Lines that say nothing of planned work or faults are left out."""
        lines = [
            {'what': 'clock', 'name': ROUTER, 'ms': 5, 'at': 1},
            publish(2, 7_000),
            note('hup', 3),
            note('roll_term', 4),
            span('roll_term', 4, 9),
            span('harm_link', 5, 10),
        ]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'faults.log'
            path.write_text('\n'.join(map(json.dumps, lines)))
            history = fault_history.read(path)
        self.assertEqual(history.publications, [(2, 7_000)])
        self.assertEqual({ROUTER: [3]}, history.reloads)
        self.assertEqual({ROUTER: [4]}, history.stops)
        names = [span.name for span in history.disruptions]
        self.assertEqual(names, ['harm_link'])


class ClosedStreamsTest(unittest.TestCase):
    """Which flags routers get."""

    def test_mode(self):
        """By the share of responses that end early, unless one is named."""
        self.assertEqual(closed_streams.choose(None, 0.0), 'judge')
        self.assertEqual(closed_streams.choose(None, 0.08), 'doubt')
        for mode in closed_streams.MODES:
            self.assertEqual(closed_streams.choose(mode, 0.08), mode)
            self.assertEqual(closed_streams.choose(mode, 0.0), mode)

    def test_engines(self):
        """Where no response ends early, none has a common end either."""
        options = fleet_options.FleetOptions(early=0.0)
        self.assertEqual(options.closed_streams, 'judge')
        self.assertEqual(options.list_engine_options()['common'], 0.0)
        options = fleet_options.FleetOptions(early=0.01)
        self.assertEqual(options.closed_streams, 'doubt')
        own = options.profile.engine_options
        self.assertEqual(options.list_engine_options(), own)
        self.assertGreater(own['common'], 0.0)

    def make_product(self, directory, text):
        """Make a package whose router says this."""
        folder = pathlib.Path(directory) / 'galenaspoke' / 'edge'
        folder.mkdir(parents=True)
        for package in (folder.parent, folder):
            (package / '__init__.py').touch()
        (folder / 'main.py').write_text(f'print({text!r})\n')

    def test_flags(self):
        """A flag is passed where the product's code knows it."""
        cases = (
            ('doubt', '--doubt-closed-streams / ', ['--doubt-closed-streams']),
            ('doubt', '--accept-closed-streams', []),
            (
                'accept',
                '--accept-closed-streams / ',
                ['--accept-closed-streams'],
            ),
            ('accept', '', []),
            ('judge', '--doubt-closed-streams', []),
        )
        for mode, text, flags in cases:
            with tempfile.TemporaryDirectory() as directory:
                self.make_product(directory, text)
                found = closed_streams.list_flags(mode, directory)
            self.assertEqual(found, flags, (mode, text))
