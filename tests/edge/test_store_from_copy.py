"""The store comes back from a copy that is some seconds old.

Guards against views that stay deaf because revisions start again, against
going back to what the copy holds, and against writes that take effect in
another era than the one they were meant for.
"""

import io
import unittest
from unittest import mock

import gevent

from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.crashes import suspect_sharing
from galenaspoke.edge.membership import eras
from galenaspoke.edge.membership import members
from galenaspoke.edge.membership import relay_discovery
from galenaspoke.edge.views import config_view as config_views
from galenaspoke.edge.views import target_view as target_views
from galenaspoke.platform import configuration
from galenaspoke.platform import store as platform_store
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from galenaspoke.store import paths
from galenaspoke.store import relaying
from galenaspoke.store import relays
from tests.edge import base
from tests.edge import test_store_outage
from tests.platform import store_standin

# Longer than a watch of the stand-in takes to notice a change.
PAUSE_S = 0.006


class StoreTest(unittest.TestCase):
    """A process and a store that can come back from a copy."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.journal = base.Recorder()
        self.store = store_standin.PlatformStore(self.clock)
        self.client, self.path = self.make_client()
        self.tasks = []

    def tearDown(self):
        gevent.killall(self.tasks)

    def make_client(self):
        """Return the client of a process, and its path."""
        path = store_standin.Path(self.store)
        client = platform_store.Client(
            path, self.journal, self.clock, self.journal
        )
        return client, path

    def spawn(self, function, *args):
        """Run a background task until the test ends."""
        self.tasks.append(gevent.spawn(function, *args))

    def advance(self, ms):
        """Let time pass, and tasks run."""
        self.clock.advance(ms)
        self.settle()

    def settle(self):
        """Let tasks run, also those that wait for a watch."""
        for _ in range(10):
            gevent.sleep(PAUSE_S)
            base.settle()


class EraTest(StoreTest):
    """Writes of one era have no effect in another."""

    def put(self, name, value=b'1', version=0):
        """Write one of the system's own objects in the present era."""
        return self.client.put(
            f'{self.client.scope("relays")}/{name}', version, value
        )

    def test_own_objects_have_other_keys_in_each_era(self):
        self.client.list('config')
        self.assertEqual('relays1', self.client.scope('relays'))
        self.put('a')
        self.advance(1000)
        self.store.restore(500)
        self.client.list('config')
        self.assertEqual('relays2', self.client.scope('relays'))
        self.assertEqual(1, self.store.get('relays1', 'a'))

    def test_write_of_a_former_era_is_not_taken_for_successful(self):
        self.client.list('config')
        version = self.put('a')
        self.advance(1000)
        self.store.restore(500)
        with self.assertRaises(store_base.EraChanged):
            self.client.put('relays1/a', version, b'2')

    def test_late_write_changes_nothing_in_the_next_era(self):
        self.client.list('config')
        version = self.put('a')
        self.advance(1000)
        self.path.faults.append('late')
        with self.assertRaises(store_base.OutcomeUnknown):
            self.put('a', b'2', version)
        self.store.restore(500)
        self.client.list('config')
        self.put('a', b'3')
        self.assertEqual([200], self.store.land_late_writes())
        self.assertEqual(3, self.store.get('relays2', 'a'))

    def test_response_of_a_former_era_is_dropped(self):
        other, _ = self.make_client()
        self.store.restore(0)
        self.client.list('config')
        self.store.era -= 1
        other.list('config')
        with self.assertRaises(store_base.StoreUnavailable):
            self.client.list('config')

    def test_listing_that_spans_two_eras_fails(self):
        self.client.list('config')
        pages = iter([(200, True), (200, False)])

        def handle(*_):
            status, has_more = next(pages)
            self.store.era += not has_more
            item = {'Metadata': {'Name': 'a', 'Rev': 1}, 'Spec': 1}
            return status, {
                'Items': [item],
                'HasMore': has_more,
                'StoreRevision': 1,
            }

        self.store.handle = handle
        with self.assertRaises(store_base.EraChanged):
            self.client.list('config')

    def test_relay_passes_the_era_on(self):
        class Direct:
            def call_direct(_, *args):
                return self.path.call(*args)

        received = []
        app = relaying.make_relay_app(Direct(), (platform_store.ERA_HEADER,))
        environ = {
            'PATH_INFO': '/store/objects/config',
            'QUERY_STRING': '',
            'REQUEST_METHOD': 'GET',
            'wsgi.input': io.BytesIO(),
        }
        app(environ, lambda _, headers: received.extend(headers))
        self.assertIn(('store-era', '1'), received)

    def test_store_without_eras_has_plain_keys(self):
        self.store.era = None
        self.client.list('config')
        self.assertFalse(self.client.has_eras)
        self.put('a')
        self.assertEqual(1, self.store.get('relays', 'a'))


