"""Many routers on one store, whose calls are dear and limited.

Guards against calls that grow with the number of routers: watches are shared
through feeders, and borrowers need not read the ledger to find a lender.
"""

import io
import types
import unittest

import gevent
from gevent import event

from galenaspoke.edge.membership import members
from galenaspoke.http import connections
from galenaspoke.platform import store as platform_store
from galenaspoke.store import base as store_base
from galenaspoke.store import feeds
from tests.edge import base
from tests.edge import era_fleets
from tests.platform import store_standin

LIMIT = 10_000_000


class HomeTest(unittest.TestCase):
    """The router that should own a page, on which all routers agree."""

    def setUp(self):
        self.fleet = era_fleets.Fleet(
            LIMIT, [f'r{i}' for i in range(8)], era=None, has_homes=True
        )
        # All routers have read the whole list.
        self.fleet.pass_time(1000)
        self.gets = 0

    def tearDown(self):
        self.fleet.stop()

    def count_reads(self):
        """Return how often the ledger was read so far."""
        counted = [
            event
            for router in self.fleet.routers.values()
            for event in router.journal.events()
            if event == 'store.get.ledger'
        ]
        return len(counted)

    def test_all_agree(self):
        homes = {
            router.members.routers.get_home('0000') or name
            for name, router in self.fleet.routers.items()
        }
        self.assertEqual(1, len(homes))

    def test_only_the_home_reads_the_ledger(self):
        for name in self.fleet.routers:
            self.assertTrue(self.fleet.serve(name, 1000, 1000))
        self.assertLessEqual(self.count_reads(), 2)
        home = (
            self.fleet.routers['r0'].members.routers.get_home('0000') or 'r0'
        )
        self.assertTrue(self.fleet.page().owner.startswith(f'{home}#'))

    def test_home_that_is_dead(self):
        home = (
            self.fleet.routers['r0'].members.routers.get_home('0000') or 'r0'
        )
        self.fleet.frozen.add(home)
        for name in set(self.fleet.routers) - {home}:
            self.assertTrue(self.fleet.serve(name, 1000, 1000))

    def test_page_that_another_router_owns(self):
        home = (
            self.fleet.routers['r0'].members.routers.get_home('0000') or 'r0'
        )
        self.fleet.frozen.add(home)
        others = sorted(set(self.fleet.routers) - {home})
        self.assertTrue(self.fleet.serve(others[0], 1000, 1000))
        self.fleet.frozen.discard(home)
        for name in [home, *others]:
            self.assertTrue(self.fleet.serve(name, 1000, 1000))
        self.assertTrue(self.fleet.page().owner.startswith(f'{others[0]}#'))


def make_response(status=200):
    """Return a store's response."""
    return types.SimpleNamespace(status=status, body=b'{}', headers=[])


