"""Stand-in for an engine, a model engine or one of an application.

`python3 engine.py SETTINGS`, a JSON file.  It writes its entry to the store
once in a heartbeat, refuses what is meant for another engine, and logs each
run.  Events are chunked; each holds `Stride` tokens, and the text says which
request, version and event it is.

With `wrong_stream` in the settings it is faulty: the stream of that number has
`wrong_bytes` in the text of one event that are none of its own.
"""

import asyncio
import json
import os
import sys
import time

import http11

HEARTBEAT_S = 1.2
STRIDE = 6
EVENT_S = 0.03
FIRST_S = 0.06


class Engine:
    def __init__(self, cfg):
        self.cfg = cfg
        self.id = cfg['id']
        self.born = time.time_ns() // 1_000_000
        self.streams = 0
        self.runs = {}
        self.log = open(cfg['log'], 'a', buffering=1)
        self.entry = {
            'Service': cfg['service'],
            'Addr': cfg['listen'],
            'Zone': cfg['zone'],
            'Version': cfg['version'],
            'Slots': cfg['slots'],
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 0,
            'born': self.born,
        }

    def note(self, **fields):
        fields['at'] = round(time.time(), 3)
        self.log.write(json.dumps(fields) + '\n')

    async def beat(self):
        while True:
            self.entry['Seq'] += 1
            body = json.dumps(self.entry).encode()
            try:
                await http11.call(
                    self.cfg['store'], 'PUT', f'/beat/{self.id}', body
                )
            except (ConnectionError, OSError, TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while (message := await http11.read_head(reader)) is not None:
                message.body = await http11.read_body(reader, message)
                if not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, message, reader, writer):
        path = message.first.split(' ')[1]
        request_id = message.get('x-request-id')
        echo = [('X-Request-Id', request_id)] if request_id else []
        expected = message.get('x-expect-instance', self.id)
        if expected != self.id:
            writer.write(http11.respond(421, b'', echo))
        elif path == '/health':
            own = [('X-Instance-Id', self.id)]
            writer.write(http11.respond(200, b'', own))
        elif path == '/report' and self.cfg['is_model']:
            kind = [('Content-Type', 'application/json')]
            writer.write(http11.respond(200, self.report(), kind))
        elif not request_id:
            refusal = [('X-Not-Run', '1')]
            writer.write(http11.respond(400, b'', refusal))
        else:
            return await self.run(message, request_id, echo, writer)
        await writer.drain()
        return True

    def report(self):
        return json.dumps(
            {
                'Stage': 'unified',
                'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
                'Busy': False,
                'Seq': 1,
                'Queued': 0,
                'Active': len(self.runs),
                'KvUsed': 100 * len(self.runs),
                'KvTotal': 669_655,
                'Handles': 0,
                'Runs': [[run, 100, 1, 5] for run in self.runs],
                'born': self.born,
            }
        ).encode()

    async def run(self, message, request_id, echo, writer):
        self.note(
            what='run',
            id=request_id,
            tenant=message.get('x-tenant'),
            after=message.get('last-event-id'),
        )
        self.runs[request_id] = 0
        stamp = f'{self.id}.{self.born}.{request_id}'
        head = [*echo, ('X-Response-Stamp', stamp)]
        how = 'cut'
        try:
            if self.cfg['is_model']:
                await self.stream(message, request_id, head, writer)
            else:
                await asyncio.sleep(self.cfg.get('work_s', 0.03))
                body = f'done {request_id}'.encode()
                writer.write(http11.respond(200, body, head))
                await writer.drain()
            how = 'whole'
        finally:
            sent = self.runs.pop(request_id)
            self.note(what='end', id=request_id, how=how, events=sent)
        return True

    async def stream(self, message, request_id, head, writer):
        self.streams += 1
        is_wrong = self.streams == self.cfg.get('wrong_stream')
        tokens = int(message.get('x-token-usage', '0,60').split(',')[1])
        document = json.loads(message.body)
        count = int(document['events'])
        after = int(message.get('last-event-id') or 0) // STRIDE
        head = [
            *head,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
            ('X-Weight-Versions', '1'),
        ]
        await asyncio.sleep(document.get('first_s', FIRST_S))
        writer.write(http11.encode('HTTP/1.1 200 OK', head))
        for number in range(after + 1, min(count, tokens) + 1):
            text = f'{self.cfg["version"]}.{number} {message.body.hex()[:16]}'
            event = f'id: {number * STRIDE}\ndata: {text}\n\n'.encode()
            if is_wrong and number == after + 3:
                size = self.cfg['wrong_bytes']
                event = make_wrong_bytes(size, number * STRIDE)
                self.note(what='wrong', id=request_id, bytes=len(event))
            writer.write(http11.chunk(event))
            await writer.drain()
            self.runs[request_id] += 1
            await asyncio.sleep(document.get('event_s', EVENT_S))
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def make_wrong_bytes(size, event_id):
    """Return an event whose text is the response's status line, repeated."""
    line = b'HTTP/1.1 200 OK '
    return b'id: %d\ndata: %s\n\n' % (event_id, line * (size // len(line)))


async def main(path):
    with open(path, encoding='utf-8') as settings:
        cfg = json.load(settings)
    engine = Engine(cfg)
    host, _, port = cfg['listen'].rpartition(':')
    server = await asyncio.start_server(
        engine.serve, host, int(port), limit=http11.LIMIT
    )
    async with server:
        await engine.beat()


if __name__ == '__main__':
    try:
        asyncio.run(main(sys.argv[1]))
    except KeyboardInterrupt:
        os._exit(0)
