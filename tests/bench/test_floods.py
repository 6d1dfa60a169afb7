"""A real router under floods of one engine, with callers of another one."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from standins import platform_documents

ROOT = pathlib.Path(__file__).parents[2]
SECONDS = 2
MEMORY_MB = platform_documents.MEMORY_MB
TIMEOUT_S = 120
# One that takes memory and one that takes processor time.
CASES = ('body', 'comments')


class FloodTest(unittest.TestCase):
    """Floods of a faulty engine with 100 callers."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def start(self, case):
        """Start to play one case."""
        path = self.directory / case
        command = [sys.executable, '-m', 'bench.floods', '--case', case]
        command += ['--seconds', str(SECONDS), '--report', str(path)]
        played = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(played.kill)
        return path, played

    def read(self, path, played):
        """Return the report of a play once it has ended."""
        output, _ = played.communicate(timeout=TIMEOUT_S)
        self.assertEqual(played.returncode, 0, output)
        (report,) = json.loads(path.read_text())
        return report

    # Guards against one engine that takes a router's memory or its time.
    def test_router_serves_others_within_its_memory(self):
        """Others get half of the answers of a router without a flood.

        Both are played at the same time, so that the machine's load is the
        same.
        """
        for case in CASES:
            with self.subTest(case):
                plays = [self.start('none'), self.start(case)]
                calm, flooded = (self.read(*play) for play in plays)
                self.assertFalse(flooded['died'])
                self.assertLess(flooded['peak_mb'], MEMORY_MB, flooded)
                self.assertGreater(calm['answers'], 0)
                self.assertGreaterEqual(
                    flooded['answers'], calm['answers'] / 2, flooded
                )
