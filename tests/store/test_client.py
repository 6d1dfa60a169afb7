"""Changing an object of the store, whatever happens to the answers."""

import unittest

import msgspec

from galenaspoke.store import client
from tests import fakes


class Counter(msgspec.Struct):
    """An object that counts."""

    value: int = 0
    last: str = ''


class UpdateTest(unittest.TestCase):
    """`client.update` before a store with faults."""

    def setUp(self):
        self.store = fakes.FakeStore()

    def add(self, name, is_applied=None):
        """Count one, under a name."""

        def change(counter):
            counter.value += 1
            counter.last = name
            return counter.value

        return client.update(
            self.store, 'counter', Counter, change, is_applied
        )

    def value(self):
        """Return what the store counts."""
        return client.decode(self.store.get('counter'), Counter).value

    def test_creates_and_changes(self):
        self.assertEqual(1, self.add('a')[0])
        self.assertEqual(2, self.add('b')[0])
        self.assertEqual(2, self.value())

    def test_lost_answer_is_recognised(self):
        self.store.faults = ['lost']
        result, found = self.add('a', lambda known: known.last == 'a')
        self.assertEqual((1, 1, 1), (result, found.value, self.value()))

    def test_dropped_write_is_made_again(self):
        self.store.faults = ['dropped']
        self.add('a', lambda known: known.last == 'a')
        self.assertEqual(1, self.value())

    def test_conflict_is_looked_into(self):
        """Another's write came between; both count."""
        original = self.store.put

        def put(*args):
            self.store.put = original
            self.add('other')
            return original(*args)

        self.store.put = put
        self.add('a', lambda known: known.last == 'a')
        self.assertEqual(2, self.value())

    def test_refused_change_writes_nothing(self):
        def change(_):
            raise KeyError('no')

        with self.assertRaises(KeyError):
            client.update(self.store, 'counter', Counter, change)
        client.update(
            self.store, 'counter', Counter, lambda _: client.UNCHANGED
        )
        self.assertEqual(0, self.store.writes)

    def test_down(self):
        self.store.down = True
        with self.assertRaises(client.StoreUnavailable):
            self.add('a')
