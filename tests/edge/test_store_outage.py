"""Views of targets and configuration during and after a store outage.

Guards against dropping targets that are still up, and against stale data when
the store returns.
"""

import unittest

import gevent
from gevent import event
import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge.views import config_view as config_views
from galenaspoke.edge.views import target_view as target_views
from galenaspoke.edge.views import watchers
from galenaspoke.platform import configuration
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from tests.edge import base

SERVICES = {'pool': None}


def make_entry_item(name, state='ready', born=5, addr='10.0.0.1:80'):
    """Return the store item of a target's entry."""
    value = {
        'Service': 'pool',
        'Addr': addr,
        'Zone': 'a',
        'Slots': 6,
        'State': state,
        'Seq': 1,
        'born': born,
    }
    return store_base.Item(
        f'servers/{name}', 1, msgspec.Raw(msgspec.json.encode(value))
    )


def make_config_item(version):
    """Return the store item of a configuration."""
    value = msgspec.json.encode({'Version': version})
    return store_base.Item('config/main', version, msgspec.Raw(value))


class ScriptedStore:
    """A store that gives the scripted responses, then ends the watcher."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.watch_waits_ms = []

    def list(self, _):
        """Return the next listing."""
        return self._next()

    def watch(self, _, since, wait_ms, era=0, retry=True):
        """Return the next events."""
        self.watch_waits_ms.append(wait_ms)
        return self._next()

    def _next(self):
        if not self.responses:
            raise gevent.GreenletExit
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class SlowStore(ScriptedStore):
    """A store that responds once `may_respond` is set."""

    def __init__(self, *responses):
        super().__init__(*responses)
        self.may_respond = event.Event()
        self.listings = 0

    def list(self, _):
        """Return the next listing."""
        self.listings += 1
        self.may_respond.wait()
        return self._next()


DOWN = store_base.StoreUnavailable('down')
GONE = platform_store.HistoryGone('gone')


class TargetsTest(unittest.TestCase):
    """The TargetView of one router."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.journal = base.Recorder()
        self.store = None
        self.identities_down = []

    def make_view(self, *responses):
        """Return a view that has processed the responses of the store."""
        self.store = ScriptedStore(*responses)
        view = target_views.TargetView(
            self.store,
            self.clock,
            self.journal,
            target_entries,
            lambda: SERVICES,
            platform_store.HistoryGone,
            self.identities_down.append,
            base.get_whole_share,
        )
        gevent.spawn(view.watcher.run).join()
        return view

    def accepting_ids(self, view):
        """Return the ids of the targets that accept requests."""
        return [
            target.entry.id for target in view.directory.list_accepting('pool')
        ]

    def test_removed_target_is_dropped_at_once(self):
        view = self.make_view(
            store_base.Listing(
                5, [make_entry_item('i-1'), make_entry_item('i-2')]
            ),
            (6, [platform_store.Change(make_entry_item('i-1'), True)]),
        )
        self.assertEqual(['i-2'], self.accepting_ids(view))

    def test_entry_lost_in_an_outage_is_kept_for_a_while(self):
        view = self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            DOWN,
            (6, [platform_store.Change(make_entry_item('i-1'), True)]),
        )
        self.assertEqual(['i-1'], self.accepting_ids(view))
        self.clock.advance(target_views.REAPPEAR_TIMEOUT_MS)
        self.assertEqual(
            ['i-1'], view.directory.remove_missing(self.clock.now())
        )
        self.assertEqual([], self.accepting_ids(view))

    def test_entry_that_reappears_stays(self):
        view = self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            DOWN,
            (6, [platform_store.Change(make_entry_item('i-1'), True)]),
            (7, [platform_store.Change(make_entry_item('i-1'), False)]),
        )
        self.clock.advance(target_views.REAPPEAR_TIMEOUT_MS)
        self.assertEqual([], view.directory.remove_missing(self.clock.now()))

    def test_return_is_noticed_without_waiting_for_a_change(self):
        # A watch of the usual length would not return before the next change
        # or its time-out.
        self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            (5, []),
            DOWN,
            (5, []),
        )
        self.assertEqual(
            [
                watchers.WATCH_WAIT_MS,
                watchers.WATCH_WAIT_MS,
                watchers.RECOVERY_WATCH_WAIT_MS,
                watchers.WATCH_WAIT_MS,
            ],
            self.store.watch_waits_ms,
        )

    def test_outdated_listing_restores_nothing(self):
        view = self.make_view(
            store_base.Listing(9, [make_entry_item('i-1', 'draining')]),
            GONE,
            store_base.Listing(5, [make_entry_item('i-1')]),
        )
        self.assertEqual([], self.accepting_ids(view))

    def test_lost_history_is_listed_again(self):
        view = self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            GONE,
            store_base.Listing(8, [make_entry_item('i-2')]),
        )
        self.assertEqual(['i-2'], self.accepting_ids(view))

    def test_new_incarnation_under_the_same_id(self):
        view = self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            (
                6,
                [platform_store.Change(make_entry_item('i-1', born=9), False)],
            ),
        )
        self.assertEqual(9, view.directory.get('i-1').entry.born)
        self.assertEqual([('i-1', 5)], self.identities_down)

    def test_malformed_entry_keeps_the_known_target(self):
        malformed = store_base.Item(
            'servers/i-1', 2, msgspec.Raw(b'{"Addr":7}')
        )
        view = self.make_view(
            store_base.Listing(5, [make_entry_item('i-1')]),
            (6, [platform_store.Change(malformed, False)]),
        )
        self.assertEqual(['i-1'], self.accepting_ids(view))

    def test_misdirected_target_is_removed(self):
        view = self.make_view(store_base.Listing(5, [make_entry_item('i-1')]))
        view.remove_misdirected(view.directory.get('i-1'))
        self.assertEqual([], self.accepting_ids(view))


