"""The checks of the edge fleet's soak, from callers and logs made up here."""

import json
import pathlib
import tempfile
import unittest

from bench import edge_callers
from bench import edge_checks
from bench import edge_events
from bench import flood_windows
from standins import edge_bodies
from standins import platform_documents

TALK = '/stream/talk/'
TELL = '/stream/tell/'
ASK = '/plain/ask/'
BOOK = '/plain/book/'
PIECES = 4
# What the ids of a run that goes on are, after which one, and its first token.
LATER_RUN = ('tokens', 7, 8)


class FakeRouter:
    """The name of a router."""

    name = 'router-0'


class ChecksTest(unittest.TestCase):
    """What each rule finds, in requests with key `k` and four pieces."""

    def setUp(self):
        self.runs = {}
        # Where the runs of the request that is being made take place.
        self.service = platform_documents.MODEL_SERVICE

    def add_run(self, attempt_id, how='whole', version='v1', service=None):
        """Have an engine run an attempt; return the headers it answers."""
        run = edge_checks.Run(
            {
                'at': len(self.runs),
                'framing': 'none',
                'instance': 'i-1',
                'born': 7,
                'version': version,
                'service': service or self.service,
            }
        )
        run.how = how
        self.runs.setdefault(attempt_id, []).append(run)
        stamp = edge_bodies.make_stamp('i-1', 7, attempt_id)
        return {'x-response-stamp': stamp, 'x-request-id': attempt_id}

    def add_attempt(self, req, outcome, events=(), body=b'', status=200):
        """Add an attempt that ran once and brought some events or a body.

        `events` are pairs of a number and a version.
        """
        number = len(req.attempts)
        self.service = platform_documents.ROUTES[req.prefix][1]
        attempt = edge_callers.Attempt(f'k.{number}', FakeRouter(), 1)
        attempt.outcome = outcome
        attempt.status = status
        attempt.headers = self.add_run(attempt.id)
        attempt.body = body
        for event, version in events:
            raw = edge_bodies.make_event('k', version, event, event, event)
            attempt.events.append(edge_events.Event(raw.rstrip(b'\n')))
        req.attempts.append(attempt)
        return attempt

    def find(self, req):
        """Return the rules that a request broke."""
        findings = edge_checks.check([req], self.runs)
        return [rule for rule, texts in findings.violations.items() if texts]

    def make_stream(self, *attempts, prefix=TALK):
        """Return a stream whose attempts brought these events.

        The last one was told to be whole, the others were cut.
        """
        req = edge_callers.Request('k', prefix, PIECES)
        for number, events in enumerate(attempts, 1):
            outcome = 'whole' if number == len(attempts) else 'cut'
            self.add_attempt(req, outcome, events)
        return req

    def test_whole_stream(self):
        """A whole stream breaks no rule, nor does one that was resumed."""
        whole = [(number, 'v1') for number in range(1, PIECES + 1)]
        self.assertEqual(self.find(self.make_stream(whole)), [])
        resumed = self.make_stream(whole[:2], whole[2:])
        self.assertEqual(self.find(resumed), [])

    def test_stream_without_its_end(self):
        """ORDER: a stream that was told to be whole lacks its last event."""
        req = self.make_stream([(1, 'v1'), (2, 'v1'), (3, 'v1')])
        self.assertEqual(self.find(req), ['ORDER'])

    def test_stream_that_was_cut(self):
        """A stream that isn't told to be whole may lack its end."""
        req = edge_callers.Request('k', TELL, PIECES)
        self.add_attempt(req, 'cut', [(1, 'v1')])
        self.assertEqual(self.find(req), [])

    def test_gap_and_repetition(self):
        """ORDER: events are missing or come twice, also in a cut stream."""
        gap = self.make_stream([(1, 'v1')], [(3, 'v1'), (4, 'v1')])
        self.assertEqual(self.find(gap), ['ORDER'])
        req = edge_callers.Request('k', TALK, PIECES)
        self.add_attempt(req, 'cut', [(1, 'v1'), (1, 'v1')])
        self.assertEqual(self.find(req), ['ORDER'])

    def test_two_versions(self):
        """ORDER: a stream goes on at another version."""
        req = self.make_stream([(1, 'v1'), (2, 'v1')], [(3, 'v2'), (4, 'v2')])
        self.assertEqual(self.find(req), ['ORDER'])

    def make_stream_of_pieces(self, *pieces, ids='events'):
        """Return a stream that was told to be whole.

        `pieces` are the id, the first and the last token of each event.
        """
        self.runs.clear()
        req = edge_callers.Request('k', TALK, PIECES)
        attempt = self.add_attempt(req, 'whole')
        self.runs['k.0'][0].ids = ids
        for piece in pieces:
            raw = edge_bodies.make_event('k', 'v1', *piece)
            attempt.events.append(edge_events.Event(raw.rstrip(b'\n')))
        return req

    def test_events_of_several_tokens(self):
        """Whole streams have each token once, however they are divided."""
        for pieces in (
            [(1, 1, 4)],
            [(1, 1, 1), (2, 2, 4)],
            [(1, 1, 3), (2, 4, 4)],
        ):
            req = self.make_stream_of_pieces(*pieces)
            self.assertEqual(self.find(req), [])

    def test_tokens_that_are_missing_or_come_twice(self):
        """ORDER: whatever the ids are, also at the end."""
        for pieces in (
            [(1, 1, 2), (2, 4, 4)],
            [(1, 1, 2), (2, 2, 4)],
            [(1, 1, 3)],
            [(1, 2, 4)],
            [(1, 1, 4), (2, 5, 5)],
        ):
            req = self.make_stream_of_pieces(*pieces)
            self.assertEqual(self.find(req), ['ORDER'], pieces)

    def test_ids(self):
        """ORDER: ids don't count the events, or the tokens so far."""
        cases = (
            ('events', [(1, 1, 2), (2, 3, 4)], []),
            ('events', [(2, 1, 2), (3, 3, 4)], ['ORDER']),
            ('events', [(2, 1, 2), (4, 3, 4)], ['ORDER']),
            ('tokens', [(2, 1, 2), (4, 3, 4)], []),
            ('tokens', [(1, 1, 2), (2, 3, 4)], ['ORDER']),
        )
        for ids, pieces, rules in cases:
            req = self.make_stream_of_pieces(*pieces, ids=ids)
            self.assertEqual(self.find(req), rules, (ids, pieces))

    def test_counts_of_gaps_and_repetitions(self):
        """They are counted by the framings of the runs that brought them."""
        req = self.make_stream_of_pieces((1, 1, 2), (2, 2, 2), (3, 4, 4))
        self.add_run('k.0')
        self.runs['k.0'][1].framing = 'chunked'
        findings = edge_checks.check([req], self.runs)
        self.assertEqual({'none+chunked': 1}, findings.gaps)
        self.assertEqual({'none+chunked': 1}, findings.repetitions)

    def test_incomplete_event_at_the_end(self):
        """ORDER: what is told to be whole ends within an event."""
        whole = [(number, 'v1') for number in range(1, PIECES + 1)]
        req = self.make_stream(whole)
        req.attempts[-1].body = b'id: 5'
        self.assertEqual(self.find(req), ['ORDER'])

    def test_body(self):
        """MIXED: a body that is told to be whole isn't; a whole one is."""
        body = edge_bodies.make_body('k', 'v1', PIECES)
        for taken, rules in ((body, []), (body[:-4], ['MIXED'])):
            self.runs.clear()
            req = edge_callers.Request('k', ASK, PIECES)
            self.add_attempt(req, 'whole', body=taken)
            self.assertEqual(self.find(req), rules)

    def test_body_that_a_living_engine_closed(self):
        """Only without a length is it whole, as the platform's rules say."""
        body = edge_bodies.make_body('k', 'v1', PIECES)[:-4]
        cases = (
            ('none', 'closed', []),
            ('none', 'reset', ['MIXED']),
            ('none', 'killed', ['MIXED']),
            ('none', 'leaving', []),
            ('none', 'spot', ['MIXED']),
            ('chunked', 'closed', ['MIXED']),
            ('chunked', 'leaving', ['MIXED']),
        )
        for framing, how, rules in cases:
            self.runs.clear()
            req = edge_callers.Request('k', ASK, PIECES)
            self.add_attempt(req, 'whole', body=body)
            self.runs['k.0'][0].framing = framing
            self.runs['k.0'][0].how = how
            self.assertEqual(self.find(req), rules)

    def test_stream_that_a_living_engine_closed(self):
        """ORDER: it must not look whole, whatever its framing."""
        for how in ('closed', 'leaving'):
            self.runs.clear()
            req = self.make_stream([(1, 'v1'), (2, 'v1')])
            self.runs['k.0'][0].how = how
            self.assertEqual(self.find(req), ['ORDER'])

    def test_response_of_another_request(self):
        """MIXED: a response has the id or the stamp of another request."""
        body = edge_bodies.make_body('k', 'v1', PIECES)
        for header in ('x-request-id', 'x-response-stamp'):
            self.runs.clear()
            req = edge_callers.Request('k', ASK, PIECES)
            attempt = self.add_attempt(req, 'whole', body=body)
            attempt.headers[header] = 'other'
            self.assertEqual(self.find(req), ['MIXED'])

    def test_run_twice(self):
        """TWICE: only what may not be repeated must not run twice."""
        for prefix, rules in ((TALK, []), (TELL, ['TWICE'])):
            self.runs.clear()
            req = edge_callers.Request('k', prefix, PIECES)
            self.add_attempt(req, 'cut')
            self.add_run('k.0')
            self.assertEqual(self.find(req), rules)

    def test_run_and_refused(self):
        """REFUSED: a promise was broken, unless the request may run again."""
        for prefix, rules in ((ASK, []), (BOOK, ['REFUSED'])):
            self.runs.clear()
            req = edge_callers.Request('k', prefix, PIECES)
            self.add_attempt(req, 'refused', status=503)
            self.assertEqual(self.find(req), rules)

    def test_run_at_another_service(self):
        """ROUTE: an engine that has the address of another one ran it."""
        req = edge_callers.Request('k', TALK, PIECES)
        self.add_attempt(req, 'cut')
        self.assertEqual(self.find(req), [])
        self.runs['k.0'][0].service = platform_documents.APPLICATION_SERVICE
        self.assertEqual(self.find(req), ['ROUTE'])

    def test_counts_of_ends(self):
        """It is counted how the last run ended and what the caller heard."""
        req = edge_callers.Request('k', TELL, PIECES)
        self.add_attempt(req, 'cut')
        self.runs['k.0'][0].how = 'killed'
        findings = edge_checks.check([req], self.runs)
        self.assertEqual(findings.count_ends('none', 'killed'), 1)
        self.assertEqual(findings.count_ends('none', 'killed', 'whole'), 0)
        self.assertEqual({(TELL, 'killed', 'cut'): 1}, findings.unframed)


