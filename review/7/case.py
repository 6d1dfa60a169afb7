"""Callers that read slowly are cut off before they have their answers."""

import asyncio
import json
import os
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'stand-ins-2'))

import deployment  # noqa: E402

CALLERS = 6
EVENTS = 140
EVENT_BYTES = 420
GAP_MS = 15
DEADLINE_MS = 12_000
# What a caller's kernel holds for it, and how it reads: 5,500 bytes a second.
RECEIVE_BUFFER_BYTES = 6144
READ_BYTES = 550
READ_PAUSE_S = 0.1

CONFIG = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r-draft',
            'Host': 'desk.example',
            'PathPrefix': '/draft/',
            'Kind': 'stream',
            'TimeoutMs': DEADLINE_MS,
            'LatencyTargetMs': 2000,
            'Priority': 2,
            'Service': 'drafters',
            'MaxAttempts': 1,
            'Public': True,
            'Sticky': True,
            'Resumable': False,
            'GapTargetMs': 600,
        }
    ],
    'Services': [
        {
            'Name': 'drafters',
            'HealthPath': '/health',
            'MaxConns': 490,
            'Engine': {
                'Slots': 64,
                'KvCapacity': 511676,
                'Stride': 8,
                'Models': [{'Name': 'm'}],
            },
        }
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 4194304,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}


class Caller:
    """A caller with one connection, which it keeps."""

    def __init__(self, ip, number):
        self.number = number
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        self.ip = ip

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(
            self.sock, (self.ip, 8227)
        )

    async def ask(self, request_id, events, is_slow):
        """Send a request; return what was read, and why it ended."""
        loop = asyncio.get_running_loop()
        body = b'{"prompt": "a dossier"}'
        head = (
            f'POST /draft/{self.number} HTTP/1.1\r\nHost: desk.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Model: m\r\n'
            f'X-Token-Usage: 1460,{8 * events}\r\n'
            f'X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e44{self.number}:250'
            f'\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        await loop.sock_sendall(self.sock, head.encode() + body)
        data = b''
        until = time.monotonic() + DEADLINE_MS / 1000
        while not data.endswith(b'\r\n0\r\n\r\n'):
            if is_slow:
                await asyncio.sleep(READ_PAUSE_S)
            left_s = until - time.monotonic()
            size = READ_BYTES if is_slow else 65536
            try:
                piece = await asyncio.wait_for(
                    loop.sock_recv(self.sock, size), max(0.001, left_s)
                )
            except asyncio.TimeoutError:
                return data, 'the deadline has passed'
            except OSError as exc:
                return data, f'{exc}'
            if not piece:
                return data, 'closed'
            data += piece
        return data, 'whole'


async def case(dep, trouble):
    log = dep.directory / 'engine.jsonl'
    dep.start_store()
    await dep.wait_for_store()
    await dep.write('config', 'main', CONFIG)
    dep.start_stand_in(
        'engine',
        'model.py',
        f'{dep.net}.20:8300',
        dep.store,
        'i-7f3a91c2',
        'drafters',
        deployment.ZONE,
        log,
        EVENTS,
        EVENT_BYTES,
        GAP_MS,
    )
    ip = dep.start_role('edge', 'front-1', 10)
    await dep.wait_ready(ip)
    # No disruption of any machine for StableWindowMs, so it is in touch.
    await asyncio.sleep(4)

    async def call(number):
        caller = Caller(ip, number)
        await caller.connect()
        _, how = await caller.ask(f'first-{number}', 4, False)
        dep.record(f'first-{number}: {how}')
        began = time.monotonic()
        data, how = await caller.ask(f'second-{number}', EVENTS, trouble)
        took = time.monotonic() - began
        dep.record(
            f'second-{number}, on the kept connection: {how} after'
            f' {took:.1f} s, {len(data)} bytes, {data.count(b"data: ")} of'
            f' {EVENTS} events begun'
        )
        caller.sock.close()
        return how not in ('whole', 'the deadline has passed')

    lost = sum(await asyncio.gather(*map(call, range(1, CALLERS + 1))))
    for line in log.read_text().splitlines():
        entry = json.loads(line)
        dep.record(f'engine: {entry["what"]} {entry["id"]}')
    dep.record(f'{lost} of {CALLERS} kept connections ended without an answer')
    return lost > 3


if __name__ == '__main__':
    # TROUBLE=0 plays the same without the disruption.
    deployment.run(HERE, case, os.environ.get('TROUBLE', '1') != '0')
