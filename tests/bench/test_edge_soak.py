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


class EdgeSoakTest(unittest.TestCase):
    """A run under faults."""

    # Guards against responses that look whole though their engine was killed.
    def test_engines_killed_while_they_respond(self):
        """No rule is broken; kills cut off responses, floods are played."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'report.json'
            command = [sys.executable, '-m', 'bench.edge_soak']
            command += ['--seed', str(SEED), '--seconds', str(SECONDS)]
            command += ['--floods', str(FLOODS)]
            done = subprocess.run(
                [*command, '--report', str(path)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            report = json.loads(path.read_text())
        cut = sum(
            report['ends'].get(f'none {how} {outcome}', 0)
            for how in ('killed', 'exit')
            for outcome in ('cut', 'failed')
        )
        self.assertGreaterEqual(cut, MIN_CUT_BY_KILLS, done.stdout)
        self.assertEqual(FLOODS, len(report['floods']), done.stdout)
