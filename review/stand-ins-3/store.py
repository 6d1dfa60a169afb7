"""Stand-in for the platform's metadata store, as PROTOCOL tells it.

`python3 store.py IP:PORT`.  Objects by kind and name, one revision counter,
conditional writes, lists and watches.  Entries of engines (kind `servers`)
that are silent for three heartbeats are removed.  An engine writes its entry
as `PUT /beat/ID`, its own way into the store.
"""

import asyncio
import json
import sys
import time
from urllib import parse

import http11

HEARTBEAT_S = 1.2
ANSWER_S = 0.004
HISTORY_S = 20
PAGE = 500


class Store:
    def __init__(self):
        self.kinds = {}
        self.revision = 100
        self.history = []
        self.forgotten = 0
        self.heard = {}
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old['Spec'] == spec:
            return old
        self.revision += 1
        created = old['Metadata']['CreateRevision'] if old else self.revision
        obj = self._make(name, created, spec)
        objects[name] = obj
        self._record(kind, obj, False)
        return obj

    def remove(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            created = old['Metadata']['CreateRevision']
            self._record(kind, self._make(name, created, old['Spec']), True)
        return old

    def _make(self, name, created, spec):
        metadata = {
            'Name': name,
            'Rev': self.revision,
            'CreateRevision': created,
            'Finalizers': [],
            'Deleting': False,
        }
        return {'Metadata': metadata, 'Spec': spec, 'Status': None}

    def _record(self, kind, obj, deleted):
        now = time.monotonic()
        self.history.append((now, self.revision, kind, obj, deleted))
        while now - self.history[0][0] > HISTORY_S:
            self.forgotten = self.history.pop(0)[1]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, at in list(self.heard.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.heard[name]
                    self.remove('servers', name)

    async def serve(self, reader, writer):
        try:
            while (message := await http11.read_head(reader)) is not None:
                message.body = await http11.read_body(reader, message)
                await asyncio.sleep(ANSWER_S)
                status, document = await self.answer(message)
                body = json.dumps(document).encode()
                kind = [('Content-Type', 'application/json')]
                writer.write(http11.respond(status, body, kind))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        method, url, _ = message.first.split(' ')
        path, _, query = url.partition('?')
        args = dict(parse.parse_qsl(query))
        parts = path.strip('/').split('/')
        document = json.loads(message.body) if message.body else {}
        if parts[0] == 'beat':
            return 200, self._beat(method, parts[1], document)
        if parts[0] != 'objects' or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == 'GET' and 'Watch' in args:
            return await self._watch(kind, args)
        if method == 'GET' and name is None:
            return 200, self._list(kind, args.get('After', ''))
        if method == 'GET':
            obj = self.kinds.get(kind, {}).get(name)
            return (200, obj) if obj else (404, {})
        return self._write(method, kind, name, args, document)

    def _beat(self, method, name, document):
        if method == 'DELETE':
            self.heard.pop(name, None)
            self.remove('servers', name)
        else:
            self.heard[name] = time.monotonic()
            self.put('servers', name, document)
        return {}

    def _list(self, kind, after):
        objects = self.kinds.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return {
            'Items': [objects[name] for name in names[:PAGE]],
            'HasMore': len(names) > PAGE,
            'StoreRevision': self.revision,
        }

    async def _watch(self, kind, args):
        since = int(args['Watch'])
        until = time.monotonic() + int(args.get('WaitMs', 0)) / 1000
        while True:
            if since < self.forgotten:
                return 410, {}
            events = [
                {'Deleted': deleted, 'Object': obj}
                for _, revision, of, obj, deleted in self.history
                if of == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _write(self, method, kind, name, args, document):
        metadata = document.get('Metadata') or {}
        name = name or metadata.get('Name')
        old = self.kinds.get(kind, {}).get(name)
        if method == 'POST':
            if old is not None:
                return 409, old
            return 201, self.put(kind, name, document.get('Spec'))
        if old is None:
            return 404, {}
        expected = metadata.get('Rev', args.get('Rev'))
        if expected not in (None, ''):
            if int(expected) != old['Metadata']['Rev']:
                return 409, old
        if method == 'DELETE':
            return 200, self.remove(kind, name)
        return 200, self.put(kind, name, document.get('Spec'))


async def main(listen):
    host, _, port = listen.rpartition(':')
    store = Store()
    server = await asyncio.start_server(
        store.serve, host, int(port), limit=http11.LIMIT
    )
    async with server:
        await store.expire()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
