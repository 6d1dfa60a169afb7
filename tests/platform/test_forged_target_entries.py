"""Target entries that are truncated, forged or from another writer.

No target may be made of such an entry.
"""

import unittest

import msgspec

from galenaspoke.platform import target_entries

VALID = {
    'Service': 'pool',
    'Addr': '10.0.0.1:80',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 6,
    'State': 'ready',
    'ColdLeftMs': 0,
    'Seq': 1,
    'born': 5,
}


def decode(**changes):
    """Decode a valid entry with some fields changed.

    `...` as a value removes the field.
    """
    value = {**VALID, **changes}
    fields = {name: field for name, field in value.items() if field is not ...}
    return target_entries.decode('i-1', msgspec.json.encode(fields), {'pool'})


class EntryTest(unittest.TestCase):
    """Only a complete and valid entry describes a target."""

    def test_valid_entry(self):
        self.assertEqual(('i-1', 5), decode().identity())
        self.assertTrue(decode(State='draining').leaving)

    def test_version(self):
        self.assertEqual("v1", decode().version)
        self.assertEqual("", decode(Version=...).version)

    def test_missing_fields(self):
        for name in ('Service', 'Addr', 'Zone', 'Slots', 'State', 'Seq'):
            self.assertIsNone(decode(**{name: ...}), name)

    def test_wrong_types(self):
        for name in VALID:
            for wrong in ([], {}, None, True):
                self.assertIsNone(decode(**{name: wrong}), (name, wrong))

    def test_unknown_names(self):
        self.assertIsNone(decode(State='resting'))
        self.assertIsNone(decode(Service='other'))

    def test_addresses(self):
        for address in ('10.0.0.1', '10.0.0.256:1', '10.0.0.1:0', 'host:80'):
            self.assertIsNone(decode(Addr=address), address)

    def test_born_is_a_whole_number(self):
        self.assertIsNone(decode(born=5.5))
        self.assertEqual(0, decode(born=...).born)

    def test_invalid_bytes(self):
        for raw in (b'', b'{"Addr"', b'7', b'"text"', b'\xff'):
            self.assertIsNone(target_entries.decode('i-1', raw, {'pool'}), raw)