class SharedWatchTest(unittest.TestCase):
    """The feeder's side."""

    def setUp(self):
        self.calls = []
        self.may_respond = event.Event()
        self.may_respond.set()
        self.result = make_response()
        self.now_s = 0
        self.watches = feeds.SharedWatches(self.call, lambda: self.now_s)

    def call(self, _, url_path, *__):
        """Make a call to the store, which responds when it may."""
        self.calls.append(url_path)
        gevent.sleep(0)
        self.may_respond.wait()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    def run_all(self, *url_paths):
        """Watch at the same time; return the responses."""
        tasks = [gevent.spawn(self.watch, url) for url in url_paths]
        gevent.joinall(tasks)
        return [task.value for task in tasks]

    def watch(self, url_path):
        """Return the response or the exception of one watch."""
        try:
            return self.watches.call(url_path)
        except connections.ResponseLost as exc:
            return exc

    def test_routers_at_the_same_revision_share_a_call(self):
        self.assertEqual([self.result] * 20, self.run_all(*['/a?7'] * 20))
        self.assertEqual(['/a?7'], self.calls)

    def test_others_do_not(self):
        self.run_all('/a?7', '/a?8', '/b?7')
        self.assertEqual(3, len(self.calls))

    def test_finished_call_is_not_shared(self):
        self.run_all('/a?7')
        self.run_all('/a?7')
        self.assertEqual(2, len(self.calls))

    def test_failure_reaches_all(self):
        self.result = connections.ResponseLost('cut')
        found = self.run_all('/a?7', '/a?7')
        self.assertEqual([self.result] * 2, found)
        self.assertEqual([], list(self.watches._under_way))

    def test_response_of_before_a_pause_is_dropped(self):
        self.may_respond.clear()
        task = gevent.spawn(self.watch, '/a?7')
        base.settle()
        # The machine is suspended; this clock goes on.
        self.now_s += 5
        self.may_respond.set()
        self.assertIsInstance(task.get(), connections.ResponseLost)

    def test_application(self):
        statuses = []
        app = feeds.make_feed_app(self.call, ())
        environ = {
            'PATH_INFO': '/feed/objects/servers',
            'QUERY_STRING': 'Watch=7',
            'REQUEST_METHOD': 'GET',
            'wsgi.input': io.BytesIO(),
        }
        app(environ, lambda status, _: statuses.append(status))
        self.assertEqual(['/objects/servers?Watch=7'], self.calls)
        self.assertEqual(['200 -'], statuses)


