"""The platform's wire names may occur only in galenaspoke/platform.

`names.txt` lists them.
"""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADAPTER = ROOT / 'galenaspoke' / 'platform'
NAMES = (pathlib.Path(__file__).parent / 'names.txt').read_text().split()


class WireNamesTest(unittest.TestCase):
    """Compares the list of names with the source code."""

    def test_not_used_outside_the_adapter(self):
        # Header names are case-insensitive.
        any_case_pattern = re.compile(
            r'\b(' + '|'.join(map(re.escape, NAMES)) + r')\b', re.IGNORECASE
        )
        pattern = re.compile(r'\b(' + '|'.join(NAMES) + r')\b')
        violations = []
        for path in sorted((ROOT / 'galenaspoke').rglob('*.py')):
            if ADAPTER in path.parents:
                continue
            text = path.read_text()
            violations += [(path.name, name) for name in pattern.findall(text)]
            violations += [
                (path.name, name)
                for name in any_case_pattern.findall(text)
                if name.lower().startswith('x-')
            ]
        self.assertEqual([], violations)

    def test_every_listed_name_is_used(self):
        text = ''.join(path.read_text() for path in ADAPTER.glob('*.py'))
        missing = [name for name in NAMES if name.lower() not in text.lower()]
        self.assertEqual([], missing)
