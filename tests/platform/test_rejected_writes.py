"""Writes that the platform's store rejects, whatever is tried again."""

import unittest

import gevent

from galenaspoke.edge.streams import service_versions
from galenaspoke.edge.streams import version_record
from galenaspoke.platform import store as platform_store
from galenaspoke.store import base as store_base
from tests.edge import base
from tests.platform import store_standin

WRITE_TIMEOUT_S = 5


class RejectedWriteTest(unittest.TestCase):
    """A kind of object that isn't the system's to write."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.metrics = base.Recorder()

    def make_client(self, era=None):
        """Return a client of a new store."""
        store = store_standin.PlatformStore(self.clock, era)
        return platform_store.Client(
            store_standin.Path(store), self.metrics, self.clock, self.metrics
        )

    # Guards against a write that is tried again without end: 35,702 calls to
    # the store on one day.
    def test_is_not_tried_again(self):
        with gevent.Timeout(WRITE_TIMEOUT_S):
            with self.assertRaises(store_base.Rejected):
                store_base.update(
                    self.make_client(),
                    'versions/pool',
                    service_versions.ServiceVersions,
                    lambda record: record.appearances.update(v1=1),
                )
        writes = self.metrics.events().count('store.post.versions')
        self.assertEqual(1, writes)

    def test_record_of_versions_is_written(self):
        for era in (None, 1):
            client = self.make_client(era)
            record = version_record.VersionRecord(client, self.clock)
            record.update('pool', {'v1'})
            self.assertEqual({'v1'}, set(record.read('pool').appearances))
            self.assertEqual({'v1'}, record.list_usable('pool'))
