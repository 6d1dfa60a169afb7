"""No name of the platform's is known outside its folder."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADAPTER = ROOT / 'galenaspoke' / 'platform'
NAMES = (pathlib.Path(__file__).parent / 'names.txt').read_text().split()


class NamesTest(unittest.TestCase):
    """The list of names against the sources."""

    def test_outside_the_adapter(self):
        # A header may be spelled in any case.
        pattern = re.compile(
            r'\b(' + '|'.join(map(re.escape, NAMES)) + r')\b', re.IGNORECASE
        )
        fields = re.compile(r'\b(' + '|'.join(NAMES) + r')\b')
        found = []
        for path in sorted((ROOT / 'galenaspoke').rglob('*.py')):
            if ADAPTER in path.parents:
                continue
            text = path.read_text()
            found += [(path.name, name) for name in fields.findall(text)]
            found += [
                (path.name, name)
                for name in pattern.findall(text)
                if name.lower().startswith('x-')
            ]
        self.assertEqual([], found)

    def test_list_is_of_use(self):
        text = ''.join(path.read_text() for path in ADAPTER.glob('*.py'))
        missing = [name for name in NAMES if name.lower() not in text.lower()]
        self.assertEqual([], missing)
