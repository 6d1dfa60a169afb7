"""A router with a scripted engine that is about to stop.

Example::

    class MyTest(stopping.StopTestCase):
        def test_stop(self):
            self.router.stop()
"""

import unittest
from unittest import mock

import gevent
from gevent import event

from galenaspoke.core import catalog
from galenaspoke.edge import main
from galenaspoke.http import listening
from tests.edge import base
from tests.edge import handlers


class StopTestCase(unittest.TestCase):
    """A router whose engine answers once `may_finish` is set."""

    KIND = catalog.RequestKind.IDEMPOTENT
    REQUEST = (
        b'POST /a/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\n'
        b'Content-Length: 0\r\n\r\n' % handlers.REQUEST_ID
    )

    def setUp(self):
        # The event loop polls for bytes after each batch of greenlets, as it
        # does when many of them have to run on a slow processor.
        switch_interval_s = gevent.getswitchinterval()
        gevent.setswitchinterval(1e-9)
        self.addCleanup(gevent.setswitchinterval, switch_interval_s)
        self.started = []
        self.may_finish = event.Event()
        self.desk = handlers.Desk(
            {'i-1': self.run_engine}, kind=self.KIND, timeout_ms=30_000
        )
        cfg = base.make_edge_settings(grace_ms=main.GRACE_MARGIN_MS + 30_000)
        # A journal of its own would make the output of the run non-blocking.
        with mock.patch.object(main.journals, 'Journal'):
            self.router = main.EdgeRouter(cfg, 0)
        self.router.admission = self.desk.admission
        self.router.request_handler = self.desk.handler
        self.router.config_view = self.desk.config_view
        self.router.budget_manager = mock.Mock()
        self.router._members = mock.Mock()
        self.router._server = listening.serve(
            '127.0.0.1', 0, self.router.callers.serve
        )

    def tearDown(self):
        self.router._server.close()
        self.desk.close()

    def run_engine(self, remote, _):
        """Answer once `may_finish` is set."""
        self.started.append(remote)
        self.may_finish.wait()
        remote.sendall(handlers.encode_response())
