"""The first call of a command must not wait for a thread to start.

On a busy machine the thread of the resolver, which has nothing to look up,
used up the timeout of the call: "no response in time".
"""

import unittest
from unittest import mock

import gevent

from galenaspoke.conf import definitions
from galenaspoke.ctl import main
from galenaspoke.store import client as store_client
from galenaspoke.utils import metrics as utils_metrics


class ResolverTest(unittest.TestCase):
    """A call of a process that has imported `galenaspoke.ctl.main`."""

    def test_call_uses_no_thread(self):
        self.assertTrue(main.main)
        hub = gevent.get_hub()
        # The hub makes a new resolver, as at the start of a process.
        del hub.resolver
        self.addCleanup(delattr, hub, 'resolver')
        metrics = utils_metrics.Metrics(definitions.MetricsSettings(), '')
        cfg = definitions.StoreSettings(url='http://127.0.0.1:1')
        with mock.patch.object(hub, 'threadpool') as threadpool:
            with self.assertRaises(store_client.StoreUnavailable):
                store_client.Client(cfg, metrics).get('key')
        self.assertEqual([], threadpool.mock_calls)
