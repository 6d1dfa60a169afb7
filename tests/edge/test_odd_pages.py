"""The system's own objects in the store, when these can't be read.

A page of the ledger that can't be read isn't an empty one: nothing is drawn
from it.  Guards against greenlets that end by it, after which requests wait in
vain, and against tokens that are spent twice.
"""

import io
import unittest

import gevent
import msgspec

from galenaspoke.core import ledger
from galenaspoke.edge.membership import eras
from galenaspoke.edge.membership import members
from galenaspoke.edge.money import ledger_pages
from galenaspoke.edge.money import loan_protocol
from galenaspoke.edge.money import reservations
from galenaspoke.edge.money import statements
from galenaspoke.router import page_writer
from galenaspoke.store import base as store_base
from tests.edge import base
from tests.edge import fleets
from tests import fakes
from tests.platform import odd_objects

WAIT_S = 2
ODD_PAGES = [
    odd_objects.DEEP,
    odd_objects.ODD_SPECS['nested'],
    odd_objects.ODD_SPECS['half a surrogate pair'],
    odd_objects.ODD_SPECS['half a pair in a key'],
    b'{"entries":{"voucher-desk":{"limit":"10000"}}}',
    b'{"entries":{"voucher-desk":{"limit":1e999}}}',
    b'{"entries":{"voucher-desk":{"limit":%s}}}' % (b'9' * 5_000),
    b'{"entries":{"\xff":{}}}',
    b'{"entries":[]}',
    b'null',
    b'7',
    b'{',
]
# More than the limit of a budget is spent.
EXCEEDED_PAGE = b'{"entries":{"other":{"limit":100,"settled":200}}}'


class OddPageTest(unittest.TestCase):
    """Routers before a page that can't be read."""

    def setUp(self):
        self.fleet = fleets.Fleet()
        self.manager = self.fleet.start('a')

    def write_page(self, value):
        """Write the page as another writer."""
        version, _ = self.fleet.store.objects.get(fleets.PAGE_KEY, (0, b''))
        self.fleet.store.put(fleets.PAGE_KEY, version, value)

    def reserve(self, amount):
        """Return the shortage of a reservation, None if it succeeded."""
        with gevent.Timeout(WAIT_S):
            found = self.manager.reserve(fleets.BUDGET, amount, fleets.WAIT_MS)
        if isinstance(found, reservations.ReservationFailure):
            return found.shortage
        return None

    def test_nothing_is_drawn(self):
        for value in (*ODD_PAGES, EXCEEDED_PAGE):
            self.setUp()
            self.write_page(value)
            with self.subTest(value=value[:60]):
                self.assertIs(
                    reservations.Shortage.UNREACHABLE, self.reserve(100)
                )
                stored = self.fleet.store.objects[fleets.PAGE_KEY][1]
                self.assertEqual(value, stored)

    def test_drawn_again_once_it_is_readable(self):
        for value in (odd_objects.DEEP, EXCEEDED_PAGE):
            self.setUp()
            self.write_page(value)
            self.reserve(100)
            self.write_page(b'{}')
            with self.subTest(value=value[:60]):
                base.wait_until(lambda: self.reserve(100) is None, WAIT_S)

    def test_outcome_of_a_write_stays_open(self):
        # The page becomes unreadable before the router can find out whether
        # its write was carried out; it was.
        for value in (odd_objects.DEEP, EXCEEDED_PAGE):
            store = fakes.FakeStore()
            writer = page_writer.PageWriter(store, 'k', 'a#1', lambda: None)
            store.faults = ['lost']
            gets = [None, value]
            real_get = store.get

            def get(key, gets=gets, real_get=real_get):
                odd = gets.pop(0) if gets else None
                found = real_get(key)
                if odd is None:
                    return found
                return store_base.Item(key, found.version, msgspec.Raw(odd))

            store.get = get
            drawn = []
            failed = []
            writer.submit(grant_some, drawn.append, failed.append)
            with self.subTest(value=value[:60]):
                base.wait_until(lambda: drawn or failed, WAIT_S)
                self.assertEqual(([100], []), (drawn, failed))
                self.assertEqual(1, store.writes)

    def test_page_of_an_earlier_era(self):
        for value in ODD_PAGES:
            store = EraStore()
            store.objects['ledger1/0000'] = (7, value)
            pages = ledger_pages.LedgerPages(store, eras.Eras(store))
            with self.subTest(value=value[:60]):
                with self.assertRaises(store_base.StoreError):
                    pages.get('ledger2/0000')


def grant_some(page):
    """Draw tokens of a new budget."""
    ledger.set_limit(page, 'b', 1_000, 1)
    return ledger.draw(page, 'b', 'a#1', 1, 100)


class EraStore(fakes.FakeStore):
    """A store in its second era."""

    era = 2
    has_eras = True

    def __init__(self):
        super().__init__()
        self.put('eras/1', 0, b'{}')

    def scope(self, kind, era=None):
        """Return a kind's name in an era."""
        return f'{kind}{era or self.era}'


class UpdateTest(unittest.TestCase):
    """Other objects that several processes change."""

    def test_unreadable_object(self):
        for value in ODD_PAGES:
            store = fakes.FakeStore()
            store.put('k', 0, value)
            with self.subTest(value=value[:60]):
                with self.assertRaises(store_base.Unreadable):
                    store_base.update(
                        store, 'k', ledger.Page, lambda page: True
                    )
                self.assertEqual(value, store.objects['k'][1])

    def test_unreadable_after_a_write_of_unknown_outcome(self):
        store = fakes.FakeStore()
        store.faults = ['lost']

        def change(page):
            store.get = lambda key: store_base.Item(
                key, 1, msgspec.Raw(odd_objects.DEEP)
            )
            return True

        with self.assertRaises(store_base.WriteUnresolved):
            store_base.update(store, 'k', ledger.Page, change)


