"""The stand-in for the platform's object API, called in process."""

import unittest

import gevent
import msgspec

from standins import common
from standins import store as store_standin

LONG_WAIT_MS = 600_000


class WatchTest(unittest.TestCase):
    """A watch of the holder records, which waits for a change."""

    def setUp(self):
        self.store = store_standin.Store(common.EventLog(''), 100, 100)
        self.version = self.write('PUT', 'holders/r1.a', 0)

    def call(self, method, path, query='', **environ):
        """Call the stand-in; return the headers and the body."""
        headers = {}
        environ['REQUEST_METHOD'] = method
        environ['PATH_INFO'] = path
        environ['QUERY_STRING'] = query
        body = self.store(environ, lambda _, pairs: headers.update(pairs))
        return headers, b''.join(body)

    def write(self, method, key, version):
        """Write an empty object or delete one; return the new revision."""
        environ = {'HTTP_IF_VERSION': str(version), 'wsgi.input': EmptyBody()}
        headers, _ = self.call(method, f'/objects/{key}', **environ)
        return int(headers['Version'])

    def watch(self, since):
        """Start to watch the holder records in a greenlet; return it."""
        query = f'since={since}&wait_ms={LONG_WAIT_MS}'
        task = gevent.spawn(self.call, 'GET', '/watch/holders/', query)
        self.addCleanup(task.kill)
        gevent.idle()
        return task

    def read_listing(self, task):
        """Return what a watch that has ended returned."""
        gevent.idle()
        self.assertTrue(task.ready())
        _, body = task.value
        return msgspec.json.decode(body)

    def test_deletion(self):
        """A watch ends at a deletion.

        It waited for the next write or until its time was over, so routers
        kept the records of holders that had closed that long.
        """
        task = self.watch(self.version)
        self.assertFalse(task.ready())
        revision = self.write('DELETE', 'holders/r1.a', self.version)
        listing = self.read_listing(task)
        self.assertEqual({'revision': revision, 'items': []}, listing)

    def test_deletion_before_the_watch(self):
        self.write('DELETE', 'holders/r1.a', self.version)
        self.assertEqual(
            [], self.read_listing(self.watch(self.version))['items']
        )

    def test_change_elsewhere(self):
        """A watch goes on at changes outside its prefix."""
        task = self.watch(self.version)
        version = self.write('PUT', 'agents/pool', 0)
        self.write('DELETE', 'agents/pool', version)
        gevent.idle()
        self.assertFalse(task.ready())

    def test_written_again_after_deletion(self):
        revision = self.write('DELETE', 'holders/r1.a', self.version)
        task = self.watch(revision)
        version = self.write('PUT', 'holders/r1.a', 0)
        listing = self.read_listing(task)
        self.assertEqual(version, listing['items'][0]['version'])


class EmptyBody:
    """The body of a request that stores JSON null."""

    def read(self):
        return b'null'