class MemoryTest(unittest.TestCase):
    """What processes may take."""

    def test_peaks(self):
        """MEMORY: each process that took more than the limit counts."""
        findings = edge_checks.Findings()
        peaks_mb = {('r-0', 7): 160.0, ('r-0', 8): 161.0, ('r-1', 9): 400.0}
        edge_checks.check_memory(findings, peaks_mb, 160)
        self.assertEqual(len(findings.violations['MEMORY']), 2)
        self.assertEqual({'r-0': 161.0, 'r-1': 400.0}, findings.peaks_mb)
        self.assertFalse(findings.is_clean())


class FloodTest(unittest.TestCase):
    """What callers of a service that is well get beside a flood."""

    def find(self, quiet, flooded):
        """Return whether these answers break the rule."""
        result = flood_windows.FloodResult('body', 'r-0')
        result.quiet = quiet
        result.flooded = flooded
        findings = edge_checks.Findings()
        edge_checks.check_floods(findings, [result])
        self.assertEqual(findings.floods, [result])
        return bool(findings.violations['STARVED'])

    def test_less_than_half(self):
        """STARVED: less than half of what they get before and after."""
        self.assertFalse(self.find([60, 40], [20]))
        self.assertTrue(self.find([60, 40], [19]))

    def test_flood_that_is_played_again(self):
        """Both floods have to starve the callers."""
        self.assertFalse(self.find([60, 40, 50], [0, 30]))
        self.assertTrue(self.find([60, 40, 50], [0, 10]))

    # Guards against floods that slow a router for long and so aren't judged.
    def test_router_that_does_not_get_over_a_flood(self):
        """Few answers after a flood don't excuse few answers beside it."""
        self.assertTrue(self.find([60, 3, 4, 2], [2]))
        self.assertFalse(self.find([60, 3, 4, 2], [20]))

    def test_busy_machine(self):
        """Where callers get little before a flood nothing is judged."""
        least = flood_windows.MIN_QUIET_ANSWERS
        self.assertFalse(self.find([least - 1, 60], [0]))
        self.assertTrue(self.find([least, 60], [0]))


