"""Floods one edge router, and tells its memory and what others still get.

Example::

    python -m bench.floods --product /work/base --case tiny-chunks --case none

Each case has a router, a store and two engines of its own.  One engine is
faulty or its callers are; a caller of the other one's service counts answers.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench import edge_fleet  # noqa: E402
from bench import flood_callers  # noqa: E402
from bench import memory  # noqa: E402
from bench import processes  # noqa: E402
from standins import edge_floods  # noqa: E402
from standins import platform_documents  # noqa: E402
from standins import platform_store  # noqa: E402
from standins import raw_http  # noqa: E402

ROOT = pathlib.Path(__file__).parents[1]
NONE = 'none'
CASES = (NONE, *edge_floods.CASES, *flood_callers.CASES)
FAULTY_SERVICE = 'faulty'
WELL_PREFIX = '/plain/ask/'
SLOTS = 128
CONNECTIONS = 370
WELL_SLOTS = 8
CONFIG_VERSION = 1
READY_TIMEOUT_S = 30
# How long the router runs quietly before and after.
QUIET_S = 1.5
ANSWER_TIMEOUT_S = 8.0


class Answers:
    """What a caller of the service that is well got."""

    __slots__ = ('count', 'failed', 'slowest_s')

    def __init__(self):
        self.count = 0
        self.failed = 0
        self.slowest_s = 0.0

    def add(self, is_success, took_s):
        """Count an answer."""
        if is_success:
            self.count += 1
        else:
            self.failed += 1
        self.slowest_s = max(self.slowest_s, took_s)


class Result:
    """The router's memory before, at its most and after, and the answers."""

    __slots__ = ('before_mb', 'peak_mb', 'after_mb', 'answers', 'exit_code')

    def __init__(self):
        self.before_mb = self.peak_mb = self.after_mb = 0.0
        self.answers = Answers()
        # None while the router lives.
        self.exit_code = None

    def describe(self, case):
        """Return a line of the table."""
        ended = ''
        if self.exit_code is not None:
            ended = f', the router ended with {self.exit_code}'
        return (
            f'{case:20} before {self.before_mb:4.0f} MB,'
            f' peak {self.peak_mb:4.0f}, after {self.after_mb:4.0f};'
            f' well service: {self.answers.count:3} answers,'
            f' {self.answers.failed} failed,'
            f' slowest {self.answers.slowest_s:.2f} s{ended}'
        )


class Site:
    """A router, its store and two engines."""

    def __init__(self, product, case, directory):
        self._case = case
        self._product = product
        self._directory = directory
        own = random.SystemRandom()
        self._net = f'127.{own.randint(16, 250)}.{own.randint(1, 250)}'
        self.store = platform_store.PlatformStore(f'{self._net}.1:8223')
        self.router = edge_fleet.Machine(
            'router-0', f'{self._net}.2', platform_documents.ZONES[0], None
        )
        self._engines = []

    @property
    def front(self):
        """Return where callers go."""
        return f'{self.router.ip}:{platform_documents.FRONT_PORT}'

    def start(self):
        """Start all of it; return once the router is ready."""
        self.store.start()
        self.store.put(
            platform_documents.CONFIG_KIND,
            platform_documents.CONFIG_NAME,
            json.dumps(_make_config()).encode(),
        )
        self._start_engines()
        self._start_router()
        with gevent.Timeout(READY_TIMEOUT_S):
            while not self._is_up():
                gevent.sleep(0.1)

    def _is_up(self):
        count = self.store.count(platform_store.KIND_OF_ENTRIES)
        return count == 2 and edge_fleet.is_ready(self.router)

    def _start_engines(self):
        case = flood_callers.ENGINE_CASES.get(self._case, self._case)
        is_stream = case in edge_floods.STREAM_CASES
        service = (
            platform_documents.MODEL_SERVICE if is_stream else FAULTY_SERVICE
        )
        options = ['--slots', str(SLOTS), '--connections', str(CONNECTIONS)]
        if case in edge_floods.CASES:
            options += ['--flood', case]
        self._start_engine('faulty', service, 3, options)
        well = platform_documents.APPLICATION_SERVICE
        self._start_engine('well', well, 4, ['--slots', str(WELL_SLOTS)])

    def _start_engine(self, name, service, host, options):
        address = f'{self._net}.{host}:{edge_fleet.ENGINE_PORT}'
        argv = [sys.executable, '-m', 'standins', 'edge-engine']
        argv += ['--listen', address, '--announce', address]
        argv += ['--store', self.store.address, '--service', service]
        argv += ['--zone', self.router.zone, '--instance', f'i-{name}']
        argv += ['--version', 'v1', '--early', '0']
        argv += ['--log', str(self._directory / f'{name}.runs'), *options]
        engine = processes.Process(name, argv, self._directory, cwd=ROOT)
        self._engines.append(engine)

    def _start_router(self):
        settings = platform_documents.make_settings(
            self.router.name,
            self.router.ip,
            self.router.zone,
            self.store.address,
        )
        path = self._directory / 'router-0.yaml'
        path.write_text(json.dumps(settings))
        environ = {'GALENASPOKE_BOOT': str(path), **_get_environ()}
        self.router.process = processes.Process(
            self.router.name,
            [sys.executable, '-m', 'galenaspoke.edge.main'],
            self._directory,
            environ,
            self._product,
        )

    def stop(self):
        """Kill all processes."""
        for process in [*self._engines, self.router.process]:
            if process is not None:
                process.kill()

    def flood(self, seconds, callers):
        """Start a process with the callers of the case."""
        argv = [sys.executable, '-m', 'bench.flood_callers']
        argv += ['--router', self.front, '--case', self._case]
        argv += ['--seconds', str(seconds), '--callers', str(callers)]
        return processes.Process('callers', argv, self._directory, cwd=ROOT)


