"""Measure the slopes that docs/CAPACITY.md is calculated from.

The slopes are how resource usage grows with budgets, holders, agents, keys and
requests.  Run by `make slopes`: measures the memory and processor time of a
router and an agent, idle and under load, and the size and processing time of
ledger pages, configurations, registries and records.  Prints one line for each
figure, and writes all to build/slopes.json.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402

import msgspec  # noqa: E402

from bench import daemon_slopes  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import ledger  # noqa: E402
from galenaspoke.core import records  # noqa: E402
from galenaspoke.core import registry  # noqa: E402
from galenaspoke.core import runs as run_table  # noqa: E402
from galenaspoke.core import schema  # noqa: E402
from galenaspoke.edge.membership import router_list  # noqa: E402
from galenaspoke.edge.streams import origin_pages  # noqa: E402
from galenaspoke.edge.streams import stream_versions  # noqa: E402
from galenaspoke.edge.streams import version_notes  # noqa: E402
from galenaspoke.router import vouching  # noqa: E402
from galenaspoke.rpc import messages  # noqa: E402

OUTPUT = pathlib.Path('build/slopes.json')


class Figures:
    """The measured figures, by name."""

    def __init__(self):
        self.by_name = {}

    def record(self, name, value, unit):
        """Record and print one figure."""
        self.by_name[name] = {'value': round(value, 4), 'unit': unit}
        print(f'{name}: {value:.4g} {unit}', flush=True)


def _stop_tracing_kb():
    """Stop tracing memory; return the KB allocated since tracing began."""
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / 1000


def _time_ms(function, times):
    """Return the mean time of one call in milliseconds."""
    started = time.perf_counter()
    for _ in range(times):
        function()
    return (time.perf_counter() - started) * 1000 / times


def measure_pages(figures):
    """Measure the size and time of ledger pages by budgets and holders."""
    for budgets, holders in ((100, 1), (1000, 1), (1000, 5), (1, 890)):
        page = ledger.Page()
        for number in range(budgets):
            name = f'budget-{number:06d}'
            ledger.top_up(page, name, ledger.TopUp('1796344713496-x', 10**6))
            for holder in range(holders):
                ledger.draw(page, name, f'router-{holder}.abcdef012345', 9, 9)
        raw = msgspec.json.encode(page)
        label = f'page, {budgets} budgets, {holders} holders each'
        figures.record(f'{label}: size', len(raw) / 1000, 'KB')

        def round_trip(raw=raw):
            decoded = msgspec.json.decode(raw, type=ledger.Page)
            ledger.check_invariants(decoded)
            msgspec.json.encode(decoded)

        figures.record(
            f'{label}: read, check, write', _time_ms(round_trip, 5), 'ms'
        )


def measure_configurations(figures):
    """Measure whole configurations, and the size of one changed object."""
    for budgets in (1000, 8000):
        doc = {
            'policies': [{'name': 'std'}],
            'accounts': [{'name': 'a', 'policy': 'std'}],
            'budgets': [
                {'name': f'budget-{n:06d}', 'account': 'a'}
                for n in range(budgets)
            ],
        }
        raw = json.dumps(doc).encode()
        label = f'configuration, {budgets} budgets'
        figures.record(f'{label}: size', len(raw) / 1000, 'KB')
        figures.record(
            f'{label}: check and install',
            _time_ms(
                lambda raw=raw: (schema.parse(raw), schema.Config(1, raw)), 3
            ),
            'ms',
        )
    delta = msgspec.json.encode(schema.Budget('budget-000001', 'a'))
    figures.record('one object changed', len(delta), 'bytes')


def measure_agent_records(figures):
    """Measure the memory of a record at an agent, with its response."""
    tracemalloc.start()
    clock = clocks.Clock()
    claims, runs = records.Claims(clock), run_table.Runs(clock)
    count = 2000
    for number in range(count):
        key = f'account-{number % 9}/key-{number:08d}'
        claims.claim(key, f'{number:032x}', 'x' * 256, 'agent-1.abc')
        run = runs.start(key, 1, f'router-1.abcdef.{number}')
        run.place = 'x' * 256
        run.add([f'word{number % 50} ' for _ in range(300)])
        run.state = run_table.RunState.DONE
        run.finish(clock.now())
    used = _stop_tracing_kb() / count
    figures.record('record with an answer of 300 tokens', used, 'KB')


def measure_sent_keys(figures):
    """Measure the memory of a key that a router keeps for vouching."""
    tracemalloc.start()
    sent = vouching.SentKeys(clocks.Clock())
    count = 20_000
    for number in range(count):
        key = f'account-{number % 9}/key-{number:08d}'
        place = f'{number % 99} '.ljust(256)
        digest = f'{number:032x}'
        agent_id = f'agent-{number % 50}.abcdef012345'
        sent.add(
            agent_id, messages.Handed(key, digest, place, 1, agent_id, False)
        )
    used = _stop_tracing_kb() / count
    figures.record('key remembered by a router', used, 'KB')


def measure_registries(figures):
    """Measure the registry and placement by number of agents."""
    for agents in (10, 700):
        reg = registry.Registry('pool', 1)
        for number in range(agents):
            reg.entries.append(
                registry.AgentEntry(
                    'pool',
                    f'agent-{number}',
                    'abcdef012345',
                    '10.0.0.1:8201',
                    'zone-a',
                    registry.Phase.ACTIVE,
                )
            )
        raw = msgspec.json.encode(reg)
        figures.record(f'registry, {agents} agents', len(raw) / 1000, 'KB')
        figures.record(
            f'placement, {agents} agents',
            _time_ms(lambda reg=reg: registry.placement(reg, 'key'), 100),
            'ms',
        )
    status = messages.AgentStatus('agent-1', 'abcdef012345', 9, False, True, 5)
    figures.record(
        'heartbeat answer', len(msgspec.msgpack.encode(status)), 'bytes'
    )


def measure_router_lists(figures):
    """Measure the choices that routers agree on, by number of routers."""
    for count in (10, 890):
        routers = router_list.RouterList('front-0')
        routers.replace(
            {f'front-{number}': '10.0.0.1:7340' for number in range(count)}
        )
        targets = iter(range(100))
        figures.record(
            f'first share of a rate limit, {count} routers',
            _time_ms(
                lambda r=routers, t=targets: r.get_share(f'i-{next(t)}', 5),
                100,
            ),
            'ms',
        )
        figures.record(
            f'holders of a stream, {count} routers',
            _time_ms(lambda r=routers: r.list_holders('9c41', 2), 1000),
            'ms',
        )


def measure_version_notes(figures):
    """Measure notes of streams' versions and pages: bytes, time, memory."""
    count = 10_000
    origin = stream_versions.Origin('pool', 'v1.1')
    keys = [
        stream_versions.StreamKey(f'{number:012x}', f'{number:012d}')
        for number in range(count)
    ]
    note = version_notes.Note(
        [(keys[0].request, keys[0].content, origin.service, origin.version)]
    )
    data = msgspec.msgpack.encode(note)
    figures.record('note of a stream', len(data), 'bytes')
    streams = stream_versions.StreamVersions(clocks.Clock())
    notes = version_notes.VersionNotes(
        streams, None, None, clocks.Clock(), None
    )
    figures.record(
        'note of a stream, received',
        _time_ms(lambda: notes.handle(data, 'a'), count),
        'ms',
    )
    tracemalloc.start()
    for key in keys:
        streams.remember(key, origin)
    used = _stop_tracing_kb() / count
    figures.record('stream remembered by a router', used, 'KB')
    records = streams.list_since(0)
    page = msgspec.json.encode(origin_pages.make_page(records))
    figures.record('stream on a page', len(page) / count, 'bytes')
    figures.record(
        f'page of {count} streams',
        _time_ms(lambda: origin_pages.make_page(records), 20),
        'ms',
    )


IN_PROCESS_MEASUREMENTS = (
    measure_pages,
    measure_configurations,
    measure_registries,
    measure_agent_records,
    measure_sent_keys,
    measure_router_lists,
    measure_version_notes,
)


def main():
    """Measure all slopes."""
    figures = Figures()
    for measurement in (
        *IN_PROCESS_MEASUREMENTS,
        daemon_slopes.measure_daemons,
    ):
        measurement(figures)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(
        msgspec.json.format(msgspec.json.encode(figures.by_name))
    )
    print(f'wrote {OUTPUT}')


if __name__ == '__main__':
    main()
