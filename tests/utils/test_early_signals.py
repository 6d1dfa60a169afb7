"""Signals that reach a program before it is ready for them."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).parents[2]
PROGRAMS = ('edge.main', 'edge.relay_main', 'router.main', 'agent.main')
# Loaded by all programs, and slowly.
LIBRARY = 'gevent'
MODULE = 'galenaspoke.utils.early_signals'
IMPORT = re.compile(r'import time:.*\| +([\w.]+)')
EXIT_INVALID_SETTINGS = 2
TIMEOUT_S = 30
SIGHUP_MASK = 1 << (signal.SIGHUP - 1)


def is_handled(pid):
    """Return whether a process has a handler for SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    fields = dict(line.split(':\t', 1) for line in status.splitlines())
    return bool(int(fields['SigCgt'], 16) & SIGHUP_MASK)


class StartTest(unittest.TestCase):
    """Programs that get SIGHUP while they load."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # A program waits for its settings until the other end is opened.
        self.settings = pathlib.Path(folder.name) / 'settings'
        os.mkfifo(self.settings)

    # Guards against a process that ends since its settings change just after
    # its start, when nothing handles SIGHUP yet.
    def test_signal_before_the_settings_are_read(self):
        for program in PROGRAMS:
            with self.subTest(program):
                self.check(program)

    def check(self, program):
        """Check that a program that got SIGHUP refuses its settings."""
        process = self.start(program)
        until = time.monotonic() + TIMEOUT_S
        while not is_handled(process.pid):
            self.assertIsNone(process.poll())
            self.assertLess(time.monotonic(), until, 'nothing handles it')
            time.sleep(0.01)
        process.send_signal(signal.SIGHUP)
        # Blocks until the program reads.
        self.settings.write_text(']')
        _, output = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(EXIT_INVALID_SETTINGS, process.returncode, output)
        imports = IMPORT.findall(output)
        self.assertLess(imports.index(MODULE), imports.index(LIBRARY))

    def start(self, program):
        """Start a program that says in which order it loads modules."""
        option = ['--settings'] if program.startswith('edge') else []
        argv = ['-X', 'importtime', '-m', f'galenaspoke.{program}', *option]
        process = subprocess.Popen(
            [sys.executable, *argv, str(self.settings)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.kill)
        return process