def _get_environ():
    return {name: os.environ.get(name, '') for name in ('PATH', 'HOME')}


def _make_config():
    """Return a configuration with a service that is faulty."""
    config = platform_documents.make_config(CONFIG_VERSION, SLOTS)
    routes = {route['PathPrefix']: route for route in config['Routes']}
    well = routes[WELL_PREFIX]
    for prefix, is_public in (
        (flood_callers.PREFIXES[False], True),
        (flood_callers.KEYED_PREFIX, False),
    ):
        own = {
            'Name': prefix.strip('/'),
            'PathPrefix': prefix,
            'Service': FAULTY_SERVICE,
            'Public': is_public,
        }
        config['Routes'].append({**well, **own})
    service = {**config['Services'][-1], 'Name': FAULTY_SERVICE}
    config['Services'].append(service)
    for service in config['Services']:
        service['MaxConns'] = CONNECTIONS
    config['Tenants'] = [{'Name': 't', 'ApiKeys': [flood_callers.KEY]}]
    return config


def call_until(front, until, answers):
    """Ask the service that is well for small bodies, one after the other."""
    number = 0
    while time.monotonic() < until:
        number += 1
        began = time.monotonic()
        try:
            with gevent.Timeout(ANSWER_TIMEOUT_S, OSError('no answer')):
                is_success = _ask(front, f'w{number}')
        except (OSError, raw_http.Disconnected):
            is_success = False
            gevent.sleep(0.05)
        ended = time.monotonic()
        # An answer after the end says how slow it was, and isn't counted.
        if ended <= until:
            answers.add(is_success, ended - began)
        else:
            answers.slowest_s = max(answers.slowest_s, ended - began)


def _ask(front, name):
    headers = platform_documents.make_request_headers(name, 8_000)
    body = json.dumps({'key': name, 'pieces': 1}).encode()
    first = f'POST {WELL_PREFIX}{name} HTTP/1.1'
    with raw_http.connect(front) as sock:
        sock.sendall(raw_http.encode(first, headers, body))
        conn = raw_http.Connection(sock)
        message = conn.read_head()
        if message is None:
            raise raw_http.Disconnected('before a response')
        for _ in conn.iter_body(message, ends_with_connection=True):
            pass
    return message.status == 200


def measure(product, case, seconds, callers, directory):
    """Play a case; return its Result."""
    result = Result()
    site = Site(product, case, pathlib.Path(directory))
    process = None
    try:
        site.start()
        warming = time.monotonic() + QUIET_S
        call_until(site.front, warming, Answers())
        pid = site.router.process.popen.pid
        result.before_mb = memory.read(pid).resident_mb
        if case != NONE:
            process = site.flood(seconds + QUIET_S, callers)
            gevent.sleep(QUIET_S)
        call_until(site.front, time.monotonic() + seconds, result.answers)
        if process is not None:
            process.kill()
        gevent.sleep(QUIET_S)
        result.exit_code = site.router.process.popen.poll()
        if result.exit_code is None:
            usage = memory.read(pid)
            result.peak_mb = usage.peak_mb
            result.after_mb = usage.resident_mb
    finally:
        site.stop()
        if process is not None:
            process.kill()
    return result


@click.command()
@click.option('--product', default=str(ROOT), help='Where galenaspoke is.')
@click.option(
    '--case',
    'cases',
    multiple=True,
    type=click.Choice(CASES),
    help='All if none is given.',
)
@click.option('--seconds', default=6.0)
@click.option('--callers', default=100)
@click.option('--keep/--no-keep', default=False, help='Keep all logs.')
def main(product, cases, seconds, callers, keep):
    """Print a line for each case."""
    for case in cases or CASES:
        directory = tempfile.mkdtemp(prefix=f'galenaspoke-flood-{case}-')
        result = measure(product, case, seconds, callers, directory)
        logs = f', logs in {directory}' if keep else ''
        print(result.describe(case) + logs, flush=True)
        if not keep:
            shutil.rmtree(directory)


if __name__ == '__main__':
    main()
