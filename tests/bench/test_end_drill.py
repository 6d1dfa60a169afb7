"""The drill of the ends of responses, short, with real processes and a seed.

Framings and events are those of `bench.end_rows`.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
SEED = 61
SCALE = 0.12
TIMEOUT_S = 150
STREAMS = ('talk', 'once')
# Of each route in a row.
ANSWERS = 24
WORK = ('calm', 'sighup', 'configuration', 'sigterm')


class DrillTestCase(unittest.TestCase):
    """Plays rows once and keeps their counts, by row and route."""

    ROWS = ()

    @classmethod
    def setUpClass(cls):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'report.json'
            command = [sys.executable, '-m', 'bench.end_drill', *cls.ROWS]
            command += ['--seed', str(SEED), '--scale', str(SCALE)]
            done = subprocess.run(
                [*command, '--report', str(path)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
            if done.returncode:
                raise RuntimeError(done.stdout + done.stderr)
            cls.counts = json.loads(path.read_text())

    def check_all_told_whole(self, row, routes):
        """Check that all answers of a row are complete and told so."""
        found = {route: self.counts[row][route] for route in routes}
        whole = [counts['whole_told_whole'] for counts in found.values()]
        self.assertEqual([ANSWERS] * len(routes), whole, found)

    def check_no_short_told_whole(self, row, routes):
        """Check that answers were cut, and that none of them looks whole."""
        found = {route: self.counts[row][route] for route in routes}
        cut = sum(counts['short_told_broken'] for counts in found.values())
        self.assertGreater(cut, 0, found)
        told = sum(counts['short_told_whole'] for counts in found.values())
        self.assertEqual(0, told, found)


class PlannedWork:
    """Planned work at a router that serves whole responses of a framing."""

    FRAMING = ''

    @classmethod
    def setUpClass(cls):
        cls.ROWS = [f'{cls.FRAMING}/{event}' for event in WORK]
        super().setUpClass()

    def check_streams(self, event):
        """Check the streams of a row."""
        self.check_all_told_whole(f'{self.FRAMING}/{event}', STREAMS)

    # Guards against whole streams told broken though nothing happened.
    def test_streams_calm(self):
        self.check_streams('calm')

    # Guards against whole streams told broken around a reload.
    def test_streams_sighup(self):
        self.check_streams('sighup')

    # Guards against whole streams told broken around a new configuration.
    def test_streams_configuration(self):
        self.check_streams('configuration')

    # Guards against whole streams told broken by a router that stops.
    def test_streams_sigterm(self):
        self.check_streams('sigterm')

    # Guards against whole bodies told broken around planned work.
    def test_bodies(self):
        for event in WORK:
            self.check_all_told_whole(f'{self.FRAMING}/{event}', ['body'])


class ChunksTest(PlannedWork, DrillTestCase):
    """Chunks on connections that are kept."""

    FRAMING = 'chunks'


class ChunksClosedTest(PlannedWork, DrillTestCase):
    """Chunks on connections that are closed after the response."""

    FRAMING = 'chunks-closed'


class NoLengthTest(PlannedWork, DrillTestCase):
    """Responses that end with their connection."""

    FRAMING = 'no-length'


class NoReportTest(PlannedWork, DrillTestCase):
    """The same of engines without reports."""

    FRAMING = 'no-length-no-report'


class AcceptTest(PlannedWork, DrillTestCase):
    """Responses that end with their connection, with the operator's word."""

    FRAMING = 'no-length+accept'


class AcceptNoReportTest(PlannedWork, DrillTestCase):
    """The same of engines without reports."""

    FRAMING = 'no-length-no-report+accept'


class EndTest(DrillTestCase):
    """Engines that cut responses without a length."""

    ROWS = (
        'no-length/killed',
        'no-length/reset',
        'no-length/mid-event',
        'no-length/listed',
        'no-length+accept/killed',
        'no-length+accept/mid-event',
    )

    # Guards against cut responses that look whole after a kill of an engine.
    def test_killed_engine(self):
        for row in ('no-length/killed', 'no-length+accept/killed'):
            self.check_no_short_told_whole(row, (*STREAMS, 'body'))

    # Guards against cut responses that look whole after a reset.
    def test_reset_connections(self):
        self.check_no_short_told_whole('no-length/reset', (*STREAMS, 'body'))

    # Guards against streams that look whole though their last event is cut.
    def test_close_within_an_event(self):
        for row in ('no-length/mid-event', 'no-length+accept/mid-event'):
            self.check_no_short_told_whole(row, STREAMS)

    # Guards against streams that look whole though their run is reported.
    def test_run_that_is_still_listed(self):
        self.check_no_short_told_whole('no-length/listed', STREAMS)


class DoubtTest(DrillTestCase):
    """Engines that cut streams, and operators who doubt closed ones."""

    ROWS = ('no-length+doubt/closed', 'no-length+doubt/killed')

    # Guards against streams that a living engine closes early and that look
    # whole, though the operator doubts what nothing proves.
    def test_doubted_streams(self):
        for row in self.ROWS:
            self.check_no_short_told_whole(row, STREAMS)
