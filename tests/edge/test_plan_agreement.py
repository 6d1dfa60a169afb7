"""Routers find out when all of them follow a plan of versions."""

import unittest

import msgspec

from galenaspoke.edge.streams import plan_agreement
from galenaspoke.edge.streams import service_versions
from galenaspoke.edge.streams import version_record
from tests.edge import version_fleets

ROUTER_COUNT = 4


class PlanAgreementTest(unittest.TestCase):
    """A fleet of routers, some of which don't answer."""

    def setUp(self):
        self.fleet = version_fleets.VersionFleet(
            ROUTER_COUNT, {'a': 'v1', 'b': 'v1'}
        )
        self.addCleanup(self.fleet.close)
        self.fleet.exchange()

    def test_first_plan_is_settled_once_all_have_started(self):
        self.assertTrue(self.fleet.read_record().is_settled())

    def test_one_router_settles_and_the_others_write_nothing(self):
        before = self.fleet.store.writes
        self.fleet.add_engine('c', 'v2')
        self.fleet.exchange()
        record = self.fleet.read_record()
        self.assertTrue(record.is_settled())
        self.assertEqual(2, len(record.plans))
        # The engine, the plan and that it is settled.
        self.assertEqual(before + 3, self.fleet.store.writes)
        for desk in self.fleet.desks.values():
            self.assertTrue(desk.versions.record.is_settled('pool'))

    # Guards against plans that stay open, so that streams are refused, because
    # the router that wrote the last one has died.
    def test_author_that_dies_is_replaced(self):
        self.fleet.add_engine('c', 'v2', routers=('front-3',))
        self.fleet.kill('front-3')
        self.fleet.read_targets()
        self.assertFalse(self.fleet.read_record().is_settled())
        # A process that is started again answers for the one before.
        self.fleet.start('front-3')
        for _ in range(ROUTER_COUNT):
            self.fleet.exchange()
            self.fleet.clock.advance(plan_agreement.TAKEOVER_MS)
        self.fleet.exchange()
        self.assertTrue(self.fleet.read_record().is_settled())

    # Guards against a plan that counts as ended while a router that doesn't
    # answer may follow it.
    def test_silent_router_keeps_the_plan_open(self):
        self.fleet.network.cut_off('front-2')
        self.fleet.add_engine('c', 'v2', routers=('front-0', 'front-1'))
        for _ in range(10):
            self.fleet.exchange()
            self.fleet.clock.advance(plan_agreement.RELIST_MS)
        self.assertFalse(self.fleet.read_record().is_settled())
        self.fleet.network.heal()
        self.fleet.exchange()
        self.fleet.clock.advance(plan_agreement.MAX_RETRY_MS)
        self.fleet.exchange()
        self.assertTrue(self.fleet.read_record().is_settled())

    # Guards against plans that stay open for long after each change, because a
    # machine that was lost for good stays in the list of routers.
    def test_router_that_is_lost_for_good_delays_the_end_once(self):
        self.fleet.kill('front-2')
        self.fleet.add_engine('c', 'v2')
        self.fleet.wait_for_silent(service_versions.PLAN_EXPIRY_MS)
        self.assertTrue(self.fleet.read_record().is_settled())
        self.assertEqual({'front-2'}, set(self.fleet.read_record().silent))
        self.fleet.add_engine('d', 'v2')
        self.fleet.wait_for_silent(plan_agreement.RELIST_MS)
        self.assertTrue(self.fleet.read_record().is_settled())

    # Guards against a router that goes on without the record after the others
    # have ceased to wait for it.
    def test_router_that_others_no_longer_wait_for_begins_nothing(self):
        self.fleet.network.cut_off('front-2')
        routers = ('front-0', 'front-1', 'front-3')
        self.fleet.add_engine('c', 'v2', routers=routers)
        self.fleet.wait_for_silent(service_versions.PLAN_EXPIRY_MS)
        self.assertTrue(self.fleet.read_record().is_settled())
        self.assertEqual([], self.fleet.begin('front-2', 1).events)
        self.fleet.network.heal()
        self.fleet.read_targets('front-2')
        self.fleet.exchange()
        self.assertEqual(1, len(self.fleet.begin('front-2', 1).events))
        self.fleet.add_engine('d', 'v2')
        self.fleet.exchange()
        self.assertEqual({}, self.fleet.read_record().silent)

    # Guards against a datagram that ends the greenlet which receives them.
    def test_odd_statement_that_a_plan_is_settled(self):
        desk = self.fleet.desks['front-0']
        for number in (0, -1, 7):
            message = plan_agreement.Settled('unknown', 0, number)
            desk.versions.agreement.handle(
                msgspec.msgpack.encode(message), 'front-1'
            )
        self.assertTrue(self.fleet.read_record().is_settled())

    # Guards against an author that waits for ever for a router that has left.
    def test_router_that_has_stopped_is_not_asked(self):
        self.fleet.members['front-2'].unregister()
        self.fleet.kill('front-2')
        self.fleet.add_engine('c', 'v2')
        self.fleet.exchange()
        self.assertTrue(self.fleet.read_record().is_settled())

    # Guards against a router that begins streams by a plan of which nobody
    # asks it, because it isn't in the list of routers yet.
    def test_router_that_is_not_registered_begins_no_streams(self):
        record = version_record.VersionRecord(
            self.fleet.store, self.fleet.clock, lambda: False
        )
        record.update('pool', {'v1'}, {'v1': 2}, 1)
        self.assertEqual(set(), record.list_usable('pool'))

    def test_store_outage_delays_the_end(self):
        self.fleet.add_engine('c', 'v2')
        author = next(
            desk
            for desk in self.fleet.desks.values()
            if desk.versions.record.is_author('pool')
        )
        self.fleet.store.down = True
        author.versions.agreement.poll()
        author.versions.agreement.poll()
        lines = [event for event, _ in author.journal.lines]
        self.assertEqual(1, lines.count('versions.unsettled'))
        self.fleet.store.down = False
        self.fleet.exchange()
        self.assertTrue(self.fleet.read_record().is_settled())

    def test_what_is_no_question_is_ignored(self):
        desk = self.fleet.desks['front-0']
        for data in (b'', b'\xff' * 9, b'\x94\xa6follow\xa4pool\x00\xa1x'):
            desk.versions.agreement.handle(data, 'front-1')
        desk.versions.agreement.handle(
            b'\x94\xa9following\xa4pool\x00\x63', 'front-1'
        )
        self.assertTrue(self.fleet.read_record().is_settled())