class MembershipTest(unittest.TestCase):
    """The list of routers, the eras and the statements."""

    def test_unreadable_shard_is_no_empty_one(self):
        for value in (
            odd_objects.DEEP,
            b'{"members":7}',
            odd_objects.HALF_PAIR,
        ):
            store = fakes.FakeStore()
            store.put('routers/3', 0, value)
            with self.assertRaises(store_base.StoreError):
                members.read_shards(store)

    def test_registration_goes_on_once_the_shard_is_readable(self):
        store = fakes.FakeStore()
        for name in members.SHARD_NAMES:
            store.put(f'routers/{name}', 0, odd_objects.DEEP)
        cfg = base.make_edge_settings('r1')
        registered = base.make_members(cfg, store, base.make_manual_clock())
        task = gevent.spawn(registered.run)
        base.settle()
        self.assertFalse(task.dead)
        store.objects.clear()
        registered._wake.set()
        base.settle()
        self.assertEqual(1, registered.routers.get_count())
        task.kill()

    def test_object_that_is_no_shard(self):
        store = fakes.FakeStore()
        store.put('routers/odd', 0, odd_objects.DEEP)
        store.put('routers/3', 0, b'{"members":{}}')
        self.assertEqual(['3'], list(members.read_shards(store)))

    def test_objects_that_are_no_eras(self):
        store = EraStore()
        for name in ('odd', '-1', '1.5', '٣', '0x1', '', '9' * 5_000, '1 '):
            store.put(f'eras/{name}', 0, b'{}')
        self.assertEqual([1], eras.Eras(store).list_earlier())

    def test_unreadable_statement_is_missing(self):
        store = EraStore()
        shard = members.Shard({'r1': members.Member('r1#1')})
        store.put('routers1/0', 0, msgspec.json.encode(shard))
        journal = base.Recorder()
        found = statements.Statements(
            base.make_edge_settings('r2'),
            'r2#1',
            store,
            eras.Eras(store),
            journal,
        )
        statement = statements.Statement('r1#1', {'b': 5}, [1])
        store.put('statements2/r1', 0, odd_objects.DEEP)
        store.put('statements2/r2', 0, msgspec.json.encode(statement))
        # Which object says it doesn't matter.
        self.assertEqual([statement], found.read_complete(1))
        del store.objects['statements2/r2']
        store.put('statements2/r2', 0, odd_objects.DEEP)
        self.assertIsNone(found.read_complete(1))
        self.assertIsNone(found.read_complete(1))
        self.assertEqual(['money.statement_unreadable'] * 2, journal.events())


class ScriptedLoanClient(loan_protocol.LoanClient):
    """Gets the same response each time."""

    body = b''

    def _post(self, address, path, message):
        return self.body


class LoanTest(unittest.TestCase):
    """Messages between routers about loans."""

    def setUp(self):
        self.received = []
        self.app = loan_protocol.make_lending_app(self)

    def lend(self, message):
        """Record a message; refuse the loan."""
        self.received.append(message)
        return loan_protocol.LoanResponse('a#1', shortage='moved')

    accept_return = lend

    def post(self, path, body):
        """Send a message; return the status."""
        statuses = []
        environ = {'PATH_INFO': path, 'wsgi.input': io.BytesIO(body)}
        self.app(environ, lambda status, _: statuses.append(status))
        return statuses[0]

    def test_tokens_out_of_range(self):
        for wrong in (b'-1', b'1e999', b'"5"', b'2.5', b'%d' % 2**70, b'1e15'):
            body = (
                b'{"budget":"b","need":%s,"ahead":0,"borrower":"r",'
                b'"unsettled":0,"tokens":%s,"holder":"h"}' % (wrong, wrong)
            )
            for path in (loan_protocol.LEND_PATH, loan_protocol.RETURN_PATH):
                with self.subTest(wrong=wrong, path=path):
                    self.assertEqual('400 Bad Request', self.post(path, body))
        self.assertEqual([], self.received)

    def test_unreadable_messages(self):
        for body in ODD_PAGES:
            with self.subTest(body=body[:60]):
                status = self.post(loan_protocol.LEND_PATH, body)
                self.assertEqual('400 Bad Request', status)

    def test_responses_that_no_lender_sends(self):
        request = loan_protocol.LoanRequest('b', 10, 5, 'r', 0)
        client = ScriptedLoanClient()
        for body in (
            *ODD_PAGES,
            b'{"holder":"h","tokens":16}',
            b'{"holder":"h","tokens":-1}',
            b'{"holder":"h","tokens":0}',
            b'{"holder":"h","shortage":"odd"}',
        ):
            client.body = body
            with self.subTest(body=body[:60]):
                self.assertIsNone(client.request_loan('', request))
        client.body = b'{"holder":"h","tokens":15}'
        self.assertEqual(15, client.request_loan('', request).tokens)

    def test_address_that_is_none(self):
        client = loan_protocol.LoanClient()
        request = loan_protocol.LoanRequest('b', 10, 5, 'r', 0)
        for address in ('', 'odd', '10.0.0.1:99999', '10.0.0.1:', '::1'):
            self.assertIsNone(client.request_loan(address, request))
