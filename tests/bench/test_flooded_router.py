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
# One that takes memory and one that takes processor time.
KINDS = ('body', 'comments')


class FloodedRouterTest(unittest.TestCase):
    """Floods of a faulty engine with 100 callers."""

    def start(self, kind):
        """Start to play one kind of flood."""
        command = [sys.executable, '-m', 'bench.flooded_router', kind]
        command += ['--seconds', str(SECONDS), '--memory-mb', str(MEMORY_MB)]
        played = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(played.kill)
        return played

    def read(self, played):
        """Return the report of a play once it has ended."""
        output, _ = played.communicate(timeout=TIMEOUT_S)
        self.assertEqual(played.returncode, 0, output)
        return json.loads(output)

    # Guards against one engine that takes a router's memory or its time.
    def test_router_serves_others_within_its_memory(self):
        """Others get half of the answers of a router without a flood.

        Both are played at the same time, so that the machine's load is the
        same.
        """
        for kind in KINDS:
            with self.subTest(kind):
                calm, flooded = map(
                    self.read, [self.start(''), self.start(kind)]
                )
                self.assertFalse(flooded['died'])
                self.assertLess(flooded['peak_mb'], MEMORY_MB, flooded)
                self.assertGreater(calm['answers'], 0)
                self.assertGreaterEqual(
                    flooded['answers'], calm['answers'] / 2, flooded
                )
