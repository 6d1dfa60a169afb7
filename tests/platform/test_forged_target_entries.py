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

    def test_numbers_out_of_range(self):
        for name in ('Slots', 'Seq', 'born', 'ColdLeftMs'):
            for wrong in (-1, 2**63, 2**70, 10**400, 1e300, -0.5):
                entry = decode(**{name: wrong})
                self.assertIsNone(entry, (name, wrong))
        self.assertIsNone(decode(Slots=2**31))
        self.assertEqual(2**63 - 1, decode(born=2**63 - 1).born)
        self.assertEqual(800.5, decode(ColdLeftMs=800.5).cold_left_ms)

    def test_numbers_that_json_has_not(self):
        for wrong in (b'1e999', b'-1e999', b'NaN', b'Infinity', b'9' * 5_000):
            raw = msgspec.json.encode(VALID).replace(b'"Slots":6', b'"Slots":')
            raw = raw.replace(b'"Slots":', b'"Slots":' + wrong)
            entry = target_entries.decode('i-1', raw, {'pool'})
            self.assertIsNone(entry, wrong)

    def test_addresses_that_are_read_in_several_ways(self):
        for address in (
            '10.0.0.1:65536',
            '10.0.0.1:99999',
            '10.0.0.1:080',
            '10.0.0.1:-1',
            '10.0.0.1:٨٠',
            '١٠.0.0.1:80',
            '010.0.0.1:80',
            '10.0.0.1:80\n',
            ' 10.0.0.1:80',
        ):
            self.assertIsNone(decode(Addr=address), address)

    def test_ids_that_no_header_may_hold(self):
        raw = msgspec.json.encode(VALID)
        for name in ('', 'a b', 'i-1\r\nX-Tenant: a', 'i-é', 'i-\0', 'i-1\n'):
            entry = target_entries.decode(name, raw, {'pool'})
            self.assertIsNone(entry, name)

    def test_nesting(self):
        # How deep msgspec can go depends on the caller's stack.
        for depth in (50, 200, 900, 1_500, 100_000):
            raw = msgspec.json.encode(VALID)[:-1] + b',"more":%s}' % (
                b'[' * depth + b']' * depth
            )
            entry = target_entries.decode('i-1', raw, {'pool'})
            self.assertIsNone(entry, depth)
        self.assertIsNotNone(decode(more=[[[{}]]]))

    def test_invalid_bytes(self):
        for raw in (b'', b'{"Addr"', b'7', b'"text"', b'\xff', b'"\\udcff"'):
            self.assertIsNone(target_entries.decode('i-1', raw, {'pool'}), raw)
