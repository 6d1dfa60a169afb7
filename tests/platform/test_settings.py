"""The platform's settings file, and what is wrong with it."""

import os
import tempfile
import unittest

from galenaspoke.platform import settings

WHOLE = """
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
    """Return the settings that a file with some text gives."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, 'local.yaml')
        with open(path, 'w', encoding='utf-8') as settings_file:
            settings_file.write(text)
        return settings.load(path, **options)


class SettingsTest(unittest.TestCase):
    """Settings are taken whole or refused with every reason."""

    def refused(self, text, *parts):
        """Make sure that the error names file, field and what is allowed."""
        with self.assertRaises(settings.SettingsInvalid) as caught:
            load(text)
        for part in ('local.yaml', *parts):
            self.assertIn(part, str(caught.exception))

    def test_whole(self):
        cfg = load(WHOLE)
        self.assertEqual('10.1.0.4:80', cfg.listen)
        self.assertEqual('10.1.0.4:7340', cfg.peer_listen)
        self.assertEqual(8000, cfg.grace_ms)

    def test_one_that_serves_no_callers(self):
        text = WHOLE.replace('Front: "10.1.0.4:80", Ready: "10.1.0.4:81"', '')
        self.assertEqual('', load(text, serves_callers=False).listen)
        self.refused(text, 'Listen.Front', 'IP:PORT')

    def test_wrong_values(self):
        self.refused(WHOLE.replace('"10.2.0.1:82"', '7'), 'Platform.Addr')
        self.refused(WHOLE.replace('GraceS: 8', 'GraceS: soon'), 'GraceS')
        self.refused(WHOLE.replace('Node:', 'Knot:'), 'Node', 'None')

    def test_no_table(self):
        self.refused('- 1', 'table')
        self.refused('a: [', 'YAML')

    def test_no_file(self):
        with self.assertRaises(settings.SettingsInvalid):
            settings.load('/nowhere/local.yaml')