class FakeFeeder:
    """Takes the place of a feeder's path."""

    def __init__(self, result):
        self.backoff_until = 0
        self.result = result
        # What the next calls raise.
        self.failures = []
        self.calls = 0

    def call(self, *_):
        """Return the response or raise the exception."""
        self.calls += 1
        if self.failures:
            raise self.failures.pop(0)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class FeedsTest(unittest.TestCase):
    """The router's side."""

    def setUp(self):
        self.clock = base.make_manual_clock()

    def make_feeds(self, name='a', count=27, results=()):
        """Return the Feeds of a router; each feeder has a result."""
        found = feeds.Feeds(name, self.clock, lambda: count)
        found._paths = {
            f'10.0.0.{i}:1': FakeFeeder(result)
            for i, result in enumerate(results)
        }
        return found

    def preferred(self, name, count):
        """Return the address of the feeder that a router prefers."""
        found = self.make_feeds(name, count, [make_response()] * 48)
        found.call('/x')
        return next(a for a, path in found._paths.items() if path.calls)

    def test_routers_of_a_small_fleet_prefer_the_same_feeder(self):
        names = [f'front-{i}' for i in range(27)]
        self.assertEqual(1, len({self.preferred(n, 27) for n in names}))

    def test_large_fleet_is_spread(self):
        names = [f'front-{i}' for i in range(300)]
        used = {self.preferred(n, 300) for n in names}
        self.assertGreater(len(used), 5)
        self.assertLessEqual(len(used), 300 // feeds.ROUTERS_PER_FEEDER + 1)

    def test_no_feeder(self):
        self.assertIsNone(self.make_feeds().call('/x'))

    def test_failed_feeder_rests(self):
        lost = connections.ResponseLost('silent')
        for failure in (lost, make_response(503), make_response(504)):
            found = self.make_feeds(results=[failure])
            self.assertIsNone(found.call('/x'))
            self.assertIsNone(found.call('/x'))
            (feeder,) = found._paths.values()
            self.assertEqual(1, feeder.calls)
            self.clock.advance(feeds.FEEDER_BACKOFF_MS)
            found.call('/x')
            self.assertEqual(2, feeder.calls)

    def test_second_feeder_takes_over(self):
        lost = connections.ResponseLost('silent')
        found = self.make_feeds(results=[lost] * 2)
        found.call('/x')
        rested = [p for p in found._paths.values() if p.backoff_until]
        other = next(p for p in found._paths.values() if not p.backoff_until)
        other.result = make_response()
        self.assertIsNotNone(found.call('/x'))
        self.assertEqual(1, len(rested))

    # Guards against watches at the store itself, for seconds after one
    # connection to a feeder was reset.
    def test_closed_connection_says_nothing_against_the_feeder(self):
        found = self.make_feeds(results=[make_response()])
        (feeder,) = found._paths.values()
        feeder.failures = [connections.PeerClosed('reset')]
        self.assertIsNotNone(found.call('/x'))
        self.assertEqual(2, feeder.calls)
        self.assertEqual(0, feeder.backoff_until)

    def test_second_feeder_is_asked_if_the_first_fails_at_once(self):
        for failure in (
            connections.PeerClosed('reset'),
            connections.Refused('refused'),
            make_response(503),
        ):
            for results in ([failure, make_response()],) * 2:
                found = self.make_feeds(results=results)
                self.assertIsNotNone(found.call('/x'))
                results.reverse()

    def test_store_is_asked_after_a_silent_feeder(self):
        silent = connections.ResponseLost('silent')
        found = self.make_feeds(results=[silent, silent])
        self.assertIsNone(found.call('/x'))
        calls = [feeder.calls for feeder in found._paths.values()]
        self.assertEqual([0, 1], sorted(calls))

    def test_410_is_an_answer(self):
        found = self.make_feeds(results=[make_response(410)])
        self.assertEqual(410, found.call('/x').status)


class FakeFeeds:
    """Feeds that pass watches on to a store, or fail."""

    def __init__(self, path):
        self.path = path
        self.is_down = False
        self.calls = 0

    def call(self, url_path):
        """Return the store's response, None while the feeder is down."""
        self.calls += 1
        return (
            None if self.is_down else self.path.call('GET', url_path, b'', 0)
        )


class ClientTest(unittest.TestCase):
    """Watches of the platform's client."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.store = store_standin.PlatformStore(self.clock)
        self.path = store_standin.Path(self.store)
        self.feeds = FakeFeeds(self.path)
        self.client = platform_store.Client(
            self.path,
            base.Recorder(),
            self.clock,
            base.Recorder(),
            self.feeds,
        )
        self.since = self.client.list('servers').revision

    def watch(self, wait_ms=5000, era=1):
        """Watch the entries of targets; return the changed names."""
        _, changes = self.client.watch('servers', self.since, wait_ms, era)
        return [change.item.key for change in changes]

    def test_change_comes_through_the_feed(self):
        self.store.put('servers', 'i-1', {})
        self.assertEqual(['servers/i-1'], self.watch())
        self.assertEqual(1, self.feeds.calls)

    def test_no_change(self):
        self.assertEqual([], self.watch())

    def test_store_is_asked_if_the_feeder_is_down(self):
        self.feeds.is_down = True
        self.store.put('servers', 'i-1', {})
        self.assertEqual(['servers/i-1'], self.watch())

    def test_short_watch_goes_to_the_store(self):
        self.watch(wait_ms=1)
        self.assertEqual(0, self.feeds.calls)

    def test_feeder_in_another_era(self):
        self.store.restore(0)
        with self.assertRaises(platform_store.HistoryGone):
            self.watch()
        self.assertEqual(2, self.client.era)

    def test_feed_of_a_former_era_is_dropped(self):
        self.store.restore(0)
        self.client.list('servers')
        self.store.era = 1
        with self.assertRaises(store_base.StoreUnavailable):
            self.watch()

    def test_response_of_a_feed_confirms_only_what_is_older(self):
        before = self.client.confirmed_at
        self.clock.advance(feeds.MAX_RESPONSE_AGE_MS)
        self.watch()
        self.assertEqual(before, self.client.confirmed_at)


class RegistrationTest(unittest.TestCase):
    """The calls with which routers register."""

    def test_one_router(self):
        fleet = era_fleets.Fleet(LIMIT, ['a'], era=None)
        shard = members.read_shards(fleet.routers['a'].client)
        self.assertEqual(1, len(shard))
        self.assertLessEqual(fleet.store.writes, 1)
        fleet.stop()
