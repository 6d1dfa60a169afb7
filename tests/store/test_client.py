"""Tests of read-modify-write updates when responses of the store are lost."""

import unittest

import msgspec

from galenaspoke.store import client
from tests import fakes


class Counter(msgspec.Struct):
    """A stored object with a counter and the name of its last writer."""

    value: int = 0
    last: str = ''


class UpdateTest(unittest.TestCase):
    """Tests of `client.update` against a store with injected faults."""

    def setUp(self):
        self.store = fakes.FakeStore()

    def add(self, name, is_applied=None):
        """Increment the counter in the name of a writer."""

        def change(counter):
            counter.value += 1
            counter.last = name
            return counter.value

        return client.update(
            self.store, 'counter', Counter, change, is_applied
        )

    def get_value(self):
        """Return the stored value of the counter."""
        return client.decode(self.store.get('counter'), Counter).value

    def test_creates_and_changes(self):
        self.assertEqual(1, self.add('a')[0])
        self.assertEqual(2, self.add('b')[0])
        self.assertEqual(2, self.get_value())

    def test_lost_response_is_detected_as_applied(self):
        self.store.faults = ['lost']
        result, written = self.add('a', lambda counter: counter.last == 'a')
        self.assertEqual((1, 1, 1), (result, written.value, self.get_value()))

    def test_dropped_write_is_retried(self):
        self.store.faults = ['dropped']
        self.add('a', lambda counter: counter.last == 'a')
        self.assertEqual(1, self.get_value())

    def test_conflict_is_retried(self):
        """A conflict with another writer is retried, so both writes count."""
        original = self.store.put

        def put(*args):
            self.store.put = original
            self.add('other')
            return original(*args)

        self.store.put = put
        self.add('a', lambda counter: counter.last == 'a')
        self.assertEqual(2, self.get_value())

    def test_refused_retry_after_late_write(self):
        """A write whose response is lost may take effect after a retry failed.

        The update said that nothing had changed if the store refused its
        second write.
        """
        self.store.faults = ['late', 'down']
        with self.assertRaises(client.WriteUnresolved):
            self.add('a', lambda counter: counter.last == 'a')
        self.store.put('other', 0, b'{}')
        self.assertEqual(1, self.get_value())

    def test_failed_or_unchanged_update_writes_nothing(self):
        def change(_):
            raise KeyError('no')

        with self.assertRaises(KeyError):
            client.update(self.store, 'counter', Counter, change)
        client.update(
            self.store, 'counter', Counter, lambda _: client.UNCHANGED
        )
        self.assertEqual(0, self.store.writes)

    def test_store_unavailable(self):
        self.store.down = True
        with self.assertRaises(client.StoreUnavailable):
            self.add('a')
