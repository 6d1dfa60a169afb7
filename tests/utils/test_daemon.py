"""Tests of logging in JSON."""

import json
import logging
import sys
import unittest

from galenaspoke.utils import daemon


class JsonFormatterTest(unittest.TestCase):
    """Each record becomes one line, including its exception."""

    def test_record(self):
        try:
            raise ValueError('no')
        except ValueError:
            record = logging.LogRecord(
                'x',
                logging.INFO,
                'a/b.py',
                1,
                '%s\n%d',
                ('two', 2),
                sys.exc_info(),
            )
        line = daemon.JsonFormatter().format(record)
        self.assertNotIn('\n', line)
        decoded = json.loads(line)
        self.assertEqual('two\n2', decoded['message'])
        self.assertIn('ValueError: no', decoded['exception'])
