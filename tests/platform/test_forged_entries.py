"""Entries of targets that are torn, forged or from another writer."""

import unittest

import msgspec

from galenaspoke.platform import target_entries

WHOLE = {
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
    """Return what an entry with some fields changed names."""
    value = {**WHOLE, **changes}
    kept = {name: found for name, found in value.items() if found is not ...}
    return target_entries.decode('i-1', msgspec.json.encode(kept), {'pool'})


class EntryTest(unittest.TestCase):
    """Only a whole entry names a target."""

    def test_whole(self):
        self.assertEqual(('i-1', 5), decode().identity())
        self.assertTrue(decode(State='draining').leaving)

    def test_missing_fields(self):
        for name in ('Service', 'Addr', 'Zone', 'Slots', 'State', 'Seq'):
            self.assertIsNone(decode(**{name: ...}), name)

    def test_wrong_types(self):
        for name in WHOLE:
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

    def test_bytes_that_can_t_be_read(self):
        for raw in (b'', b'{"Addr"', b'7', b'"text"', b'\xff'):
            self.assertIsNone(target_entries.decode('i-1', raw, {'pool'}), raw)
