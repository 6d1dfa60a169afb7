"""Log lines as JSON."""

import json
import logging
import sys
import unittest

from galenaspoke.utils import daemon


class JsonFormatterTest(unittest.TestCase):
    """One object a line, exceptions included."""

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
        found = json.loads(line)
        self.assertEqual('two\n2', found['message'])
        self.assertIn('ValueError: no', found['exception'])
