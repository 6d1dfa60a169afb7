"""Which requests are taken: unknown keys, stale views, a router that stops."""

import unittest

from galenaspoke.core import catalog
from galenaspoke.edge import admission
from galenaspoke.edge import outcomes
from galenaspoke.edge import poison
from galenaspoke.http import messages
from galenaspoke.platform import headers
from tests.core import test_catalog
from tests.edge import base


class Config:
    """A configuration's view that a test sets."""

    def __init__(self, catalog_, fresh):
        self.catalog = catalog_
        self.fresh = fresh
        self.newer = None

    def has_config(self):
        """Tell whether there is one."""
        return self.catalog is not catalog.EMPTY

    def confirm(self):
        """Read again, if the store can be reached."""
        if self.fresh and self.newer:
            self.catalog = self.newer
        return self.fresh


def published(*keys):
    """Return a catalog with some keys of one account."""
    return catalog.Catalog(
        1,
        [test_catalog.route('/a/', timeout_ms=15_000)],
        [],
        [catalog.Account('desk')],
        dict.fromkeys(keys, 'desk'),
        catalog.Limits(),
    )


class AdmissionTest(unittest.TestCase):
    """Requests before they are placed."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.config = Config(published('k'), fresh=True)

    def admit(self, path='/a/x', key='k', stop=None):
        """Return the status of the refusal, or None for a request taken."""
        req = messages.Request()
        req.method, req.url = b'GET', path.encode()
        req.headers = [(b'host', b'Desk:80'), (b'api-key', key.encode())]
        req.arrived_at = self.clock.now()
        found = admission.Admission(
            self.config, poison.PoisonDetector(self.clock), headers
        )
        if stop:
            found.begin_shutdown(*stop)
        result = found.admit(req)
        if isinstance(result, outcomes.Refusal):
            return result.status, result.reason
        return None

    def test_taken(self):
        self.assertIsNone(self.admit())

    def test_unknown_key_and_route(self):
        reasons = outcomes.Reason
        self.assertEqual((401, reasons.UNKNOWN_KEY), self.admit(key='no'))
        self.assertEqual((404, reasons.UNKNOWN_ROUTE), self.admit('/b/'))

    def test_nothing_is_denied_on_a_stale_view(self):
        self.config.fresh = False
        stale = (503, outcomes.Reason.VIEW_STALE)
        self.assertEqual(stale, self.admit(key='no'))
        self.assertEqual(stale, self.admit('/b/'))
        self.assertIsNone(self.admit())

    def test_key_that_was_just_added(self):
        self.config.newer = published('k', 'new')
        self.assertIsNone(self.admit(key='new'))

    def test_no_configuration(self):
        self.config.catalog = catalog.EMPTY
        self.assertEqual(503, self.admit()[0])

    def test_router_that_stops(self):
        now = self.clock.now()
        soon = now + 5_000
        self.assertIsNone(self.admit(stop=(now + 1, soon)))
        self.assertEqual(
            (503, outcomes.Reason.LEAVING), self.admit(stop=(now - 1, soon))
        )
        self.assertIsNone(self.admit(stop=(now - 1, now + 20_000)))