class ViewsTest(StoreTest):
    """Views are neither deaf nor go back after the era rises."""

    def make_views(self):
        """Return views of the configuration and the targets, both running."""
        config_view = config_views.ConfigView(
            self.client,
            self.clock,
            self.journal,
            configuration,
            platform_store.HistoryGone,
        )
        target_view = target_views.TargetView(
            self.client,
            self.clock,
            self.journal,
            target_entries,
            lambda: test_store_outage.SERVICES,
            platform_store.HistoryGone,
            lambda _: None,
            base.get_whole_share,
        )
        for view in (config_view, target_view):
            self.client.add_era_listener(view.watcher.restart)
            self.spawn(view.watcher.run)
        self.settle()
        return config_view, target_view

    def put_entry(self, name, **fields):
        """Write the entry of a target, as the target itself."""
        spec = {
            'Service': 'pool',
            'Addr': '10.0.0.1:80',
            'Zone': 'a',
            'Slots': 6,
            'State': 'ready',
            'Seq': 1,
            'born': 5,
            **fields,
        }
        self.store.put('servers', name, spec)

    def put_config(self, version):
        """Write a configuration, as the operator."""
        self.store.put('config', 'main', {'Version': version})

    def accepting_ids(self, view):
        """Return the ids of the targets that accept requests."""
        return sorted(
            target.entry.id for target in view.directory.list_accepting('pool')
        )

    def test_change_after_the_rise_is_seen(self):
        self.put_config(1)
        config_view, target_view = self.make_views()
        for number in range(50):
            self.put_entry(f'i-{number}')
        self.advance(3000)
        self.store.restore(3000)
        self.advance(10)
        # The revision of this change is lower than those seen before.
        self.put_config(2)
        self.put_entry('i-new')
        self.advance(10)
        self.assertEqual(2, config_view.catalog.generation)
        self.assertIn('i-new', self.accepting_ids(target_view))
        self.assertLess(self.store.revision, 154)

    def test_rise_is_noticed_while_a_watch_hangs(self):
        self.put_config(1)
        config_view, _ = self.make_views()
        self.path.is_silent = True
        self.settle()
        self.store.restore(0)
        self.put_config(2)
        self.client.list('relays')
        self.advance(10)
        self.assertEqual(2, config_view.catalog.generation)

    def test_configuration_does_not_go_back(self):
        self.put_config(1)
        config_view, _ = self.make_views()
        self.advance(1000)
        self.put_config(2)
        self.advance(1000)
        self.store.restore(1500)
        self.advance(10)
        self.assertEqual(1, self.store.get('config', 'main')['Version'])
        self.assertEqual(2, config_view.catalog.generation)

    def test_new_process_does_not_use_a_replaced_configuration(self):
        self.put_config(1)
        config_view, _ = self.make_views()
        config_view.set_required_generation(2)
        self.assertFalse(config_view.has_config())
        self.put_config(2)
        self.advance(10)
        self.assertTrue(config_view.has_config())

    def test_target_that_announced_its_leaving_stays_away(self):
        self.put_entry('i-1')
        _, target_view = self.make_views()
        self.advance(1000)
        self.put_entry('i-1', State='draining')
        self.advance(1000)
        self.store.restore(1500)
        self.advance(60_000)
        self.assertEqual('ready', self.store.get('servers', 'i-1')['State'])
        self.assertEqual([], self.accepting_ids(target_view))

    def test_target_that_was_gone_is_not_used_from_the_copy(self):
        self.put_entry('i-1')
        _, target_view = self.make_views()
        self.advance(1000)
        self.store.put('servers', 'i-1', None, deleted=True)
        self.advance(1000)
        self.store.restore(1500)
        self.advance(1000)
        target_view.redecode()
        self.assertEqual([], self.accepting_ids(target_view))

    def test_target_that_lives_is_used_once_it_writes_its_entry(self):
        self.put_entry('i-1')
        _, target_view = self.make_views()
        self.advance(1000)
        self.store.put('servers', 'i-1', None, deleted=True)
        self.advance(1000)
        self.store.restore(1500)
        self.advance(500)
        self.put_entry('i-1', Seq=2)
        self.advance(10)
        self.assertEqual(['i-1'], self.accepting_ids(target_view))

    def test_earlier_incarnation_is_not_used_from_the_copy(self):
        self.put_entry('i-1')
        _, target_view = self.make_views()
        self.advance(1000)
        self.put_entry('i-1', born=9, Addr='10.0.0.2:80')
        self.advance(1000)
        self.store.restore(1500)
        self.advance(10)
        self.assertEqual(9, target_view.directory.get('i-1').entry.born)

    def test_target_that_the_copy_lacks_is_kept_for_a_while(self):
        _, target_view = self.make_views()
        self.advance(1000)
        self.put_entry('i-1')
        self.advance(500)
        self.store.restore(1000)
        self.advance(10)
        self.assertEqual(['i-1'], self.accepting_ids(target_view))
        self.clock.advance(target_views.REAPPEAR_TIMEOUT_MS)
        self.assertEqual(
            ['i-1'], target_view.directory.remove_missing(self.clock.now())
        )

    def test_two_rises_in_a_row(self):
        self.put_config(1)
        config_view, _ = self.make_views()
        self.advance(3000)
        self.store.restore(2000)
        self.advance(10)
        self.store.restore(1000)
        self.advance(10)
        self.put_config(3)
        self.advance(10)
        self.assertEqual(3, config_view.catalog.generation)


