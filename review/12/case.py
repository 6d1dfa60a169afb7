"""One answer with wrong bytes, and what the router's other clients get.

Two routers serve clients that book seats (`non_idempotent`), look vouchers up
(`idempotent`) and read streams.  One of two model engines is faulty in one of
its streams: as the text of one event it writes the status line of its response
again and again, without a line end, and goes on after that.

A request is held past its route's time if it has no answer half a second after
the TimeoutMs of its route, though its client waits for longer.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand-ins-3'))

import http11  # noqa: E402
import world as worlds  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Less than half of what the router takes for the longest event.
WRONG_BYTES = 400_000
# The faulty engine has served as many streams well before.
WRONG_STREAM = 50
TRAFFIC_S = 50
# Prompts begin with one of so many parts, which prefer an engine each.
SHARED_PARTS = 8
TIMEOUT_MS = {'seat': 1_000, 'voucher': 1_000, 'chat': 12_000}
# How long clients wait, as they say themselves.
DEADLINE_MS = {'seat': 3_000, 'voucher': 3_000, 'chat': 15_000}
ALLOWED_S = 0.5


class Client:
    """Sends one request after another, each on a connection of its own."""

    def __init__(self, world, kind, router, results):
        self.world = world
        self.kind = kind
        self.router = router
        self.results = results

    async def run(self, until, pause_s):
        while time.monotonic() < until:
            await self.send()
            await asyncio.sleep(pause_s)

    async def send(self):
        request_id = uuid.uuid4().hex[:16]
        result = {
            'id': request_id,
            'kind': self.kind,
            'router': self.router,
            'sent': time.monotonic(),
        }
        self.world.record(
            'sent', id=request_id, kind=self.kind, router=self.router
        )
        self.results.append(result)
        try:
            result['status'] = await asyncio.wait_for(
                self.exchange(request_id), DEADLINE_MS[self.kind] / 1000
            )
        except TimeoutError:
            result['status'] = 'none'
        except (ConnectionError, OSError) as exc:
            result['status'] = f'closed: {exc}'
        result['answered'] = time.monotonic()
        self.world.record(
            'answered',
            id=request_id,
            status=result['status'],
            after_s=round(result['answered'] - result['sent'], 3),
        )

    async def exchange(self, request_id):
        reader, writer = await asyncio.open_connection(
            self.world.routers[self.router], worlds.FRONT, limit=http11.LIMIT
        )
        try:
            writer.write(self.encode(request_id))
            await writer.drain()
            message = await http11.read_head(reader)
            if message is None:
                raise ConnectionError('without an answer')
            await http11.read_body(reader, message)
            return int(message.first.split(' ')[1])
        finally:
            writer.close()

    def encode(self, request_id):
        headers = [
            ('Host', worlds.HOST),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(DEADLINE_MS[self.kind])),
            ('Api-Key', worlds.KEY),
        ]
        if self.kind == 'voucher':
            return http11.encode('GET /voucher/2f HTTP/1.1', headers)
        if self.kind == 'seat':
            body = b'seat' * 100
            return http11.encode('POST /seat/2f HTTP/1.1', headers, body)
        shared = int(request_id[:8], 16) % SHARED_PARTS
        headers += [
            ('X-Model', 'm'),
            ('X-Token-Usage', '1460,300'),
            ('X-Prompt-Prefix', f'5c1e07a{shared}:800,{request_id[:8]}:660'),
        ]
        body = json.dumps({'events': 30, 'id': request_id}).encode()
        return http11.encode('POST /chat/2f HTTP/1.1', headers, body)


async def watch_ready(world, until, gaps):
    """Ask each router once per second whether it is ready."""
    while time.monotonic() < until:
        for name in world.routers:
            began = time.monotonic()
            if not await world.is_ready(name, 30):
                gaps.append((name, 'not ready'))
            took_s = time.monotonic() - began
            if took_s > 1:
                gaps.append((name, round(took_s, 1)))
                world.record('ready.late', name=name, took_s=round(took_s, 1))
        await asyncio.sleep(1)


async def play(world):
    world.start_store()
    await world.await_store()
    routes = [
        worlds.make_route('/chat/', 'stream', 'huvo11a', 12_000, 400, 2),
        worlds.make_route(
            '/seat/', 'non_idempotent', 'wuno96b', 1_000, 150, 1
        ),
        worlds.make_route('/voucher/', 'idempotent', 'wuno96b', 1_000, 150, 2),
    ]
    services = [worlds.MODEL_SERVICE, worlds.APP_SERVICE]
    await world.publish(
        worlds.make_config(7, routes, services, worlds.TENANTS)
    )
    for number in (1, 2):
        zone = f'qld-east-{"ab"[number - 1]}'
        wrong = {}
        if TROUBLE and number == 1:
            wrong = {'wrong_bytes': WRONG_BYTES, 'wrong_stream': WRONG_STREAM}
        world.start_engine(f'i-model{number}', 'huvo11a', True, zone, **wrong)
        world.start_engine(f'i-desk{number}', 'wuno96b', False, zone)
        world.start_relay(f'side-{number}', zone)
        world.start_router(f'front-{number}', zone)
    await world.await_ready()
    await asyncio.sleep(3)
    results, gaps = [], []
    until = time.monotonic() + TRAFFIC_S
    tasks = [watch_ready(world, until, gaps)]
    for router in world.routers:
        for kind, count, pause_s in (
            ('seat', 2, 0.3),
            ('voucher', 2, 0.3),
            ('chat', 3, 0.2),
        ):
            tasks += [
                Client(world, kind, router, results).run(until, pause_s)
                for _ in range(count)
            ]
    await asyncio.gather(*tasks)
    return results, gaps


def judge(world, results, gaps):
    """Return the exit code, by the rule CONFIG as it is written."""
    runs = world.read_runs()
    wrong = [run for run in runs if run['what'] == 'wrong']
    begun = sum(run['what'] == 'run' for run in runs)
    open_at_timeout, late = [], []
    for result in results:
        timeout_s = TIMEOUT_MS[result['kind']] / 1000
        took_s = result['answered'] - result['sent']
        if took_s > timeout_s:
            open_at_timeout.append(result)
            if took_s > timeout_s + ALLOWED_S:
                late.append(result)
    served = sum(result['status'] == 200 for result in results)
    longest = max(r['answered'] - r['sent'] for r in results)
    lines = [
        f'trouble: {TROUBLE}; answers with wrong bytes: {len(wrong)}'
        f' of {begun} runs',
        f'requests: {len(results)}, answered with 200: {served}',
        f'unanswered at their TimeoutMs: {len(open_at_timeout)},'
        f' of these half a second later: {len(late)},'
        f' the longest after {longest:.1f} s',
        f'late or missing answers to GET /ready: {gaps}',
    ]
    for line in lines:
        world.record('verdict', line=line)
        print(line)
    if TROUBLE and not wrong:
        raise worlds.CannotRun('the faulty engine got too few streams')
    if not served:
        raise worlds.CannotRun('nothing was served')
    return 1 if 2 * len(late) > len(open_at_timeout) and len(late) > 3 else 0


def main():
    with tempfile.TemporaryDirectory() as temporary:
        try:
            world = worlds.World(FOLDER, temporary)
        except worlds.CannotRun as exc:
            print(f'cannot run: {exc}')
            return 2
        try:
            results, gaps = asyncio.run(play(world))
            return judge(world, results, gaps)
        except worlds.CannotRun as exc:
            print(f'cannot run: {exc}')
            return 2
        finally:
            world.stop()


if __name__ == '__main__':
    sys.exit(main())
