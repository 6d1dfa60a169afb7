"""Entries of another writer that can't be read, among those of targets.

Guards against routers that stop following the store, and against routers that
count the versions of one store differently because of what was there before.
"""

import unittest

import gevent
import msgspec

from galenaspoke.edge.views import config_view as config_views
from galenaspoke.edge.views import target_view as target_views
from galenaspoke.edge.views import watchers
from galenaspoke.platform import configuration
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from tests.edge import base
from tests.edge import test_store_outage
from tests.platform import odd_objects

DOWN = store_base.StoreUnavailable('down')


def make_spec(version='v1', **fields):
    """Return the value of a target's entry."""
    value = {
        'Service': 'pool',
        'Addr': '10.0.0.1:80',
        'Zone': 'a',
        'Version': version,
        'Slots': 6,
        'State': 'ready',
        'Seq': 1,
        **fields,
    }
    return msgspec.json.encode(value)


def make_item(name, spec):
    """Return the Item of an entry."""
    return store_base.Item(f'servers/{name}', 7, msgspec.Raw(spec))


def make_change(name, spec, deleted=False):
    """Return the Change of an entry."""
    return platform_store.Change(make_item(name, spec), deleted)


ODD = make_spec(Addr='10.0.0.1:99999')


class TargetViewTest(unittest.TestCase):
    """The TargetView of one router, with a store that is scripted."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.journal = base.Recorder()
        self.services = dict(test_store_outage.SERVICES)

    def make_view(self, *responses):
        """Return a view that has processed the responses of the store."""
        return self.watch(test_store_outage.ScriptedStore(*responses))

    def watch(self, store):
        """Return a view that has followed a store until it ends."""
        view = target_views.TargetView(
            store,
            self.clock,
            self.journal,
            target_entries,
            lambda: self.services,
            platform_store.HistoryGone,
            lambda _: None,
            base.get_whole_share,
        )
        gevent.spawn(view.watcher.run).join()
        return view

    def list_accepting(self, view):
        """Return the ids of the targets that accept requests."""
        accepting = view.directory.list_accepting('pool')
        return sorted(target.entry.id for target in accepting)

    def count_named(self):
        """Return how often an entry was named as unreadable."""
        return self.journal.events().count('target.unreadable')

    def test_versions_do_not_depend_on_what_was_there_before(self):
        entries = [
            make_item('i-1', make_spec('v1')),
            make_item('i-2', make_spec('v2')),
        ]
        both = store_base.Listing(5, entries)
        watching = self.make_view(both, (7, [make_change('i-1', ODD)]))
        now = store_base.Listing(7, [make_item('i-1', ODD), entries[1]])
        listing_again = self.make_view(
            both, platform_store.HistoryGone('gone'), now
        )
        started = self.make_view(now)
        for view in (watching, listing_again, started):
            self.assertEqual({'v2': 1}, view.count_versions('pool'))

    def test_known_target_stays_while_its_entry_is_unreadable(self):
        view = self.make_view(
            store_base.Listing(5, [make_item('i-1', make_spec())]),
            (7, [make_change('i-1', ODD)]),
        )
        self.assertEqual(['i-1'], self.list_accepting(view))
        view._on_change(make_change('i-1', make_spec('v3')))
        self.assertEqual({'v3': 1}, view.count_versions('pool'))
        view._on_change(make_change('i-1', ODD))
        view._on_change(make_change('i-1', ODD, deleted=True))
        self.assertEqual([], self.list_accepting(view))

    def test_versions_after_a_configuration_without_the_service(self):
        view = self.make_view(
            store_base.Listing(5, [make_item('i-1', make_spec())])
        )
        self.services = {'other': None}
        view.redecode()
        self.assertEqual({}, view.count_versions('pool'))
        self.services = {'pool': None}
        view.redecode()
        self.assertEqual({'v1': 1}, view.count_versions('pool'))

    def test_versions_in_a_new_era(self):
        # An entry that the copy brought back, of a target that had left,
        # isn't used for a while; a router that starts then can't know that.
        before = store_base.Listing(5, [make_item('i-1', make_spec())])
        copied = store_base.Listing(4, before.items, era=1)
        view = self.make_view(
            before,
            (6, [make_change('i-1', make_spec(), deleted=True)]),
            platform_store.HistoryGone('gone'),
            copied,
        )
        self.assertEqual([], self.list_accepting(view))
        started = self.make_view(copied)
        self.assertEqual(
            started.count_versions('pool'), view.count_versions('pool')
        )

    def test_unchanged_entry_is_named_once(self):
        odd = make_item('i-odd', ODD)
        view = self.make_view(
            store_base.Listing(5, [odd]),
            DOWN,
            (7, [make_change('i-odd', ODD)]),
            platform_store.HistoryGone('gone'),
            store_base.Listing(8, [odd]),
        )
        for _ in range(3):
            view.redecode()
        self.assertEqual(1, self.count_named())
        view._on_change(make_change('i-odd', make_spec()))
        view._on_change(make_change('i-odd', ODD))
        self.assertEqual(2, self.count_named())

    def test_list_and_watch_with_an_entry_that_cannot_be_read(self):
        first = odd_objects.make_object('i-1', make_spec())
        second = odd_objects.make_object('i-2', make_spec())
        odd = [
            odd_objects.make_object('i-odd', spec)
            for spec in odd_objects.ODD_SPECS.values()
        ]
        odd += map(
            odd_objects.make_odd_object, odd_objects.ODD_METADATA.values()
        )
        odd += odd_objects.NAMELESS.values()
        for obj in odd:
            paths = EndingPaths(
                odd_objects.list_body([obj, first]),
                odd_objects.watch_body([obj, second]),
            )
            view = self.watch(
                odd_objects.make_client(paths, self.clock, self.journal)
            )
            with self.subTest(obj=obj[:60]):
                self.assertEqual(['i-1', 'i-2'], self.list_accepting(view))
                self.assertFalse(view.is_stale())
                self.assertEqual({'v1': 2}, view.count_versions('pool'))


class WatcherTest(unittest.TestCase):
    """A view that fails with what the store says."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.journal = base.Recorder()
        self.seen = []

    def handle(self, news):
        """Record what was reported; fail at what is odd."""
        self.seen.append(news)
        if 'odd' in str(news):
            raise RuntimeError(news)

    def run_watcher(self, *responses):
        """Follow the responses of a store; return the Watcher."""
        watcher = watchers.Watcher(
            lambda: 'servers',
            test_store_outage.ScriptedStore(*responses),
            self.clock,
            self.journal,
            lambda items: self.handle([item.name for item in items]),
            lambda change: self.handle(change.item.name),
            platform_store.HistoryGone,
        )
        gevent.spawn(watcher.run).join()
        return watcher

    def test_change_that_the_view_fails_with(self):
        watcher = self.run_watcher(
            store_base.Listing(5, [make_item('i-1', b'{}')]),
            (6, [make_change('odd', b'{}'), make_change('i-2', b'{}')]),
            (7, [make_change('i-3', b'{}')]),
        )
        self.assertEqual([['i-1'], 'odd', 'i-2', 'i-3'], self.seen)
        self.assertEqual(7, watcher.revision)
        self.assertEqual(['watch.unhandled'], self.journal.events())

    def test_list_that_the_view_fails_with(self):
        self.run_watcher(
            store_base.Listing(5, [make_item('odd', b'{}')]),
            (7, [make_change('i-3', b'{}')]),
        )
        self.assertEqual([['odd'], 'i-3'], self.seen)


