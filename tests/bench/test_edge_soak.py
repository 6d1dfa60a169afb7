"""The soak of the edge fleet, short, with real processes and a fixed seed."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
SEED = 4
SECONDS = 25
TIMEOUT_S = 150
# So many responses without a length have to be cut off by kills, at least.
MIN_CUT_BY_KILLS = 3
# So many floods are played after the faults.
FLOODS = 2
# So many streams without a length have to end whole beside planned work.
MIN_CLOSED_STREAMS = 20
PLANNED_SECONDS = 12


def play(*options):
    """Run a soak; return how it exited, its output and its report."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'report.json'
        command = [sys.executable, '-m', 'bench.edge_soak']
        command += ['--seed', str(SEED), '--report', str(path)]
        done = subprocess.run(
            [*command, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        output = done.stdout + done.stderr
        report = json.loads(path.read_text()) if path.exists() else None
    return done.returncode, output, report


class EdgeSoakTest(unittest.TestCase):
    """A run under faults."""

    # Guards against responses that look whole though their engine was killed.
    def test_engines_killed_while_they_respond(self):
        """No rule is broken; kills cut off responses, floods are played."""
        code, output, report = play(
            '--seconds', str(SECONDS), '--floods', str(FLOODS)
        )
        self.assertEqual(code, 0, output)
        cut = sum(
            report['ends'].get(f'none {how} {outcome}', 0)
            for how in ('killed', 'exit')
            for outcome in ('cut', 'failed')
        )
        self.assertGreaterEqual(cut, MIN_CUT_BY_KILLS, output)
        self.assertEqual(FLOODS, len(report['floods']), output)

    # Guards against whole streams without a length that are told broken.
    def test_planned_work(self):
        """Nothing that engines end by themselves is lost, in any framing."""
        code, output, report = play(
            *('--seconds', str(PLANNED_SECONDS)),
            *('--floods', '0'),
            *('--early', '0'),
            *('--garbled', '0'),
            *('--only', 'planned'),
        )
        self.assertIsNotNone(report, output)
        closed = report['wholes_beside_work'].get('stream none', 0)
        self.assertGreaterEqual(closed, MIN_CLOSED_STREAMS, output)
        self.assertEqual(report['violations']['LOST'], [], output)
        self.assertEqual(code, 0, output)
