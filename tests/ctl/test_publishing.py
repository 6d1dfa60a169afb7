"""Publishing: one wins, the other is told; lost answers are looked into."""

import json
import unittest

from galenaspoke.conf import definitions
from galenaspoke.core import ledger
from galenaspoke.core import schema
from galenaspoke.ctl import money
from galenaspoke.ctl import publishing
from galenaspoke.store import client as store_client
from tests import fakes


def document(*names):
    """Return a document with these policies."""
    doc = {'policies': [{'name': name} for name in names]}
    return json.dumps(doc).encode()


class PublishTest(unittest.TestCase):
    """Operators before one store."""

    def setUp(self):
        self.store = fakes.FakeStore()

    def names(self):
        """Return the names of the policies in force."""
        _, head = publishing.current(self.store)
        return sorted(schema.Config(1, bytes(head.document)).policies)

    def test_generations_count_up(self):
        for number in (1, 2, 3):
            head = publishing.publish(self.store, document('a'), 'op')
            self.assertEqual(number, head.generation)

    def test_racing_operator_is_told_who_won_and_what_changed(self):
        publishing.publish(self.store, document('a'), 'ana')
        store = self.store
        original = store.put

        def put(key, version, value):
            store.put = original
            publishing.publish(store, document('a', 'b'), 'bruno')
            return original(key, version, value)

        store.put = put
        with self.assertRaises(publishing.Lost) as caught:
            publishing.publish(store, document('c'), 'ana')
        self.assertIn('bruno', str(caught.exception))
        self.assertIn('policy b', str(caught.exception))
        self.assertEqual(['a', 'b'], self.names())

    def test_expected_generation(self):
        publishing.publish(self.store, document('a'), 'ana')
        with self.assertRaises(publishing.Lost):
            publishing.publish(self.store, document('b'), 'ana', expected=0)

    def test_lost_answer_is_recognised_as_published(self):
        self.store.faults = ['lost']
        head = publishing.publish(self.store, document('a'), 'ana')
        self.assertEqual(1, head.generation)
        self.assertEqual(['a'], self.names())

    def test_dropped_write_is_not_taken_as_published(self):
        self.store.faults = ['dropped']
        with self.assertRaises(store_client.StoreUnavailable):
            publishing.publish(self.store, document('a'), 'ana')

    def test_invalid_document_writes_nothing(self):
        with self.assertRaises(schema.DocumentInvalid):
            publishing.publish(self.store, document('A!'), 'ana')
        self.assertEqual(0, self.store.writes)


class MoneyTest(unittest.TestCase):
    """Top-ups and their repetitions."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.cfg = definitions.StoreSettings(url='http://127.0.0.1:1')

    def top_up(self, payment_id, amount=100):
        """Pay."""
        payment = ledger.TopUp(payment_id, amount)
        return money.top_up(self.store, self.cfg, 'b', payment)

    def test_repeated_payment_counts_once(self):
        self.assertEqual((True, 100), self.limit_after('1'))
        self.assertEqual((False, 100), self.limit_after('1'))
        self.assertEqual((True, 200), self.limit_after('2'))

    def limit_after(self, payment_id):
        """Pay; return if it was applied now, and the limit then."""
        applied, entry = self.top_up(payment_id)
        return applied, entry.limit

    def test_lost_answers(self):
        self.store.faults = ['lost', 'dropped', 'lost']
        self.top_up('1')
        self.top_up('2')
        self.assertEqual(200, money.entries(self.store)['b'].limit)

    def test_settling_a_doubt_twice(self):
        self.top_up('1')

        def doubt(page):
            ledger.draw(page, 'b', 'r1', 50, 50)
            ledger.close_grant(page, 'b', 'r1', 10, 30, 'lost')

        key = ledger.page_key('b', self.cfg.ledger_pages)
        store_client.update(self.store, key, ledger.Page, doubt)
        first, _ = money.settle(self.store, self.cfg, 'b', 'r1', 20)
        second, entry = money.settle(self.store, self.cfg, 'b', 'r1', 20)
        self.assertEqual((True, False), (first, second))
        self.assertEqual((30, 0), (entry.settled, entry.in_doubt_tokens()))