class ConfigViewTest(unittest.TestCase):
    """The ConfigView of one router."""

    def test_configurations_that_cannot_be_used(self):
        values = [
            *odd_objects.ODD_SPECS.values(),
            b'{"Version":"8"}',
            b'{"Version":null}',
            b'{"Version":8,"Services":[{"Name":"a","ColdStartS":1e308}]}',
            b'{"Version":8,"Limits":{"IdleTimeoutMs":1e300}}',
        ]
        for value in values:
            item = store_base.Item('config/main', 6, msgspec.Raw(value))
            first = test_store_outage.make_config_item(7)
            last = test_store_outage.make_config_item(9)
            journal = base.Recorder()
            view = config_views.ConfigView(
                test_store_outage.ScriptedStore(
                    store_base.Listing(5, [first]),
                    (6, [platform_store.Change(item, False)]),
                    DOWN,
                    store_base.Listing(6, [item]),
                    (9, [platform_store.Change(last, False)]),
                ),
                base.make_manual_clock(),
                journal,
                configuration,
                platform_store.HistoryGone,
            )
            gevent.spawn(view.watcher.run).join()
            with self.subTest(value=value[:60]):
                self.assertEqual(9, view.catalog.generation)
                events = journal.events()
                self.assertEqual(1, events.count('config.unreadable'))
                self.assertNotIn('watch.unhandled', events)


class EndingPaths(odd_objects.ScriptedPaths):
    """Ends the watcher after the last response."""

    def call(self, *args):
        """Return the next response."""
        if not self.bodies:
            raise gevent.GreenletExit
        return super().call(*args)
