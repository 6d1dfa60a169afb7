"""The memory of processes, as read from /proc."""

import os
import unittest

from bench import memory

STATUS = 'Name:\tpython\nVmHWM:\t  200000 kB\nVmRSS:\t  100000 kB\n'


class MemoryTest(unittest.TestCase):
    """What the kernel states."""

    def test_parse(self):
        """Kilobytes of 1024 bytes become megabytes of a million."""
        usage = memory.parse(STATUS)
        self.assertAlmostEqual(usage.resident_mb, 102.4)
        self.assertAlmostEqual(usage.peak_mb, 204.8)

    def test_process_that_has_exited(self):
        """A process without memory states none."""
        self.assertEqual(memory.parse('Name:\tpython\n').peak_mb, 0)

    def test_own_process(self):
        """This process has some, and its peak isn't less."""
        usage = memory.read(os.getpid())
        self.assertGreater(usage.resident_mb, 1)
        self.assertGreaterEqual(usage.peak_mb, usage.resident_mb - 1)
