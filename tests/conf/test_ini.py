"""Settings files: every mistake is named with what is allowed."""

import pathlib
import tempfile
import unittest

from galenaspoke.conf import definitions
from galenaspoke.conf import ini

GOOD = """
[router]
name = r1
domain = a
listen = 127.0.0.1:8101
peer_listen = 127.0.0.1:8102

[store]
url = http://127.0.0.1:9000
"""


class LoadTest(unittest.TestCase):
    """Files good and bad."""

    def load(self, text):
        """Load a file with this text."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'r.ini'
            path.write_bytes(text.encode('latin-1'))
            return ini.load(str(path), definitions.RouterConfig)

    def refused(self, text):
        """Return why a file is refused."""
        with self.assertRaises(ini.SettingsInvalid) as caught:
            self.load(text)
        return str(caught.exception)

    def test_defaults(self):
        cfg = self.load(GOOD)
        self.assertEqual(500, cfg.router.heartbeat_ms)
        self.assertEqual('', cfg.metrics.statsd)

    def test_each_mistake_is_named(self):
        for old, new, what in (
            ('name = r1\n', '', '[router] name: missing'),
            ('name = r1', 'name = R 1', "name: 'R 1' is not"),
            ('listen = 127.0.0.1:8101', 'listen = here', 'IP:PORT'),
            ('domain = a', 'domain = a\ntries = x', 'from 1 to 10'),
            ('domain = a', 'domain = a\ntries = 99', 'from 1 to 10'),
            ('domain = a', 'domain = a\nspeed = 1', 'unknown option'),
            ('[store]', '[shop]', '[shop]: unknown section'),
            ('[store]', '[router]', 'already exists'),
            ('domain = a', 'domain = \xff', 'not UTF-8'),
            ('url = http', 'url = ftp', 'http://IP:PORT'),
        ):
            self.assertIn(what, self.refused(GOOD.replace(old, new)))

    def test_all_mistakes_at_once(self):
        text = self.refused('[router]\nname = r1\n')
        self.assertIn('domain: missing', text)
        self.assertIn('[store] url: missing', text)

    def test_missing_file(self):
        with self.assertRaises(ini.SettingsInvalid):
            ini.load('/nowhere.ini', definitions.RouterConfig)

    def test_every_setting_is_described(self):
        for program in definitions.PROGRAMS.values():
            for row in ini.describe(program):
                self.assertTrue(all(row[:2]) and row[3] and row[4], row)