class ConfigurationTest(unittest.TestCase):
    """The ConfigView of one router."""

    def make_view(self, *responses):
        """Return a view that has processed the responses of the store."""
        return self.follow(ScriptedStore(*responses))

    def follow(self, store):
        """Return a view that has processed what a store responds."""
        self.clock = base.make_manual_clock()
        view = config_views.ConfigView(
            store,
            self.clock,
            base.Recorder(),
            configuration,
            platform_store.HistoryGone,
        )
        gevent.spawn(view.watcher.run).join()
        return view

    def test_older_version_is_ignored(self):
        view = self.make_view(
            store_base.Listing(5, [make_config_item(7)]),
            (6, [platform_store.Change(make_config_item(6), False)]),
        )
        self.assertEqual(7, view.catalog.generation)

    def test_listed_again_after_an_outage(self):
        # A watch that resumes after an outage reports missed changes late.
        view = self.make_view(
            store_base.Listing(5, [make_config_item(7)]),
            DOWN,
            store_base.Listing(9, [make_config_item(8)]),
        )
        self.assertEqual(8, view.catalog.generation)

    def test_malformed_configuration_is_ignored(self):
        malformed = store_base.Item(
            'config/main', 6, msgspec.Raw(b'{"Routes":1}')
        )
        view = self.make_view(
            store_base.Listing(5, [make_config_item(7)]),
            (6, [platform_store.Change(malformed, False)]),
        )
        self.assertEqual(7, view.catalog.generation)

    def test_recently_read_configuration_is_confirmed(self):
        view = self.make_view(store_base.Listing(5, [make_config_item(7)]))
        self.assertTrue(view.confirm())

    def test_not_confirmed_while_the_store_is_down(self):
        view = self.make_view(store_base.Listing(5, [make_config_item(7)]))
        self.clock.advance(config_views.CONFIRMATION_TTL_MS)
        view.watcher._store = ScriptedStore(DOWN)
        self.assertFalse(view.confirm())

    # Guards against a 404 by a configuration that took seconds to come in
    # while the next one was published.
    def test_configuration_that_came_slowly_is_not_confirmed(self):
        store = ScriptedStore(
            store_base.Listing(5, [make_config_item(7)]),
            (6, [platform_store.Change(make_config_item(8), False)]),
        )
        watch = store.watch

        def watch_slowly(*args, **kwargs):
            if store.responses:
                self.clock.advance(watchers.MAX_WATCH_MS + 1)
            return watch(*args, **kwargs)

        store.watch = watch_slowly
        view = self.follow(store)
        self.assertEqual(8, view.catalog.generation)
        view.watcher._store = ScriptedStore(DOWN)
        self.assertFalse(view.confirm())

    # Guards against listings that take a thin link from each other.
    def test_those_who_read_at_the_same_time_share_a_listing(self):
        view = self.make_view(store_base.Listing(5, [make_config_item(7)]))
        self.clock.advance(config_views.CONFIRMATION_TTL_MS)
        store = SlowStore(store_base.Listing(6, [make_config_item(8)]))
        view.watcher._store = store
        readers = [gevent.spawn(view.watcher.read) for _ in range(2)]
        requests = [gevent.spawn(view.confirm) for _ in range(3)]
        gevent.sleep(0.01)
        store.may_respond.set()
        gevent.joinall([*readers, *requests], raise_error=True)
        self.assertEqual([True] * 3, [request.value for request in requests])
        self.assertEqual(1, store.listings)
        self.assertEqual(8, view.catalog.generation)

    def test_failure_reaches_those_who_share_a_listing(self):
        view = self.make_view(store_base.Listing(5, [make_config_item(7)]))
        self.clock.advance(config_views.CONFIRMATION_TTL_MS)
        view.watcher._store = store = SlowStore(DOWN)
        requests = [gevent.spawn(view.confirm) for _ in range(2)]
        reader = gevent.spawn(self.read, view)
        gevent.sleep(0.01)
        store.may_respond.set()
        gevent.joinall([*requests, reader], raise_error=True)
        self.assertEqual([False] * 2, [request.value for request in requests])
        self.assertIs(DOWN, reader.value)

    def read(self, view):
        """Return the error of a listing."""
        try:
            view.watcher.read()
        except store_base.StoreError as exc:
            return exc

    def test_no_configuration_while_the_store_is_down(self):
        view = self.make_view(DOWN)
        self.assertFalse(view.has_config())
        self.assertIs(catalog.EMPTY, view.catalog)
