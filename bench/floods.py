"""Floods one edge router, and tells its memory and what others still get.

Example::

    python -m bench.floods --product ../base --case tiny-chunks --case none

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

from bench import edge_machines  # noqa: E402
from bench import flood_callers  # noqa: E402
from bench import memory  # noqa: E402
from bench import processes  # noqa: E402
from bench import steady_callers  # noqa: E402
from standins import edge_floods  # noqa: E402
from standins import platform_documents  # noqa: E402
from standins import platform_store  # noqa: E402

ROOT = pathlib.Path(__file__).parents[1]
NONE = 'none'
CASES = (NONE, *edge_floods.CASES, *flood_callers.CASES)
CONFIG_VERSION = 1
WELL_OPTIONS = ('--early', '0', '--slots', str(edge_machines.SLOTS))
READY_TIMEOUT_S = 30
# How long the router runs quietly before and after.
QUIET_S = 1.5


class Result:
    """The router's memory before, at its most and after, and the answers."""

    __slots__ = ('before_mb', 'peak_mb', 'after_mb', 'answers', 'exit_code')

    def __init__(self):
        self.before_mb = self.peak_mb = self.after_mb = 0.0
        self.answers = steady_callers.Answers()
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

    def to_document(self, case):
        """Return all of it for JSON."""
        return {
            'case': case,
            'before_mb': self.before_mb,
            'peak_mb': self.peak_mb,
            'after_mb': self.after_mb,
            'answers': self.answers.count,
            'died': self.exit_code is not None,
        }


class Site:
    """A router, its store and two engines."""

    def __init__(self, product, case, directory):
        self._case = case
        self._product = product
        self._directory = directory
        own = random.SystemRandom()
        self._net = f'127.{own.randint(16, 250)}.{own.randint(1, 250)}'
        self.store = platform_store.PlatformStore(f'{self._net}.1:8223')
        self.router = edge_machines.Machine(
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
        config = platform_documents.make_config(
            CONFIG_VERSION, edge_machines.SLOTS
        )
        self.store.put(
            platform_documents.CONFIG_KIND,
            platform_documents.CONFIG_NAME,
            json.dumps(config).encode(),
        )
        self._start_engines()
        self._start_router()
        with gevent.Timeout(READY_TIMEOUT_S):
            while not self._is_up():
                gevent.sleep(0.1)

    def _is_up(self):
        count = self.store.count(platform_store.KIND_OF_ENTRIES)
        return count == 2 and edge_machines.is_ready(self.router)

    def _start_engines(self):
        case = flood_callers.ENGINE_CASES.get(self._case, self._case)
        is_stream = case in edge_floods.STREAM_CASES
        service = (
            platform_documents.FAULTY_MODEL_SERVICE
            if is_stream
            else platform_documents.FAULTY_SERVICE
        )
        options = list(edge_machines.FLOODING_OPTIONS)
        if case in edge_floods.CASES:
            options += ['--flood', case]
        self._start_engine('faulty', service, 3, options)
        well = platform_documents.APPLICATION_SERVICE
        self._start_engine('well', well, 4, WELL_OPTIONS)

    def _start_engine(self, name, service, host, options):
        address = f'{self._net}.{host}:{edge_machines.ENGINE_PORT}'
        argv = [sys.executable, '-m', 'standins', 'edge-engine']
        argv += ['--listen', address, '--announce', address]
        argv += ['--store', self.store.address, '--service', service]
        argv += ['--zone', self.router.zone, '--instance', f'i-{name}']
        argv += ['--version', 'v1']
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
        return flood_callers.start(
            self.router, self._case, seconds, callers, self._directory
        )


def _get_environ():
    return {name: os.environ.get(name, '') for name in ('PATH', 'HOME')}


def measure(product, case, seconds, callers, directory):
    """Play a case; return its Result."""
    result = Result()
    site = Site(product, case, pathlib.Path(directory))
    process = None
    try:
        site.start()
        warming = time.monotonic() + QUIET_S
        steady_callers.call_until(
            site.front, warming, steady_callers.Answers()
        )
        pid = site.router.process.popen.pid
        result.before_mb = memory.read(pid).resident_mb
        if case != NONE:
            process = site.flood(seconds + QUIET_S, callers)
            gevent.sleep(QUIET_S)
        steady_callers.call_until(
            site.front, time.monotonic() + seconds, result.answers
        )
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
@click.option('--report', default=None, help='A file for the results.')
@click.option('--keep/--no-keep', default=False, help='Keep all logs.')
def main(product, cases, seconds, callers, report, keep):
    """Print a line for each case."""
    documents = []
    for case in cases or CASES:
        directory = tempfile.mkdtemp(prefix=f'galenaspoke-flood-{case}-')
        result = measure(product, case, seconds, callers, directory)
        logs = f', logs in {directory}' if keep else ''
        print(result.describe(case) + logs, flush=True)
        documents.append(result.to_document(case))
        if not keep:
            shutil.rmtree(directory)
    if report:
        pathlib.Path(report).write_text(json.dumps(documents))


if __name__ == '__main__':
    main()
