"""What a flood of one faulty engine does to a router and to other callers.

    python -m bench.flooded_router KIND... --seconds 6

Prints a line for each kind of flood: the router's peak of memory and what it
holds once the flood is over, and the answers of a service that is well.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench import edge_fleet  # noqa: E402
from bench import edge_machines  # noqa: E402
from bench import processes  # noqa: E402
from standins import flooding_engine  # noqa: E402
from standins import platform_documents  # noqa: E402
from standins import raw_http  # noqa: E402

WELL_CALLERS = 4
WELL_PAUSE_S = 0.2
WELL_TIMEOUT_S = 10
SETTLE_S = 1.0
START_TIMEOUT_S = 30
KB = 1024


class FloodedFleet(edge_fleet.Fleet):
    """One router whose memory is limited, and one engine that is well."""

    def __init__(self, options, directory, memory_mb):
        super().__init__(options, directory)
        self._memory_mb = memory_mb

    def write_settings(self, machine, retry_slack=None):
        """Write the settings of the router, with its memory."""
        super().write_settings(machine, retry_slack)
        path = self.directory / f'{machine.name}.yaml'
        settings = json.loads(path.read_text())
        settings['Limits'] = {'MemoryMb': self._memory_mb}
        path.write_text(json.dumps(settings))


class WellCaller:
    """Calls the service that is well, time and again."""

    def __init__(self, router, name):
        self.router = router
        self.name = name
        self.times_s = []
        self.failures = 0

    def run(self):
        """Make one request after another."""
        while True:
            began = time.monotonic()
            if self._call(len(self.times_s) + self.failures):
                self.times_s.append(time.monotonic() - began)
            else:
                self.failures += 1
            gevent.sleep(WELL_PAUSE_S)

    def wait_until_served(self):
        """Wait until the router knows the engine that is well."""
        with gevent.Timeout(START_TIMEOUT_S):
            while not self._call('start'):
                gevent.sleep(WELL_PAUSE_S)

    def _call(self, number):
        fields = platform_documents.make_request_headers(
            f'{self.name}.{number}', WELL_TIMEOUT_S * 1000
        )
        first = 'POST /plain/ask/x HTTP/1.1'
        try:
            address = raw_http.parse(self.router)
            with gevent.socket.create_connection(address, 2) as sock:
                sock.settimeout(WELL_TIMEOUT_S)
                body = json.dumps({'key': self.name, 'pieces': 1}).encode()
                sock.sendall(raw_http.encode(first, fields, body))
                conn = raw_http.Connection(sock)
                message = conn.read_head()
                if message is None:
                    return False
                for _ in conn.iter_body(message, ends_with_connection=True):
                    pass
        except (OSError, raw_http.Disconnected):
            return False
        return message.status == 200


def read_memory_mb(pid, field):
    """Return a field of a process's status, such as VmHWM, in MB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1]) * KB / 1_000_000
    raise LookupError(field)


def play(kind, seconds, callers, memory_mb, product, directory):
    """Play one flood; return the report.  Without a kind there is none."""
    options = edge_fleet.FleetOptions(
        routers=1,
        relays=0,
        engines=0,
        applications=1,
        product=product,
        early=0.0,
    )
    fleet = FloodedFleet(options, directory, memory_mb)
    flood = None
    try:
        fleet.start()
        router = fleet.routers[0]
        address = f'{router.ip}:{platform_documents.FRONT_PORT}'
        well = [
            WellCaller(address, f'w{number}') for number in range(WELL_CALLERS)
        ]
        well[0].wait_until_served()
        if kind:
            flood = _start_flood(kind, fleet, address, callers)
            gevent.sleep(1.5)
        tasks = [gevent.spawn(caller.run) for caller in well]
        gevent.sleep(seconds)
        times = sorted(t for caller in well for t in caller.times_s)
        failures = sum(caller.failures for caller in well)
        gevent.killall(tasks)
        if flood is not None:
            flood.kill()
        gevent.sleep(SETTLE_S)
        pid = router.process.popen.pid
        return {
            'kind': kind or 'none',
            'peak_mb': round(read_memory_mb(pid, 'VmHWM')),
            'after_mb': round(read_memory_mb(pid, 'VmRSS')),
            'answers': len(times),
            'failures': failures,
            'slowest_s': round(times[-1], 2) if times else None,
            'died': bool(router.ended_alone),
        }
    finally:
        if flood is not None:
            flood.kill()
        fleet.stop()


def _start_flood(kind, fleet, router, callers):
    listen = f'{fleet.routers[0].ip}:{edge_machines.ENGINE_PORT}'
    argv = [sys.executable, '-m', 'standins.flooding_engine', kind]
    argv += [listen, fleet.store.address, router, str(callers)]
    return processes.Process(
        'flood',
        argv,
        fleet.directory,
        cwd=pathlib.Path(__file__).parents[1],
    )


@click.command()
@click.argument('kinds', nargs=-1)
@click.option('--seconds', default=6.0, help='How long callers call.')
@click.option('--callers', default=100, help='Callers of the faulty engine.')
@click.option('--memory-mb', default=160, help='What the router may use.')
@click.option('--product', default=None, help='Run the code of this folder.')
def main(kinds, seconds, callers, memory_mb, product):
    """Play each kind of flood, or all of them."""
    for kind in kinds or ['', *flooding_engine.FLOODS]:
        with tempfile.TemporaryDirectory() as directory:
            report = play(
                kind, seconds, callers, memory_mb, product, directory
            )
        print(json.dumps(report), flush=True)


if __name__ == '__main__':
    main()
