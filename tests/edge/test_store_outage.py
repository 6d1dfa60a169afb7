"""What a router believes while the store is away, and when it is back."""

import unittest

import gevent
import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge import watchers
from galenaspoke.edge import views
from galenaspoke.platform import configuration
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from tests.edge import base

SERVICES = {'pool': None}


def entry(name, state='ready', born=5, addr='10.0.0.1:80'):
    """Return the item of a target's entry."""
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


def document(version):
    """Return the item of a configuration."""
    value = msgspec.json.encode({'Version': version})
    return store_base.Item('config/main', version, msgspec.Raw(value))


class ScriptedStore:
    """A store that answers what a test says, then fails."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.waits = []

    def list(self, _):
        """Return the next listing."""
        return self._next()

    def watch(self, _, since, wait_ms, retry=True):
        """Return the next events."""
        self.waits.append(wait_ms)
        return self._next()

    def _next(self):
        if not self.answers:
            raise gevent.GreenletExit
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


DOWN = store_base.StoreUnavailable('down')
GONE = platform_store.HistoryGone('gone')


class TargetsTest(unittest.TestCase):
    """Targets in the view of one router."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.journal = base.Recorder()
        self.store = None
        self.down = []

    def view(self, *answers):
        """Return a view after the store has given some answers."""
        self.store = ScriptedStore(*answers)
        view = views.TargetView(
            self.store,
            self.clock,
            self.journal,
            target_entries,
            lambda: SERVICES,
            platform_store.HistoryGone,
            self.down.append,
        )
        gevent.spawn(view.watcher.run).join()
        return view

    def names(self, view):
        """Return the targets that take requests."""
        return [
            found.entry.id for found in view.directory.list_accepting('pool')
        ]

    def test_removed_entry_is_gone_at_once(self):
        view = self.view(
            store_base.Listing(5, [entry('i-1'), entry('i-2')]),
            (6, [platform_store.Change(entry('i-1'), True)]),
        )
        self.assertEqual(['i-2'], self.names(view))

    def test_entry_that_lapsed_in_an_outage_may_come_back(self):
        view = self.view(
            store_base.Listing(5, [entry('i-1')]),
            DOWN,
            (6, [platform_store.Change(entry('i-1'), True)]),
        )
        self.assertEqual(['i-1'], self.names(view))
        self.clock.advance(views.REAPPEAR_TIMEOUT_MS)
        self.assertEqual(
            ['i-1'], view.directory.remove_missing(self.clock.now())
        )
        self.assertEqual([], self.names(view))

    def test_entry_that_came_back_stays(self):
        view = self.view(
            store_base.Listing(5, [entry('i-1')]),
            DOWN,
            (6, [platform_store.Change(entry('i-1'), True)]),
            (7, [platform_store.Change(entry('i-1'), False)]),
        )
        self.clock.advance(views.REAPPEAR_TIMEOUT_MS)
        self.assertEqual([], view.directory.remove_missing(self.clock.now()))

    def test_return_is_noticed_without_waiting_for_a_change(self):
        self.view(
            store_base.Listing(5, [entry('i-1')]),
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
            self.store.waits,
        )

    def test_late_answer_brings_nothing_back(self):
        view = self.view(
            store_base.Listing(9, [entry('i-1', 'draining')]),
            GONE,
            store_base.Listing(5, [entry('i-1')]),
        )
        self.assertEqual([], self.names(view))

    def test_forgotten_history_is_listed_again(self):
        view = self.view(
            store_base.Listing(5, [entry('i-1')]),
            GONE,
            store_base.Listing(8, [entry('i-2')]),
        )
        self.assertEqual(['i-2'], self.names(view))

    def test_new_incarnation_under_the_same_id(self):
        view = self.view(
            store_base.Listing(5, [entry('i-1')]),
            (6, [platform_store.Change(entry('i-1', born=9), False)]),
        )
        self.assertEqual(9, view.directory.get('i-1').entry.born)
        self.assertEqual([('i-1', 5)], self.down)

    def test_unreadable_entry_leaves_the_known_target(self):
        torn = store_base.Item('servers/i-1', 2, msgspec.Raw(b'{"Addr":7}'))
        view = self.view(
            store_base.Listing(5, [entry('i-1')]),
            (6, [platform_store.Change(torn, False)]),
        )
        self.assertEqual(['i-1'], self.names(view))

    def test_address_that_another_has_taken(self):
        view = self.view(store_base.Listing(5, [entry('i-1')]))
        view.remove_misdirected(view.directory.get('i-1'))
        self.assertEqual([], self.names(view))


class ConfigurationTest(unittest.TestCase):
    """The configuration in the view of one router."""

    def view(self, *answers):
        """Return a view after the store has given some answers."""
        store = ScriptedStore(*answers)
        self.clock = base.make_manual_clock()
        view = views.ConfigView(
            store,
            self.clock,
            base.Recorder(),
            configuration,
            platform_store.HistoryGone,
        )
        gevent.spawn(view.watcher.run).join()
        return view

    def test_never_back(self):
        view = self.view(
            store_base.Listing(5, [document(7)]),
            (6, [platform_store.Change(document(6), False)]),
        )
        self.assertEqual(7, view.catalog.generation)

    def test_listed_again_after_a_cut(self):
        # What came behind the cut is told late to a watch that goes on.
        view = self.view(
            store_base.Listing(5, [document(7)]),
            DOWN,
            store_base.Listing(9, [document(8)]),
        )
        self.assertEqual(8, view.catalog.generation)

    def test_unreadable_one_is_not_installed(self):
        torn = store_base.Item('config/main', 6, msgspec.Raw(b'{"Routes":1}'))
        view = self.view(
            store_base.Listing(5, [document(7)]),
            (6, [platform_store.Change(torn, False)]),
        )
        self.assertEqual(7, view.catalog.generation)

    def test_confirmed_a_moment_ago(self):
        view = self.view(store_base.Listing(5, [document(7)]))
        self.assertTrue(view.confirm())

    def test_not_confirmed_while_the_store_is_away(self):
        view = self.view(store_base.Listing(5, [document(7)]))
        self.clock.advance(views.CONFIRMATION_TTL_MS)
        view.watcher._store = ScriptedStore(DOWN)
        self.assertFalse(view.confirm())

    def test_nothing_known(self):
        view = self.view(DOWN)
        self.assertFalse(view.has_config())
        self.assertIs(catalog.EMPTY, view.catalog)
