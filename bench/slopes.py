"""The slopes that docs/CAPACITY.md is worked out from.

Run by `make slopes`: measures memory and processor time of a router and an
agent at rest and under load, bytes and time of ledger pages, configurations
and records, and prints one line for each slope.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench import callers  # noqa: E402
from bench import cluster as clusters  # noqa: E402
from bench import deployments  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import ledger  # noqa: E402
from galenaspoke.core import schema  # noqa: E402
from galenaspoke.core import records  # noqa: E402
from galenaspoke.core import registry  # noqa: E402
from galenaspoke.core import runs as run_table  # noqa: E402
from galenaspoke.router import vouching  # noqa: E402
from galenaspoke.rpc import messages  # noqa: E402

OUTPUT = pathlib.Path('build/slopes.json')
REST_S = 8
LOAD_S = 8
LOAD_CALLERS = 8
ANSWER_TOKENS = (20, 200)
PUBLICATIONS = 5
TICKS_PER_S = 100
BODY = {
    'account': 'flight-day',
    'budget': 'voucher-desk',
    'stream': True,
}


class Slopes:
    """What was measured, by name."""

    def __init__(self):
        self.found = {}

    def note(self, name, value, unit):
        """Print and keep one figure."""
        self.found[name] = {'value': round(value, 4), 'unit': unit}
        print(f'{name}: {value:.4g} {unit}', flush=True)


def _cpu_s(process):
    """Return the processor seconds that a process has used."""
    path = f'/proc/{process.popen.pid}/stat'
    fields = pathlib.Path(path).read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(process, kind):
    """Return the memory of a process in MB, by its kind in /proc."""
    path = f'/proc/{process.popen.pid}/status'
    for line in pathlib.Path(path).read_text().splitlines():
        if line.startswith(f'{kind}:'):
            return int(line.split()[1]) / 1024
    return 0.0


def _traced_kb():
    """Return the memory that was taken since tracing began, and end it."""
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken / 1000


def _timed(function, times):
    """Return the milliseconds that one call takes."""
    started = time.perf_counter()
    for _ in range(times):
        function()
    return (time.perf_counter() - started) * 1000 / times


def pages(slopes):
    """Measure ledger pages: bytes and time by budgets and holders."""
    for budgets, holders in ((100, 1), (1000, 1), (1000, 5), (1, 890)):
        page = ledger.Page()
        for number in range(budgets):
            name = f'budget-{number:06d}'
            ledger.top_up(page, name, ledger.TopUp('1796344713496-x', 10**6))
            for holder in range(holders):
                ledger.draw(page, name, f'router-{holder}.abcdef012345', 9, 9)
        raw = msgspec.json.encode(page)
        label = f'page, {budgets} budgets, {holders} holders each'
        slopes.note(f'{label}: size', len(raw) / 1000, 'KB')

        def turn(raw=raw):
            found = msgspec.json.decode(raw, type=ledger.Page)
            ledger.check_invariants(found)
            msgspec.json.encode(found)

        slopes.note(f'{label}: read, check, write', _timed(turn, 5), 'ms')


def configurations(slopes):
    """Measure a whole document, and what a change of one object is."""
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
        slopes.note(f'{label}: size', len(raw) / 1000, 'KB')
        slopes.note(
            f'{label}: check and install',
            _timed(
                lambda raw=raw: (schema.parse(raw), schema.Config(1, raw)), 3
            ),
            'ms',
        )
    delta = msgspec.json.encode(schema.Budget('budget-000001', 'a'))
    slopes.note('one object changed', len(delta), 'bytes')


def agent_records(slopes):
    """Measure the memory of an agent's records."""
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
    used = _traced_kb() / count
    slopes.note('record with an answer of 300 tokens', used, 'KB')


def sent_keys(slopes):
    """Measure the memory of what a router remembers to vouch for."""
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
    used = _traced_kb() / count
    slopes.note('key remembered by a router', used, 'KB')


def registries(slopes):
    """Measure the registry and placement by agents."""
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
        slopes.note(f'registry, {agents} agents', len(raw) / 1000, 'KB')
        slopes.note(
            f'placement, {agents} agents',
            _timed(lambda reg=reg: registry.placement(reg, 'key'), 100),
            'ms',
        )
    status = messages.AgentStatus('agent-1', 'abcdef012345', 9, False, True, 5)
    slopes.note(
        'heartbeat answer', len(msgspec.msgpack.encode(status)), 'bytes'
    )


