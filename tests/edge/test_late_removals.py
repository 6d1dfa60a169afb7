"""Routers that restart while the end of their last process is written."""

import itertools
import unittest
from unittest import mock

import gevent

from galenaspoke.edge.membership import members
from galenaspoke.store import base as store_base
from tests.edge import version_fleets


class LateRemovalTest(unittest.TestCase):
    """A store that removes a router after it has been started again."""

    def setUp(self):
        self.fleet = version_fleets.VersionFleet(3, {'a': 'v1'})
        self.addCleanup(self.fleet.close)

    # Guards against a restarted router that nobody asks, since a write of the
    # process before, which was late, has removed it from the list.
    def test_router_that_restarts_while_its_removal_is_late(self):
        name = 'front-2'
        self.fleet.store.faults = ['late']
        with mock.patch.object(members, 'UNREGISTER_TIMEOUT_S', 0.01):
            with mock.patch.object(
                store_base, 'decode', side_effect=self.decode_once()
            ):
                self.fleet.members[name].unregister()
        late, self.fleet.store.late = self.fleet.store.late, None
        self.fleet.start(name)
        try:
            self.fleet.store.put(*late)
        except store_base.Conflict:
            pass
        self.assertTrue(self.fleet.members[name].is_registered())
        self.assertIn(name, self.fleet.members['front-0'].list_others())

    def decode_once(self):
        """Return a function that decodes an object, then waits for ever."""
        decode = store_base.decode
        calls = itertools.count()

        def run(*args):
            if next(calls):
                gevent.sleep(60)
            return decode(*args)

        return run
