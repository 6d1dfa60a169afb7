"""Configurations that aren't valid, or can't be read."""

import copy
import unittest

import msgspec

from galenaspoke.platform import configuration
from tests.platform import odd_objects

VALID = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r',
            'Host': 'Desk.example',
            'PathPrefix': '/a/',
            'Kind': 'stream',
            'Split': [
                {'Service': 'pool', 'Weight': 3},
                {'Service': 'other', 'Weight': 1},
            ],
            'TimeoutMs': 9_000,
            'LatencyTargetMs': 800,
            'MaxAttempts': 3,
            'Priority': 2,
            'GapTargetMs': 300,
        }
    ],
    'Services': [
        {
            'Name': 'pool',
            'HealthPath': '/h',
            'MaxConns': 90,
            'Engine': {'Slots': 6, 'KvCapacity': 90_000, 'Stride': 4},
            'ColdStartS': 2.5,
            'ColdPerS': 16,
        }
    ],
    'Tenants': [
        {'Name': 't', 'ApiKeys': ['k'], 'Priority': 1, 'Prepaid': 10**12}
    ],
    'Limits': {
        'MaxHeaderBytes': 9_000,
        'MaxBodyBytes': 90_000,
        'HeaderTimeoutMs': 900,
        'IdleTimeoutMs': 9_000,
    },
}
# Fields whose value only matters as a truth, or has a fallback.
LENIENT = ('Kind',)
WRONG = (-1, 2**70, 10**400, 1e300, [1], {'a': 7}, True)
# Unknown fields are ignored.
OBJECTS = ('Engine', 'Limits')


def list_paths(value, path=()):
    """Return the paths to all values within a value."""
    paths = []
    entries = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in entries:
        paths.append((*path, key))
        if isinstance(child, dict | list):
            paths += list_paths(child, (*path, key))
    return paths


def change(path, value):
    """Return the valid configuration with another value at a path."""
    changed = copy.deepcopy(VALID)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return msgspec.json.encode(changed)


class ConfigurationTest(unittest.TestCase):
    """A configuration is refused with a ValueError, or all of it is usable."""

    def test_valid_configuration(self):
        catalog = configuration.decode(msgspec.json.encode(VALID))
        self.assertEqual(7, catalog.generation)
        route = catalog.match('desk.example', '/a/b')
        self.assertEqual((('pool', 0.75), ('other', 0.25)), route.splits)
        self.assertEqual(2_500, catalog.services['pool'].cold_start_ms)
        self.assertEqual(10**12, catalog.find_account('k').prepaid)

    def test_missing_fields(self):
        catalog = configuration.decode(b'{"Version":1,"Routes":null}')
        self.assertEqual({}, catalog.services)
        service = b'{"Version":1,"Services":[{"Name":"a","MaxConns":null}]}'
        self.assertEqual(
            '/health', configuration.decode(service).services['a'].health_path
        )

    def test_wrong_values(self):
        for path in list_paths(VALID):
            if path[-1] in LENIENT:
                continue
            for wrong in WRONG:
                if path[-1] in OBJECTS and isinstance(wrong, dict):
                    continue
                with self.subTest(path=path, wrong=str(wrong)[:20]):
                    with self.assertRaises(ValueError):
                        configuration.decode(change(path, wrong))

    def test_lenient_values(self):
        for wrong in (7, None, 'other'):
            raw = change(('Routes', 0, 'Kind'), wrong)
            route = configuration.decode(raw).match('desk.example', '/a/')
            self.assertFalse(route.is_repeatable())

    def test_keys_that_are_text(self):
        # Each of its characters would be a key.
        with self.assertRaises(ValueError):
            configuration.decode(change(('Tenants', 0, 'ApiKeys'), 'abc'))

    def test_unreadable_bytes(self):
        for raw in (*odd_objects.ODD_SPECS.values(), b'', b'7', b'[]', b'{'):
            with self.subTest(raw=raw[:30]):
                with self.assertRaises(ValueError):
                    configuration.decode(raw)
