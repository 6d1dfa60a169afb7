"""Stand-in for the platform's store, by PROTOCOL.md.

Usage: platform.py IP:PORT

It keeps objects with revisions, answers conditional writes, lists and watches,
and removes entries of kind `servers` after three heartbeats of silence.
"""

import asyncio
import json
import sys
import time
from urllib import parse

import http11

ANSWER_S = 0.004
HISTORY_S = 20
SILENCE_S = 3.6
FIRST_REVISION = 500


class Store:
    """All objects by kind and name."""

    def __init__(self):
        self.kinds = {}
        self.revision = FIRST_REVISION
        self.history = []
        self.forgotten = FIRST_REVISION
        self.changed = asyncio.Event()
        self.heard = {}

    def record(self, kind, obj, deleted):
        now = time.monotonic()
        self.history.append((now, obj['Metadata']['Rev'], kind, obj, deleted))
        while now - self.history[0][0] > HISTORY_S:
            self.forgotten = self.history.pop(0)[1]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write(self, kind, name, field, value):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if kind == 'servers':
            self.heard[name] = time.monotonic()
        if old is not None and old[field] == value:
            return old
        self.revision += 1
        metadata = {
            'Name': name,
            'Rev': self.revision,
            'CreateRevision': (
                old['Metadata']['CreateRevision'] if old else self.revision
            ),
            'Finalizers': [],
            'Deleting': False,
        }
        rest = old or {'Spec': None, 'Status': None}
        obj = {**rest, 'Metadata': metadata, field: value}
        objects[name] = obj
        self.record(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            metadata = {**obj['Metadata'], 'Rev': self.revision}
            self.record(kind, {**obj, 'Metadata': metadata}, True)
        return obj

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, at in list(self.heard.items()):
                if now - at > SILENCE_S:
                    del self.heard[name]
                    self.remove('servers', name)

    async def answer(self, method, url, body):
        await asyncio.sleep(ANSWER_S)
        path, _, query = url.partition('?')
        args = dict(parse.parse_qsl(query))
        parts = path.split('/')[2:]
        kind, name = parts[0], parse.unquote(parts[1]) if parts[1:] else None
        objects = self.kinds.get(kind, {})
        if method == 'GET' and 'Watch' in args:
            return await self.watch(kind, args)
        if method == 'GET' and name is None:
            names = sorted(n for n in objects if n > args.get('After', ''))
            items = [objects[n] for n in names[:500]]
            return 200, {
                'Items': items,
                'HasMore': len(names) > 500,
                'StoreRevision': self.revision,
            }
        if method == 'GET':
            obj = objects.get(name)
            return (200, obj) if obj else (404, {})
        document = json.loads(body) if body else {}
        metadata = document.get('Metadata') or {}
        name = name or metadata.get('Name')
        old = objects.get(name)
        if method == 'POST':
            if old is not None:
                return 409, old
            return 200, self.write(kind, name, 'Spec', document.get('Spec'))
        if old is None:
            return 404, {}
        expected = metadata.get('Rev', args.get('Rev'))
        if expected is not None and int(expected) != old['Metadata']['Rev']:
            return 409, old
        if method == 'DELETE':
            return 200, self.remove(kind, name)
        field = 'Status' if parts[2:] == ['status'] else 'Spec'
        return 200, self.write(kind, name, field, document.get(field))

    async def watch(self, kind, args):
        since = int(args['Watch'])
        until = time.monotonic() + int(args.get('WaitMs', 0)) / 1000
        while True:
            if since < self.forgotten:
                return 410, {}
            events = [
                {'Object': obj, 'Deleted': deleted}
                for _, rev, its_kind, obj, deleted in self.history
                if its_kind == kind and rev > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while (message := await http11.read_message(reader)) is not None:
                first, _, body = message
                method, url, _ = first.split(' ')
                status, value = await self.answer(method, url, body)
                own = [('Content-Type', 'application/json')]
                raw = json.dumps(value).encode()
                writer.write(http11.encode(f'HTTP/1.1 {status} -', own, raw))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def main():
    store = Store()
    host, port = sys.argv[1].rsplit(':', 1)
    server = await asyncio.start_server(store.serve, host, int(port))
    asyncio.ensure_future(store.expire())
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
