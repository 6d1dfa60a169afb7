"""Tests of loading settings: each mistake is reported with what is allowed."""

import pathlib
import tempfile
import unittest

from galenaspoke.conf import definitions
from galenaspoke.conf import ini

VALID_SETTINGS = """
[router]
name = r1
domain = a
listen = 127.0.0.1:8101
peer_listen = 127.0.0.1:8102

[store]
url = http://127.0.0.1:9000
"""


class LoadTest(unittest.TestCase):
    """Loading of valid and invalid settings files."""

    def load(self, text):
        """Load a settings file with the given text.

        It is written as Latin-1, so that a test can write bytes that are not
        UTF-8.
        """
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'r.ini'
            path.write_bytes(text.encode('latin-1'))
            return ini.load(str(path), definitions.RouterConfig)

    def get_load_error(self, text):
        """Return the error message for an invalid file."""
        with self.assertRaises(ini.SettingsInvalid) as caught:
            self.load(text)
        return str(caught.exception)

    def test_defaults(self):
        cfg = self.load(VALID_SETTINGS)
        self.assertEqual(500, cfg.router.heartbeat_ms)
        self.assertEqual('', cfg.metrics.statsd)

    def test_each_mistake_is_reported(self):
        for old, new, message in (
            ('name = r1\n', '', '[router] name: missing'),
            ('name = r1', 'name = R 1', "name: 'R 1' is not"),
            ('listen = 127.0.0.1:8101', 'listen = here', 'IP:PORT'),
            ('domain = a', 'domain = a\ntries = x', 'from 1 to 10'),
            ('domain = a', 'domain = a\ntries = 99', 'from 1 to 10'),
            ('domain = a', 'domain = a\nspeed = 1', 'unknown option'),
            ('domain = a', 'domain = a\nmemory_mb = -1', 'from 0 to 1000000'),
            ('[store]', '[shop]', '[shop]: unknown section'),
            ('[store]', '[router]', 'already exists'),
            ('domain = a', 'domain = \xff', 'not UTF-8'),
            ('url = http', 'url = ftp', 'http://IP:PORT'),
        ):
            self.assertIn(
                message, self.get_load_error(VALID_SETTINGS.replace(old, new))
            )

    def test_all_mistakes_are_reported_at_once(self):
        text = self.get_load_error('[router]\nname = r1\n')
        self.assertIn('domain: missing', text)
        self.assertIn('[store] url: missing', text)

    def test_missing_file(self):
        with self.assertRaises(ini.SettingsInvalid):
            ini.load('/nowhere.ini', definitions.RouterConfig)

    def test_every_setting_is_described(self):
        for config_class in definitions.CONFIG_CLASSES.values():
            for row in ini.describe(config_class):
                self.assertTrue(all(row[:2]) and row[3] and row[4], row)
