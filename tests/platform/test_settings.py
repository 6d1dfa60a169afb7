"""Loading the platform's settings file, and the errors it reports."""

import os
import tempfile
import unittest

from galenaspoke.edge import startup
from galenaspoke.platform import settings
from tests.edge import base

VALID = """
Node: "front-a-1"
Zone: "a"
BindIp: "10.1.0.4"
Listen: {Front: "10.1.0.4:80", Ready: "10.1.0.4:81"}
PortRange: [7340, 7355]
Platform: {Addr: "10.2.0.1:82"}
Bounds: {GraceS: 8, RetryRatio: 0.2}
NewField: 7
"""


def load(text, **options):
    """Load the settings from a file that contains `text`."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, 'local.yaml')
        with open(path, 'w', encoding='utf-8') as settings_file:
            settings_file.write(text)
        return settings.load(path, **options)


class ReloadTest(unittest.TestCase):
    """The settings file that a program was started with is checked again."""

    def check(self, text):
        """Return the log line about a file that contains `text`."""
        journal = base.Recorder()
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'other.yaml')
            with open(path, 'w', encoding='utf-8') as settings_file:
                settings_file.write(text)
            startup.check_settings(path, load(VALID), journal)
        return journal.lines

    def test_unchanged(self):
        self.assertEqual([('reload', {'changed': False})], self.check(VALID))

    def test_changed(self):
        text = VALID.replace('GraceS: 8', 'GraceS: 9')
        self.assertEqual([('reload', {'changed': True})], self.check(text))

    def test_invalid(self):
        ((event, fields),) = self.check('Node: 7')
        self.assertEqual('reload.refused', event)
        self.assertIn('other.yaml', fields['why'])


class MemoryTest(unittest.TestCase):
    """How much memory the process may use."""

    def test_stated(self):
        cfg = load(VALID + 'Limits: {MemoryMb: 160}\n')
        self.assertEqual(160, cfg.memory_mb)

    def test_not_stated(self):
        self.assertEqual(0, load(VALID).memory_mb)


class SettingsTest(unittest.TestCase):
    """Settings are accepted completely or refused with all problems."""

    def assert_refused(self, text, *parts):
        """Check that the error names the file and contains `parts`.

        They name the setting and what is expected.
        """
        with self.assertRaises(settings.SettingsInvalid) as caught:
            load(text)
        for part in ('local.yaml', *parts):
            self.assertIn(part, str(caught.exception))

    def test_valid_file(self):
        cfg = load(VALID)
        self.assertEqual('10.1.0.4:80', cfg.listen)
        self.assertEqual('10.1.0.4:7340', cfg.peer_listen)
        self.assertEqual(8000, cfg.grace_ms)

    def test_process_that_serves_no_callers(self):
        text = VALID.replace('Front: "10.1.0.4:80", Ready: "10.1.0.4:81"', '')
        self.assertEqual('', load(text, serves_callers=False).listen)
        self.assert_refused(text, 'Listen.Front', 'IP:PORT')

    def test_wrong_values(self):
        self.assert_refused(
            VALID.replace('"10.2.0.1:82"', '7'), 'Platform.Addr'
        )
        self.assert_refused(
            VALID.replace('GraceS: 8', 'GraceS: soon'), 'GraceS'
        )
        self.assert_refused(VALID.replace('Node:', 'Knot:'), 'Node', 'None')

    def test_not_a_mapping(self):
        self.assert_refused('- 1', 'mapping')
        self.assert_refused('a: [', 'YAML')

    def test_missing_file(self):
        with self.assertRaises(settings.SettingsInvalid):
            settings.load('/nowhere/local.yaml')
