"""The pages that load balancers and operators read."""

import unittest

import msgspec

from galenaspoke.edge import status_pages
from tests.edge import base
from tests.edge import handlers


class StatusPagesTest(unittest.TestCase):
    """What each path returns."""

    def setUp(self):
        self.is_ready = True
        desk = handlers.Desk({'a': None})
        self.addCleanup(desk.close)
        desk.targets['a'].rate_limiter.record(2.5, 0, desk.clock.now())
        self.application = status_pages.make_application(
            lambda: self.is_ready,
            lambda: b'open 3\n',
            lambda: {'a': status_pages.dump_target(desk.targets['a'])},
        )

    def get(self, path):
        """Return the status and the body of a page."""
        statuses = []
        body = self.application(
            {'PATH_INFO': path}, lambda status, _: statuses.append(status)
        )
        return statuses[0][:3], b''.join(body)

    def test_ready(self):
        self.assertEqual(('200', b''), self.get('/ready'))
        self.is_ready = False
        self.assertEqual(('503', b''), self.get('/ready'))

    def test_metrics_and_unknown_path(self):
        self.assertEqual(('200', b'open 3\n'), self.get('/metrics'))
        self.assertEqual(('404', b''), self.get('/other'))

    def test_state_shows_limits_and_versions(self):
        status, body = self.get('/state')
        self.assertEqual('200', status)
        target = msgspec.json.decode(body)['a']
        entry = base.make_target_entry('a')
        self.assertEqual(2.5, target['limit_per_s'])
        self.assertEqual(entry.version, target['version'])
