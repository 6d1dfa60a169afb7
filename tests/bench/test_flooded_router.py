"""A real router under floods of one engine, with callers of another one."""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parents[2]
SECONDS = 2
# The memory that the router may use.
MEMORY_MB = 160
TIMEOUT_S = 120
# Without a flood, one that takes memory and one that takes processor time.
KINDS = ('', 'body', 'comments')


class FloodedRouterTest(unittest.TestCase):
    """Floods of a faulty engine with 100 callers."""

    # Guards against one engine that takes a router's memory or its time.
    def test_router_serves_others_within_its_memory(self):
        """The router keeps to its memory, and others get their answers."""
        command = [sys.executable, '-m', 'bench.flooded_router', *KINDS]
        command += ['--seconds', str(SECONDS), '--memory-mb', str(MEMORY_MB)]
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        calm, *flooded = map(json.loads, done.stdout.splitlines())
        self.assertGreater(calm['answers'], 0)
        for report in flooded:
            with self.subTest(report['kind']):
                self.assertFalse(report['died'])
                self.assertLess(report['peak_mb'], MEMORY_MB, report)
                self.assertGreaterEqual(
                    report['answers'], calm['answers'] / 2, report
                )
