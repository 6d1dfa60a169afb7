"""The largest events of services while configurations follow each other."""

import unittest

from galenaspoke.core import catalog
from galenaspoke.edge.serving import event_sizes
from galenaspoke.edge.streams import resumption

# How long a size counts after it was replaced.
KEPT_MS = resumption.CONFIG_LAG_MS


class EventSizesTest(unittest.TestCase):
    """One service, whose events change."""

    def setUp(self):
        self.sizes = event_sizes.EventSizes()

    def record(self, size, now):
        """Record a configuration with a size; None for no service."""
        services = []
        if size is not None:
            services = [catalog.Service('pool', '/', 100, event_tokens=size)]
        self.sizes.record(
            catalog.Catalog(1, [], services, [], {}, catalog.Limits()), now
        )

    def check(self, size, now):
        """Check the largest size at a time."""
        self.assertEqual(size, self.sizes.find_largest('pool', now))

    def test_nothing_recorded(self):
        self.check(0, 0)

    def test_smaller_events(self):
        self.record(6, 0)
        self.record(1, 1_000)
        self.check(6, KEPT_MS)
        self.check(1, KEPT_MS + 1_000)

    def test_larger_events(self):
        self.record(6, 0)
        self.record(8, 1_000)
        self.check(8, 1_000)

    # Guards against a size that several configurations in a row hide.
    def test_several_changes(self):
        self.record(6, 0)
        for now, size in enumerate((1, None, 2, 1), start=1):
            self.record(size, now)
            self.check(6, now)
        self.check(6, KEPT_MS + 1)

    def test_dropped_service(self):
        self.record(6, 0)
        self.record(None, 1_000)
        self.check(6, 1_000)
        self.check(0, KEPT_MS + 1_000)

    # Guards against memory that grows with each service that ever was.
    def test_old_sizes_are_forgotten(self):
        for now in range(0, 10 * KEPT_MS, KEPT_MS):
            self.record(6, now)
            self.record(None, now + 1)
        self.assertEqual(1, len(self.sizes._earlier))
