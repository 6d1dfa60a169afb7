"""Plans of versions around the moment at which the store changes its era."""

import unittest
from unittest import mock

import gevent
import msgspec

from galenaspoke.edge.membership import router_list
from galenaspoke.edge.streams import plan_agreement
from galenaspoke.edge.streams import version_record
from galenaspoke.edge.streams import version_tracking
from galenaspoke.store import base as store_base
from tests.edge import base
from tests.edge import handlers
from tests import fakes


class ErasStore(fakes.FakeStore):
    """A store that states its era."""

    has_eras = True

    def __init__(self):
        super().__init__()
        self.era = 1

    def scope(self, kind, era=None):
        """Return a kind's name in an era."""
        return f'{kind}{era or self.era}'

    def put(self, key, version, value):
        """Write, unless the key belongs to a former era."""
        if not key.startswith(self.scope(version_record.KIND)):
            raise store_base.EraChanged(key)
        return super().put(key, version, value)


class EraTest(unittest.TestCase):
    """Two routers; the first one's call goes on in the next era."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.store = ErasStore()
        self.registered_eras = {1}
        self.first = version_record.VersionRecord(
            self.store,
            self.clock,
            lambda: self.store.era in self.registered_eras,
        )
        self.second = version_record.VersionRecord(self.store, self.clock)
        for revision in range(1, 6):
            self.first.update(
                'pool', {'v1', 'v2'}, {'v1': revision, 'v2': 2}, revision
            )

    def raise_era(self):
        """Begin another era; the second router puts plans in force."""
        self.store.era = 2
        for revision in range(1, 5):
            self.second.update(
                'pool', {'v1', 'v2'}, {'v1': revision, 'v2': 2}, revision
            )

    def raise_era_before_the_next_read(self):
        """Let the era rise while the first router waits for the store."""
        get = self.store.get

        def get_later(key):
            self.store.get = get
            self.raise_era()
            return get(key)

        self.store.get = get_later

    # Guards against plans that count as ended since all routers followed a
    # plan of the era before, whose number was higher.
    def test_settlement_of_the_era_before(self):
        number = self.first.get_plan_number('pool')
        self.raise_era_before_the_next_read()
        self.first.settle('pool', number)
        record = self.second.read('pool')
        self.assertFalse(record.is_settled())
        self.assertFalse(any(plan.has_ended() for plan in record.plans))

    # Guards against a router that begins streams by a plan of which nobody
    # asks it, since it isn't in the new era's list of routers yet.
    def test_change_that_goes_on_in_the_next_era(self):
        self.raise_era_before_the_next_read()
        self.first.update('pool', {'v1', 'v2', 'v3'}, {'v1': 1}, 9)
        self.assertEqual(set(), self.first.list_usable('pool'))
        self.registered_eras.add(2)
        self.first.update('pool', {'v1', 'v2', 'v3'}, {'v1': 1}, 9)
        self.assertIn('v1', self.first.list_usable('pool'))

    # Guards against questions about a plan of the era before that are taken
    # for those about the plan with the same number, which then stays open.
    def test_answer_of_the_era_before(self):
        agreement = plan_agreement.PlanAgreement(
            self.second,
            self.store,
            lambda: {'a': 'address-a', 'b': 'address-b'},
            router_list.RouterList('c'),
            lambda *_: None,
            self.clock,
            base.Recorder(),
        )

        def answer(era, address):
            # The first one stands for the plans of other eras.
            message = plan_agreement.Following('pool', era, 2)
            agreement.handle(msgspec.msgpack.encode(message), address)

        self.put_first_plan()
        agreement.poll()
        answer(1, 'address-a')
        self.store.era = 2
        self.put_first_plan()
        agreement.poll()
        answer(2, 'address-b')
        agreement.poll()
        self.assertFalse(self.second.is_settled('pool'))
        answer(2, 'address-a')
        agreement.poll()
        self.assertTrue(self.second.is_settled('pool'))

    def put_first_plan(self):
        """Let the second router put a service's first plan in force."""
        self.store.objects.clear()
        self.second.update('pool', {'v1'}, {'v1': 2}, 1)

    # Guards against updates that end for good because the record of a new era
    # has no plan yet: its first author couldn't follow the targets.
    def test_updates_go_on_where_there_is_no_plan_yet(self):
        view = mock.Mock()
        view.is_stale.return_value = False
        view.watcher.revision = 9
        view.count_versions.return_value = {'v1': 1}
        view.directory.list_versions.return_value = {'v1'}
        tracking = version_tracking.VersionTracking(
            base.make_edge_settings(),
            self.store,
            handlers.LoneMember(mock.Mock()),
            view,
            lambda address, data: None,
            self.clock,
            base.Recorder(),
        )
        tracking._routers.get_count.return_value = 0
        tracking.record = self.second
        with mock.patch.object(version_tracking, 'UPDATE_INTERVAL_S', 0.001):
            task = gevent.spawn(tracking._run_updates, lambda: ['pool'])
            self.addCleanup(task.kill)
            base.wait_until(lambda: self.second.get_plan('pool'))
            view.is_stale.return_value = True
            self.store.era = 2
            base.wait_until(lambda: self.second.list_services())
            gevent.sleep(0.02)
            self.assertIsNone(self.second.get_plan('pool'))
            view.is_stale.return_value = False
            gevent.sleep(0.02)
            self.assertFalse(task.dead)
            self.assertIsNotNone(self.second.get_plan('pool'))