class RegistrationTest(StoreTest):
    """Whoever wrote something that the copy lacks writes it again."""

    def test_relay_registers_again(self):
        cfg = base.make_edge_settings(peer_listen='10.0.0.1:7340')
        short = (0.001, 0.002)
        with mock.patch.multiple(
            relay_discovery,
            READ_INTERVAL_S=short,
            RETRY_INTERVAL_S=short,
            FIRST_READ_INTERVAL_S=short,
        ):
            self.spawn(
                relay_discovery.run,
                cfg,
                self.client,
                paths.StorePaths('s:1', '/', self.clock, self.journal),
                self.journal,
            )
            self.advance(1000)
            self.store.restore(1000)
            self.advance(10)
        self.assertEqual(1, len(self.client.list('relays2').items))
        self.assertEqual(
            cfg.name,
            self.store.get('relays2', relays.slot_name(cfg.name))['name'],
        )

    def test_suspects_are_published_again(self):
        self.client.list('config')
        detector = self.start_publisher(self.client)
        keys = crash_suspects.make_keys('3f9a', ())
        detector.record_cut_off(keys, ('i-7f', 1))
        detector.record_target_down(('i-7f', 1))
        base.wait_until(lambda: self.store.get('suspects1', 'a'))
        self.assertEqual(1, len(self.store.get('suspects1', 'a')))
        self.advance(1000)
        self.store.restore(1000)
        self.client.list('config')
        base.wait_until(lambda: self.store.get('suspects2', 'a'))
        self.assertEqual(1, len(self.store.get('suspects2', 'a')))

    def start_publisher(self, client):
        """Start a process of the instance 'a'; return its PoisonDetector."""
        detector = poison.PoisonDetector(self.clock, base.Recorder())
        self.spawn(
            suspect_sharing.run_publisher,
            'a',
            client,
            eras.Eras(client),
            detector,
            self.journal,
            self.clock,
        )
        return detector

    # Guards against requests that crash targets again after a power cut from
    # which the store comes back from a copy.
    def test_suspects_of_an_earlier_era_are_taken_over_after_a_restart(self):
        detector = self.start_publisher(self.client)
        keys = crash_suspects.make_keys('3f9a', ())
        for number in range(2):
            detector.record_cut_off(keys, (f'i-{number}', 1))
            detector.record_target_down((f'i-{number}', 1))
        base.wait_until(lambda: self.store.get('suspects1', 'a'))
        base.wait_until(lambda: not detector.unpublished)
        gevent.killall(self.tasks)
        self.advance(1000)
        self.store.restore(500)
        restarted = self.start_publisher(self.make_client()[0])
        base.wait_until(restarted.has_culprits)
        self.assertEqual(keys[0].name, restarted.find_poison(keys))
        base.wait_until(lambda: self.store.get('suspects2', 'a'))
        self.assertEqual(2, len(self.store.get('suspects2', 'a')))

    def test_router_registers_again(self):
        router = members.Members(
            base.make_edge_settings('a'),
            self.client,
            eras.Eras(self.client),
            self.clock,
            self.journal,
            lambda: 7,
        )
        self.spawn(router.run)
        self.advance(1000)
        self.store.restore(1000)
        self.client.list('config')
        self.advance(10)
        shards = members.read_shards(self.client)
        found = {k: v for s in shards.values() for k, v in s.members.items()}
        self.assertEqual(['a'], list(found))
        self.assertEqual(7, found['a'].generation)
