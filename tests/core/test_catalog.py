"""Routes by host and longest prefix, split by weight; accounts by key."""

import unittest

from galenaspoke.core import catalog


def route(prefix, **options):
    """Return a route."""
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
    """One generation of the configuration."""

    def setUp(self):
        self.catalog = catalog.Catalog(
            3,
            [route('/'), route('/a/'), route('/a/b/')],
            [],
            [catalog.Account('desk')],
            {'k': 'desk'},
            catalog.Limits(),
        )

    def matched(self, path, host='desk'):
        """Return the name of the route that a path selects."""
        found = self.catalog.match(host, path)
        return found and found.name

    def test_longest_prefix(self):
        self.assertEqual('/a/b/', self.matched('/a/b/c'))
        self.assertEqual('/a/', self.matched('/a/bc'))
        self.assertEqual('/', self.matched('/ab'))
        self.assertIsNone(self.matched('/a', host='other'))

    def test_split(self):
        found = route('/', splits=(('a', 0.9), ('b', 0.1)))
        self.assertEqual('a', found.choose_service(0.89))
        self.assertEqual('b', found.choose_service(0.95))
        self.assertEqual('b', found.choose_service(1.0))

    def test_what_may_be_repeated(self):
        kind = catalog.RequestKind
        self.assertFalse(route('/').is_repeatable())
        self.assertTrue(route('/', kind=kind.IDEMPOTENT).is_repeatable())
        self.assertFalse(route('/', kind=kind.STREAM).is_repeatable())
        self.assertTrue(
            route('/', kind=kind.STREAM, resumable=True).is_repeatable()
        )

    def test_keys(self):
        self.assertEqual('desk', self.catalog.find_account('k').name)
        self.assertIsNone(self.catalog.find_account('unknown'))
