"""The memory of processes, as read from /proc."""

import os
import subprocess
import types
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


class WatchTest(unittest.TestCase):
    """The most that processes took."""

    def test_processes(self):
        """One that lives has a peak, one that was waited for has none."""
        gone = subprocess.Popen(['true'])
        gone.wait()
        own = types.SimpleNamespace(pid=os.getpid())
        machines = [
            types.SimpleNamespace(
                name=name, process=types.SimpleNamespace(popen=popen)
            )
            for name, popen in (('own', own), ('gone', gone))
        ]
        watch = memory.MemoryWatch(machines)
        watch.read()
        self.assertEqual([('own', os.getpid())], list(watch.peaks_mb))
        self.assertGreater(watch.peaks_mb['own', os.getpid()], 1)