def _measure(slopes, cluster, label, router, agent, seconds, work):
    """Note what a router and an agent use while `work` goes on."""
    processes = [cluster.processes[name] for name in (router, agent)]
    before = [_cpu_s(process) for process in processes]
    done = work(seconds)
    used = [
        _cpu_s(process) - start for process, start in zip(processes, before)
    ]
    for role, process, cpu in zip(('router', 'agent'), processes, used):
        slopes.note(
            f'{role}, {label}: processor', 100 * cpu / seconds, '% of a core'
        )
        resident = _memory_mb(process, 'VmRSS')
        slopes.note(f'{role}, {label}: memory', resident, 'MB')
        own = _memory_mb(process, 'RssAnon')
        slopes.note(f'{role}, {label}: of this not file-backed', own, 'MB')
        if done:
            slopes.note(
                f'{role}, {label}: processor for a request',
                1000 * cpu / done,
                'ms',
            )


def daemons(slopes):
    """Measure the daemons with few and with many agents, idle and busy."""
    for engines in (1, 12):
        with tempfile.TemporaryDirectory() as directory:
            with clusters.Cluster(directory) as cluster:
                _daemons(slopes, cluster, engines)


def _daemons(slopes, cluster, engines):
    deployment = deployments.small(
        deployments.QLD_EAST, engines, applications=1, routers=1
    )
    money = {'voucher-desk': 10**9, 'rebooking': 10, 'gift-chat': 10}
    deployments.start(
        cluster,
        deployment,
        money,
        engine={'token_ms': 2, 'slots': 64},
    )
    router = deployment.router_names()[0]
    agent = 'assistant-pool-0'
    label = f'{engines + 1} agents'

    def rest(seconds):
        gevent.sleep(seconds)
        return 0

    _measure(slopes, cluster, f'{label}, idle', router, agent, REST_S, rest)
    if engines > 1:
        _publications(slopes, cluster, deployment)
        return
    for tokens in ANSWER_TOKENS:
        load = _Load(cluster.addresses[router], tokens)
        label = f'answers of {tokens} tokens'
        _measure(slopes, cluster, label, router, agent, LOAD_S, load.run)
        rate = len(load.billed) / LOAD_S
        slopes.note(f'load, {label}: requests', rate, 'a second')


class _Load:
    """Callers that ask for answers of one length."""

    def __init__(self, address, tokens):
        self.billed = []
        self._address = address
        self._tokens = tokens

    def run(self, seconds):
        """Ask for some seconds; return how many were answered."""
        until = time.monotonic() + seconds
        tasks = [
            gevent.spawn(self._ask, n, until) for n in range(LOAD_CALLERS)
        ]
        gevent.joinall(tasks)
        return len(self.billed)

    def _ask(self, number, until):
        turn = 0
        while time.monotonic() < until:
            turn += 1
            key = f'{self._tokens}-{number}-{turn}'
            body = {**BODY, 'prompt': key, 'max_tokens': self._tokens}
            answer = callers.ask(self._address, 'assistant-pool', body, key)
            self.billed.append(answer.billed)
            gevent.sleep(0.1)


def _publications(slopes, cluster, deployment):
    """Measure how long a publication takes to be in force everywhere."""
    names = deployment.router_names()
    names += [name for name, _, _ in deployment.targets()]
    took = []
    for number in range(PUBLICATIONS):
        cluster.publish(deployment.document(queue=50 + number))
        started = time.monotonic()
        generation = number + 2
        cluster.wait(
            'the generation',
            lambda g=generation: all(
                cluster.state(name)['generation'] == g for name in names
            ),
        )
        took.append((time.monotonic() - started) * 1000)
    slopes.note(
        f'publication in force in {len(names)} processes: most',
        max(took),
        'ms',
    )


def main():
    """Measure all slopes."""
    slopes = Slopes()
    parts = (pages, configurations, registries, agent_records, sent_keys)
    for part in (*parts, daemons):
        part(slopes)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(slopes.found)))
    print(f'wrote {OUTPUT}')


if __name__ == '__main__':
    main()
