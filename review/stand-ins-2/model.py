"""Stand-in for a model engine that streams, by PROTOCOL.md.

Usage: model.py IP:PORT STORE ID SERVICE ZONE LOG EVENTS EVENT_BYTES GAP_MS
    [FIRST_MS]

It answers each request with a stream of events in chunks, and /report with its
state.  The log has what it ran, one JSON line an event.
"""

import asyncio
import json
import sys

import application
import http11


class Model(application.Application):
    """One incarnation of the engine."""

    def __init__(self, argv):
        super().__init__(argv[:7])
        self.events, self.event_bytes = int(argv[7]), int(argv[8])
        self.gap_s = float(argv[9]) / 1000
        self.first_s = float(argv[10]) / 1000 if argv[10:] else 0
        self.slots = 64
        self.runs = {}

    async def handle(self, writer, first, headers, body):
        path = first.split(' ')[1]
        request_id = headers.get('x-request-id', '')
        if headers.get('x-expect-instance', self.id) != self.id or (
            path == '/health'
        ):
            return await super().handle(writer, first, headers, body)
        if path == '/report':
            runs = [[name, 100, sent, 5] for name, sent in self.runs.items()]
            report = {
                'Stage': 'unified',
                'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
                'Busy': False,
                'Seq': 0,
                'Queued': 0,
                'Active': len(runs),
                'KvUsed': 0,
                'KvTotal': 500_000,
                'Handles': 0,
                'Runs': runs,
                'born': self.born,
            }
            own = [('Content-Type', 'application/json')]
            raw = json.dumps(report).encode()
            writer.write(http11.encode('HTTP/1.1 200 OK', own, raw))
            return True
        if not request_id:
            own = [('X-Not-Run', '1')]
            writer.write(http11.encode('HTTP/1.1 400 Bad Request', own))
            return True
        after = int(headers.get('last-event-id') or 0)
        # An event holds 8 tokens at most.
        tokens = int(headers.get('x-token-usage', '0,0').split(',')[1])
        events = min(self.events, tokens // 8 or self.events)
        self.log('runs', request_id, after=after, body=len(body))
        head = [
            'HTTP/1.1 200 OK',
            f'X-Request-Id: {request_id}',
            f'X-Response-Stamp: {self.id}.{self.born}.{request_id}',
            'X-Weight-Versions: 1',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            '',
            '',
        ]
        writer.write('\r\n'.join(head).encode())
        self.runs[request_id] = after
        try:
            await asyncio.sleep(self.first_s)
            for number in range(after + 1, events + 1):
                await asyncio.sleep(self.gap_s)
                event = make_event(request_id, number, self.event_bytes)
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
                self.runs[request_id] = number
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            self.log('whole', request_id, events=events - after)
        finally:
            del self.runs[request_id]
        return True


def make_event(request_id, number, size):
    """Return an event of `size` bytes."""
    begin = f'id: {number}\ndata: {request_id} '.encode()
    return begin + b'x' * (size - len(begin) - 2) + b'\n\n'


if __name__ == '__main__':
    asyncio.run(application.serve_engine(Model(sys.argv)))