class LogTest(unittest.TestCase):
    """Runs as they are read from engines' logs."""

    RUN = {
        'what': 'run',
        'at': 5,
        'id': 'k.0',
        'number': 1,
        'framing': 'none',
        'instance': 'i-1',
        'born': 7,
        'version': 'v1',
        'service': 'desk',
    }
    END = {'what': 'end', 'id': 'k.1', 'number': 2, 'how': 'reset', 'at': 6}

    def read(self, *entries):
        """Return the runs in a log."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'model-0.runs'
            path.write_text('\n'.join(map(json.dumps, entries)))
            return edge_checks.read_runs([path])

    def test_run_without_end_was_killed(self):
        """A run whose end isn't in the log was killed with its process."""
        other = {**self.RUN, 'id': 'k.1', 'number': 2}
        runs = self.read(self.RUN, other, self.END)
        self.assertEqual(runs['k.0'][0].how, 'killed')
        self.assertEqual(runs['k.0'][0].tokens, -1)
        self.assertEqual(runs['k.1'][0].how, 'reset')

    def test_run_that_goes_on(self):
        """It is known where a run went on, and what it sent."""
        other = {**self.RUN, 'id': 'k.1', 'number': 2}
        other.update(ids='tokens', after=7, first=8)
        runs = self.read(other, {**self.END, 'events': 2, 'tokens': 5})
        run = runs['k.1'][0]
        self.assertEqual((run.ids, run.after, run.first), LATER_RUN)
        self.assertEqual((run.events, run.tokens), (2, 5))

    def test_bytes_beside_a_response(self):
        """A run is garbled by what follows it, or came before it."""
        for begin, ending, is_garbled in (
            ({}, {}, False),
            ({'follows_garbage': False}, {'extra': None}, False),
            ({'follows_garbage': True}, {'extra': None}, True),
            ({}, {'extra': 'within'}, True),
            ({}, {'extra': 'again'}, True),
            ({}, {'extra': 'late'}, False),
        ):
            run = {**self.RUN, 'id': 'k.1', 'number': 2, **begin}
            runs = self.read(run, {**self.END, 'how': 'whole', **ending})
            self.assertEqual(runs['k.1'][0].is_garbled, is_garbled)
            self.assertEqual(runs['k.1'][0].ended_ms, 6)

    def test_two_runs_of_one_attempt(self):
        """One that ends once the other has begun ends by itself."""
        first = {**self.RUN, 'id': 'k.1', 'number': 2}
        second = {**first, 'number': 3, 'at': 6}
        runs = self.read(first, second, self.END)
        self.assertEqual([run.how for run in runs['k.1']], ['reset', 'killed'])
