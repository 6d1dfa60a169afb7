"""Streams run on a service that a new configuration doesn't have any more."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import world as worlds  # noqa: E402

PREPAID = 4_000
INPUT_TOKENS = 100
OUTPUT_TOKENS = 384
# The tokens of an event.
STRIDE = 6
EARLY_STREAMS = 4


def make_service(name):
    """Return a service of model engines."""
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 370,
        'Engine': {'Slots': 64, 'KvCapacity': 600_000, 'Stride': STRIDE},
    }


def publish(world, version, service, services):
    """Publish a configuration that sends the route to `service`."""
    world.write_config(
        version,
        [
            world.route(
                '/talk/',
                service,
                'stream',
                TimeoutMs=15_000,
                Sticky=True,
            )
        ],
        [make_service(name) for name in services],
        [
            {
                'Name': 'tenant-1',
                'ApiKeys': ['key-1'],
                'Priority': 1,
                'Prepaid': PREPAID,
            }
        ],
    )


async def ask(world, router, number):
    """Send one request; return its status and the tokens that it consumed."""
    request_id = f'{number:08x}'
    connection = worlds.Connection(router.front)
    answer = await connection.ask(
        'POST',
        '/talk/a',
        world.host,
        [
            f'X-Request-Id: {request_id}',
            'X-Model: m',
            f'X-Token-Usage: {INPUT_TOKENS},{OUTPUT_TOKENS}',
            f'X-Prompt-Prefix: 5c1e07a2:60,{number:08x}:40',
            'X-Deadline-Ms: 15000',
            'Api-Key: key-1',
        ],
        b'x' * 200,
        timeout_s=16,
    )
    connection.close()
    tokens = 0
    if answer.status == 200:
        tokens = INPUT_TOKENS + STRIDE * answer.body.count(b'\n\n')
    world.record(
        f'client gets {answer.status} {answer.why} {request_id}, {tokens}'
        ' tokens in and out'
    )
    return answer.status, tokens


async def main(world):
    """Play the case."""
    for service in ('pool-a', 'pool-b'):
        engine = worlds.Engine(
            world.store, world.record, service, 'zone-a', world.new_address()
        )
        engine.stride = STRIDE
        await engine.start()
    publish(world, 7, 'pool-a', ['pool-a', 'pool-b'])
    router = await world.start_process('front-0', 'edge')
    if not await router.wait_ready():
        return worlds.NOT_RUN
    await asyncio.sleep(worlds.BOUNDS['StableWindowMs'] / 1000 + 1)
    early = [
        asyncio.create_task(ask(world, router, number))
        for number in range(EARLY_STREAMS)
    ]
    await asyncio.sleep(1)
    if world.trouble:
        publish(world, 12, 'pool-b', ['pool-b'])
    results = await asyncio.gather(*early)
    consumed = sum(tokens for _, tokens in results)
    if consumed < EARLY_STREAMS * INPUT_TOKENS:
        return worlds.NOT_RUN
    for number in range(EARLY_STREAMS, 20):
        status, tokens = await ask(world, router, number)
        consumed += tokens
        if status == 402:
            break
        if status == 503:
            await asyncio.sleep(1)
    world.record(f'{consumed} tokens consumed of {PREPAID} prepaid')
    return worlds.BROKEN if consumed > PREPAID else worlds.HELD


if __name__ == '__main__':
    worlds.run(main, HERE)
