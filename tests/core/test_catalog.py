"""Tests for the catalog: routes, traffic splits and accounts by API key."""

import unittest

from galenaspoke.core import catalog


def make_route(prefix, **options):
    """Return a Route with the given prefix and default fields."""
    fields = {
        'name': prefix,
        'host': 'desk',
        'prefix': prefix,
        'kind': catalog.RequestKind.ONCE,
        'splits': (('pool', 1.0),),
        'timeout_ms': 1000,
        'latency_target_ms': 100,
        'max_attempts': 1,
        'priority': 0,
        'public': False,
        'resumable': False,
        'gap_target_ms': 0,
        **options,
    }
    return catalog.Route(**fields)


class CatalogTest(unittest.TestCase):
    """Looks up routes, services and accounts in one generation."""

    def setUp(self):
        self.catalog = catalog.Catalog(
            3,
            [make_route('/'), make_route('/a/'), make_route('/a/b/')],
            [],
            [catalog.Account('desk')],
            {'k': 'desk'},
            catalog.Limits(),
        )

    def match_route(self, path, host='desk'):
        """Return the name of the route that matches a path, or None."""
        found = self.catalog.match(host, path)
        return found and found.name

    def test_longest_prefix_wins(self):
        self.assertEqual('/a/b/', self.match_route('/a/b/c'))
        self.assertEqual('/a/', self.match_route('/a/bc'))
        self.assertEqual('/', self.match_route('/ab'))
        self.assertIsNone(self.match_route('/a', host='other'))

    def test_split_by_share(self):
        found = make_route('/', splits=(('a', 0.9), ('b', 0.1)))
        self.assertEqual('a', found.choose_service(0.89))
        self.assertEqual('b', found.choose_service(0.95))
        self.assertEqual('b', found.choose_service(1.0))

    def test_repeatable_requests(self):
        kind = catalog.RequestKind
        self.assertFalse(make_route('/').is_repeatable())
        self.assertTrue(make_route('/', kind=kind.IDEMPOTENT).is_repeatable())
        self.assertFalse(make_route('/', kind=kind.STREAM).is_repeatable())
        self.assertTrue(
            make_route('/', kind=kind.STREAM, resumable=True).is_repeatable()
        )

    def test_account_by_api_key(self):
        self.assertEqual('desk', self.catalog.find_account('k').name)
        self.assertIsNone(self.catalog.find_account('unknown'))
