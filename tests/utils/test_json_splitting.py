"""JSON documents that are split into parts without decoding these."""

import json
import random
import unittest

from galenaspoke.utils import json_splitting

SEED = 7
DOCUMENT_COUNT = 300
DEEP = b'[' * 5_000 + b']' * 5_000


def make_value(rng, depth=0):
    """Return a random value, with strings that look like structure."""
    kind = rng.choice('snlo' if depth < 4 else 'sn')
    if kind == 's':
        return ''.join(rng.choices('a"\\[]{},: \udc80é', k=rng.randrange(6)))
    if kind == 'n':
        return rng.choice([0, -1, 2.5, None, True, 2**70])
    count = rng.randrange(4)
    if kind == 'l':
        return [make_value(rng, depth + 1) for _ in range(count)]
    return {
        f'"{number}]': make_value(rng, depth + 1) for number in range(count)
    }


class SplittingTest(unittest.TestCase):
    """The parts of a document are those that a decoder finds."""

    def test_random_documents(self):
        rng = random.Random(SEED)
        for _ in range(DOCUMENT_COUNT):
            values = [make_value(rng) for _ in range(rng.randrange(4))]
            raw = json.dumps(values, indent=rng.choice([None, 2])).encode()
            parts = json_splitting.split_array(raw)
            self.assertEqual(values, [json.loads(part) for part in parts])
            obj = {str(number): value for number, value in enumerate(values)}
            members = json_splitting.split_object(json.dumps(obj).encode())
            found = {key: json.loads(raw) for key, raw in members.items()}
            self.assertEqual(obj, found)

    def test_deeply_nested_part(self):
        for deep in (DEEP, b'{"a":[' * 5_000 + b']}' * 5_000):
            raw = b'[1, %s ,"x"]' % deep
            parts = json_splitting.split_array(raw)
            self.assertEqual([b'1', deep, b'"x"'], parts)
            members = json_splitting.split_object(b'{"k":%s,"l":2}' % raw)
            self.assertEqual({'k': raw, 'l': b'2'}, members)

    def test_key_that_cannot_be_decoded(self):
        members = json_splitting.split_object(b'{"\\udcff":1,"b":2}')
        self.assertEqual({'b': b'2'}, members)

    def test_data_that_is_no_array(self):
        for raw in (
            b'',
            b'7',
            b'{}',
            b'[',
            b']',
            b'[1]]',
            b'[[1]',
            b'[1}',
            b'["a]',
            b'["a\\',
            DEEP[:-1],
            DEEP[1:],
            b'[' * 5_000 + b']',
        ):
            with self.subTest(raw=raw[:20]):
                with self.assertRaises(json_splitting.NotSplittable):
                    json_splitting.split_array(raw)

    def test_nesting(self):
        for depth in (1, json_splitting.MAX_NESTING):
            raw = b'[1,' * depth + b'"]"' + b']' * depth
            self.assertTrue(json_splitting.is_shallow(raw), depth)
        depth = json_splitting.MAX_NESTING + 1
        self.assertFalse(
            json_splitting.is_shallow(b'[' * depth + b']' * depth)
        )
        self.assertFalse(
            json_splitting.is_shallow(b'{"a":' * depth + b'1' + b'}' * depth)
        )
        self.assertTrue(json_splitting.is_shallow(b'"%s"' % (b'[' * 99)))
