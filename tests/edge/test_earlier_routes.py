"""Where routes led before, and the memory that takes.

The answers are compared with those of a router that keeps all configurations
whole.
"""

import gc
import random
import unittest
from unittest import mock

from galenaspoke.core import catalog
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.serving import admission
from galenaspoke.edge.serving import earlier_routes
from galenaspoke.http import messages
from galenaspoke.platform import headers
from tests.core import test_catalog
from tests.edge import base
from tests.edge import test_admission

HOSTS = ('desk', 'shop')
PREFIXES = ('/', '/a/', '/a/b/', '/a/b/c/', '/d/')
PATHS = ('/x', '/a/x', '/a/b/x', '/a/b/c/x', '/d/e/x', 'x')
SPLITS = (
    (('pool', 1.0),),
    (('other', 1.0),),
    (('pool', 0.3), ('other', 0.7)),
    (('third', 0.5), ('pool', 0.5)),
)
ABSENT_SHARE = 0.3
UNCHANGED_SHARE = 0.3
PAUSES_MS = (0, 1_000, 60_000)
CONFIGURATION_COUNT = 60
ROUTE_COUNT = 300
STORM_COUNT = 100
# Of two configurations, since one may be in use by a request.
MOST_KEPT_CATALOGS = 2


def make_catalog(generation, splits_by_route, timeout_ms=1_000):
    """Return a Catalog with these splits by host and prefix."""
    routes = [
        test_catalog.make_route(
            prefix, host=host, splits=splits, timeout_ms=timeout_ms
        )
        for (host, prefix), splits in splits_by_route.items()
    ]
    return catalog.Catalog(generation, routes, [], [], {}, catalog.Limits())


def draw_splits(rng):
    """Return where some routes lead, by host and prefix."""
    return {
        (host, prefix): rng.choice(SPLITS)
        for host in HOSTS
        for prefix in PREFIXES
        if rng.random() > ABSENT_SHARE
    }


def find_latest(services):
    """Return until when a request had each service at the latest."""
    latest = {}
    for service, until in services:
        latest[service] = max(until, latest.get(service, until))
    return latest


class WholeCatalogs:
    """Keeps each replaced configuration whole."""

    def __init__(self, first):
        self._catalog = first
        self._replaced = []

    def record(self, newer, now):
        """Record which configuration is in force at a time."""
        if newer is not self._catalog:
            self._replaced.append((self._catalog, now))
            self._catalog = newer
        self._replaced = [
            (earlier, until)
            for earlier, until in self._replaced
            if now - until <= earlier_routes.KEEP_MS
        ]

    def find_latest(self, host, path, point):
        """Return until when a request had each service, but today's."""
        services = []
        for earlier, until in self._replaced:
            route = earlier.match(host, path)
            if route is not None:
                services.append((route.choose_service(point), until))
        return find_latest(services)

    def get_service(self, host, path, point):
        """Return the service that a request has now, or None."""
        route = self._catalog.match(host, path)
        return None if route is None else route.choose_service(point)


class AnswersTest(unittest.TestCase):
    """Random configurations, with routes that hide each other."""

    # Guards against a stream that goes on at another service, or is refused
    # though its route has not moved.
    def test_answers_of_whole_catalogs(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.check_answers(random.Random(seed))

    def check_answers(self, rng):
        """Check the answers after each of some changes."""
        splits = draw_splits(rng)
        current = make_catalog(0, splits)
        whole = WholeCatalogs(current)
        routes = earlier_routes.EarlierRoutes(current)
        now = 0
        for generation in range(CONFIGURATION_COUNT):
            now += rng.choice(PAUSES_MS)
            if rng.random() > UNCHANGED_SHARE:
                splits = {**splits, **draw_splits(rng)}
                for gone in rng.sample(sorted(splits), 2):
                    del splits[gone]
            current = make_catalog(generation, splits)
            whole.record(current, now)
            routes.record(current, now)
            self.compare(whole, routes, rng.random())

    def compare(self, whole, routes, point):
        """Check the answers for all paths."""
        for host in HOSTS + ('none',):
            for path in PATHS:
                expected = whole.find_latest(host, path, point)
                found = find_latest(routes.list_services(host, path, point))
                # Not until when a request had the service that it has.
                service = whole.get_service(host, path, point)
                expected.pop(service, None)
                found.pop(service, None)
                self.assertEqual(expected, found)


class MemoryTest(unittest.TestCase):
    """Storms of configurations."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.config_view = test_admission.FakeConfigView(
            self.make_catalog(0), store_reachable=True
        )
        self.admission = admission.Admission(
            self.config_view,
            poison.PoisonDetector(self.clock, base.Recorder()),
            headers,
        )
        gc.collect()
        self.catalogs_before = count_catalogs()

    def make_catalog(self, generation, splits=SPLITS[0]):
        """Return a Catalog with ROUTE_COUNT routes."""
        return make_catalog(
            generation,
            {('desk', f'/{n}/'): splits for n in range(ROUTE_COUNT)},
            timeout_ms=1_000 + generation,
        )

    def resume(self):
        """Return what a stream is told that is resumed."""
        req = messages.Request()
        req.method, req.url = b'GET', b'/0/x'
        req.headers = [
            (b'host', b'desk'),
            (b'last-event-id', b'1'),
            (b'x-prompt-prefix', b'ab:10'),
        ]
        req.arrived_at = self.clock.now()
        return self.admission.admit(req).earlier_services

    def check_catalogs(self):
        """Check that no replaced configuration is kept whole."""
        gc.collect()
        kept = count_catalogs() - self.catalogs_before
        self.assertLessEqual(kept, MOST_KEPT_CATALOGS)

    # Guards against the memory of all configurations of the last minutes.
    def test_configurations_that_move_no_route(self):
        for generation in range(1, STORM_COUNT):
            self.config_view.catalog = self.make_catalog(generation)
            self.resume()
            self.clock.advance(60)
        self.check_catalogs()

    # Guards against a router that starts with many routes, and takes them all
    # for moved.
    def test_first_configuration(self):
        few = mock.patch.object(
            earlier_routes, 'MAX_KEPT_ROUTES', ROUTE_COUNT // 2
        )
        few.start()
        self.addCleanup(few.stop)
        self.admission._earlier_routes = earlier_routes.EarlierRoutes(
            catalog.EMPTY
        )
        self.assertEqual([], self.resume())

    # Guards against the memory of routes that move again and again; what was
    # forgotten counts as moved while streams of it may last.
    def test_routes_that_move_in_each_configuration(self):
        for generation in range(1, STORM_COUNT):
            splits = SPLITS[generation % 2]
            self.config_view.catalog = self.make_catalog(generation, splits)
            services = self.resume()
            self.clock.advance(60)
        self.check_catalogs()
        routes = self.admission._earlier_routes
        kept = sum(len(replaced.moved) for replaced in routes._replaced)
        self.assertLessEqual(kept, earlier_routes.MAX_KEPT_ROUTES)
        self.assertIn(
            earlier_routes.UNKNOWN_SERVICE, [name for name, _ in services]
        )
        self.clock.advance(earlier_routes.KEEP_MS + 1)
        self.assertEqual([], self.resume())


def count_catalogs():
    """Return how many configurations are in memory."""
    return sum(isinstance(o, catalog.Catalog) for o in gc.get_objects())
