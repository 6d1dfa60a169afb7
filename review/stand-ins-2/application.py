"""Stand-in for an application engine, by PROTOCOL.md.

Usage: application.py IP:PORT STORE ID SERVICE ZONE LOG [WORK_MS [length]]

It answers each request with a body in two parts without a length, which ends
with the connection; or, with `length`, with one that has a length.  The log
has what it ran, one JSON line an event.
"""

import asyncio
import json
import sys
import time

import http11

HEARTBEAT_S = 1.2


class Application:
    """One incarnation of the engine."""

    def __init__(self, argv):
        self.address, self.store, self.id, self.service, self.zone = argv[1:6]
        self.log_path = argv[6]
        self.work_s = float(argv[7]) / 1000 if argv[7:] else 0.06
        self.has_length = argv[8:] == ['length']
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.slots = 6

    def log(self, what, request_id, **fields):
        line = {'at': time.monotonic(), 'what': what, 'id': request_id}
        line |= {'born': self.born, **fields}
        with open(self.log_path, 'a') as out:
            out.write(json.dumps(line) + '\n')

    async def beat(self):
        while True:
            self.seq += 1
            entry = {
                'Service': self.service,
                'Addr': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Seq': self.seq,
                'born': self.born,
            }
            raw = json.dumps(
                {'Metadata': {'Name': self.id}, 'Spec': entry}
            ).encode()
            try:
                path = f'/objects/servers/{self.id}'
                status, _ = await http11.call(self.store, 'PUT', path, raw)
                if status == 404:
                    await http11.call(
                        self.store, 'POST', '/objects/servers', raw
                    )
            except OSError:
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while (message := await http11.read_message(reader)) is not None:
                if not await self.handle(writer, *message):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, writer, first, headers, body):
        path = first.split(' ')[1]
        request_id = headers.get('x-request-id', '')
        echo = [('X-Request-Id', request_id)] if request_id else []
        if headers.get('x-expect-instance', self.id) != self.id:
            own = [*echo, ('X-Instance-Id', self.id)]
            writer.write(http11.encode('HTTP/1.1 421 Misdirected', own))
            return True
        if path == '/health':
            own = [('X-Instance-Id', self.id)]
            writer.write(http11.encode('HTTP/1.1 200 OK', own))
            return True
        if not request_id:
            own = [('X-Not-Run', '1')]
            writer.write(http11.encode('HTTP/1.1 400 Bad Request', own))
            return True
        self.log('runs', request_id)
        first_part = f'first half of {request_id} '.encode() + b'a' * 400
        second_part = b'b' * 400 + f' second half of {request_id}'.encode()
        if self.has_length:
            await asyncio.sleep(self.work_s)
            stamp = f'{self.id}.{self.born}.{request_id}'
            own = [*echo, ('X-Response-Stamp', stamp)]
            whole = first_part + second_part
            writer.write(http11.encode('HTTP/1.1 200 OK', own, whole))
            await writer.drain()
            return True
        head = [
            'HTTP/1.1 200 OK',
            f'X-Request-Id: {request_id}',
            f'X-Response-Stamp: {self.id}.{self.born}.{request_id}',
            'Content-Type: text/plain',
            'Connection: close',
            '',
            '',
        ]
        await asyncio.sleep(self.work_s / 2)
        writer.write('\r\n'.join(head).encode() + first_part)
        await writer.drain()
        self.log('first half sent', request_id)
        await asyncio.sleep(self.work_s / 2)
        writer.write(second_part)
        await writer.drain()
        self.log('whole', request_id)
        return False


async def serve_engine(engine):
    """Answer requests and write the engine's entry; never return."""
    host, port = engine.address.rsplit(':', 1)
    server = await asyncio.start_server(engine.serve, host, int(port))
    asyncio.ensure_future(engine.beat())
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(serve_engine(Application(sys.argv)))
