"""The stand-in for the platform's store, over real connections."""

import random
import unittest

import gevent
from gevent import socket

from standins import platform_store
from standins import raw_http

STORE_PORT = 8223


def reserve_address():
    """Return a free address."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return '%s:%d' % sock.getsockname()


class PlatformStoreTest(unittest.TestCase):
    """What a client sees."""

    def setUp(self):
        self.store = platform_store.PlatformStore(reserve_address())
        self.store.start()

    def call(self, method, path, document=None):
        """Return the status and the body of a call."""
        return raw_http.call(self.store.address, method, path, document, 5)

    def test_conditional_writes(self):
        """A write with an old revision is refused with the object."""
        document = {'Metadata': {'Name': 'a'}, 'Spec': 1}
        _, made = self.call('POST', '/objects/things', document)
        revision = made['Metadata']['Rev']
        self.assertEqual(
            self.call('POST', '/objects/things', document)[0], 409
        )
        newer = {'Metadata': {'Rev': revision}, 'Spec': 2}
        self.assertEqual(self.call('PUT', '/objects/things/a', newer)[0], 200)
        status, obj = self.call('PUT', '/objects/things/a', newer)
        self.assertEqual((status, obj['Spec']), (409, 2))
        path = f'/objects/things/a?Rev={revision}'
        self.assertEqual(self.call('DELETE', path)[0], 409)

    def test_pages(self):
        """A long list comes in pages."""
        for number in range(platform_store.PAGE_ITEMS + 1):
            self.store.put('things', f'{number:04}', b'1')
        _, page = self.call('GET', '/objects/things')
        self.assertTrue(page['HasMore'])
        last = page['Items'][-1]['Metadata']['Name']
        _, rest = self.call('GET', f'/objects/things?After={last}')
        self.assertEqual((len(rest['Items']), rest['HasMore']), (1, False))

    def test_watch(self):
        """A watch waits for a change; 410 tells that history is gone."""
        since = self.store.put('things', 'a', b'1').revision
        path = f'/objects/things?Watch={since}&WaitMs=3000'
        gevent.spawn_later(0.05, self.store.remove, 'things', 'a')
        _, body = self.call('GET', path)
        self.assertTrue(body['events'][0]['Deleted'])
        self.store.drop_history()
        self.assertEqual(self.call('GET', path)[0], 410)

    def test_silent_entry_is_removed(self):
        """An entry is there while its engine writes it."""
        self.call('PUT', '/entries/i-1', {'State': 'ready'})
        _, page = self.call('GET', '/objects/servers')
        self.assertEqual(page['Items'][0]['Spec'], {'State': 'ready'})
        gevent.sleep(platform_store.ENTRY_SILENCE_MS / 1000 + 0.5)
        self.assertEqual(self.store.count('servers'), 0)


class EntranceTest(unittest.TestCase):
    """Clients that have an address of their own."""

    def setUp(self):
        # Entrances have the ports that follow, so the address is its own.
        own = random.SystemRandom()
        ip = f'127.{own.randint(16, 250)}.{own.randint(1, 250)}.1'
        self.store = platform_store.PlatformStore(f'{ip}:{STORE_PORT}')
        self.entrances = [self.store.add_entrance() for _ in range(2)]
        self.store.start()

    def call(self, address):
        """Return the status of a call."""
        return raw_http.call(address, 'GET', '/objects/things', None, 0.3)[0]

    def test_turned_away(self):
        """One client is refused, others are served, and it is again."""
        own, other = self.entrances
        for status in (503, 429):
            self.store.turn_away(own, status)
            self.assertEqual(self.call(own), status)
            self.assertEqual(self.call(other), 200)
            self.assertEqual(self.call(self.store.address), 200)
        self.store.turn_away(own, None)
        self.assertEqual(self.call(own), 200)

    def test_no_response(self):
        """A refusal may be a reset, or silence."""
        own, other = self.entrances
        self.store.turn_away(own, platform_store.RESET)
        with self.assertRaises(ConnectionResetError):
            self.call(own)
        self.store.turn_away(own, platform_store.SILENCE)
        with self.assertRaises(TimeoutError):
            self.call(own)
        self.assertEqual(self.call(other), 200)
