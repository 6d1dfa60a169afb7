"""Starts a small deployment of the project for a script of this review.

The routers and relays are started with the commands of the deploy file, and
with settings as DEPLOY.md tells them, on loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import http11

HERE = pathlib.Path(__file__).resolve().parent
REPOSITORY = HERE.parent.parent
ZONE = 'zone-a'


class Deployment:
    """Processes of one case; `record` writes to its record.txt."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.out = open(self.folder / 'record.txt', 'w')
        self.began = time.monotonic()
        self.processes = {}
        own = random.SystemRandom()
        self.net = f'127.{own.randint(20, 220)}.{own.randint(1, 250)}'
        self.store = f'{self.net}.1:8223'
        deploy = REPOSITORY / 'deploy' / 'system.toml'
        self.roles = tomllib.loads(deploy.read_text())['roles']

    def record(self, text):
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        print(line, file=self.out, flush=True)

    def _spawn(self, name, argv, environ=None):
        with open(self.directory / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                argv,
                cwd=REPOSITORY,
                env={**os.environ, **(environ or {})},
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record(f'started {name}, process {self.processes[name].pid}')

    def start_store(self):
        path = str(HERE / 'platform.py')
        self._spawn('store', [sys.executable, path, self.store])

    def start_stand_in(self, name, program, *args):
        path = str(HERE / program)
        self._spawn(name, [sys.executable, path, *map(str, args)])

    def start_role(
        self, role, name, host, store=None, bounds=None, memory_mb=300
    ):
        """Start a router (role `edge`) or a relay at an address."""
        ip = f'{self.net}.{host}'
        listen = {}
        if role == 'edge':
            listen = {
                'Front': f'{ip}:8227',
                'Ready': f'{ip}:8220',
                'Control': f'{ip}:8229',
            }
        settings = {
            'Node': name,
            'Role': role,
            'MachineClass': 'front' if role == 'edge' else 'side',
            'Serves': self.roles[role]['serves'],
            'BindIp': ip,
            'Zone': ZONE,
            'Region': 'region',
            'Zones': {ZONE: 'region'},
            'Listen': listen,
            'PortRange': [7340, 7355],
            'SeedAddrs': [],
            'FirstStart': name not in self.processes,
            'Limits': {
                'CpuShare': 0.8,
                'MemoryMb': memory_mb,
                'MaxFds': 4100,
            },
            'DataDir': None,
            'HeartbeatMs': 1200,
            'Bounds': {
                'StableWindowMs': 3000,
                'DrainMs': 2000,
                'GraceS': 8,
                'ConfigApplyMs': 2000,
                'RetryRatio': 0.2,
                'RetryWindowS': 10,
                'RetrySlack': 58,
                'RecoverS': 12,
                **(bounds or {}),
            },
            'Platform': {'Addr': store or self.store, 'form': 'objects'},
        }
        # JSON is YAML.
        path = self.directory / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        words = shlex.split(self.roles[role]['run'])
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        own = {
            'GALENASPOKE_BOOT': str(path),
            'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
        }
        self._spawn(name, words, own)
        return ip

    def signal(self, name, number):
        """Send a signal to a process that this deployment started."""
        self.record(f'{signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    async def write(self, kind, name, spec, is_noted=True):
        """Write an object as the operator does."""
        raw = json.dumps({'Metadata': {'Name': name}, 'Spec': spec}).encode()
        path = f'/objects/{kind}/{name}'
        status, _ = await http11.call(self.store, 'PUT', path, raw)
        if status == 404:
            path = f'/objects/{kind}'
            status, _ = await http11.call(self.store, 'POST', path, raw)
        if is_noted:
            self.record(f'wrote {kind}/{name}: {status}')

    async def read(self, kind, name):
        """Return an object, None if there is none."""
        path = f'/objects/{kind}/{name}'
        status, body = await http11.call(self.store, 'GET', path)
        return json.loads(body) if status == 200 else None

    async def wait_for_store(self, timeout_s=10):
        host, port = self.store.rsplit(':', 1)
        await wait_until(lambda: can_connect(host, int(port)), timeout_s)

    async def wait_ready(self, ip, timeout_s=30):
        """Return once a router says that it is ready."""

        async def is_ready():
            try:
                status, _ = await http11.call(f'{ip}:8220', 'GET', '/ready')
            except OSError:
                return False
            return status == 200

        await wait_until(is_ready, timeout_s)

    def stop(self):
        """Kill all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record('all processes ended')
        self.out.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.directory)


async def can_connect(host, port):
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


async def wait_until(check, timeout_s):
    until = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > until:
            raise TimeoutError('the deployment did not come up')
        await asyncio.sleep(0.05)


def run(folder, case, trouble):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    `case` takes the Deployment and whether there is `trouble`, and returns
    whether the rule was broken.
    """
    deployment = Deployment(folder)
    code = 2
    try:
        limit = asyncio.wait_for(case(deployment, trouble), 110)
        code = 1 if asyncio.run(limit) else 0
    except Exception as exc:
        deployment.record(f'the case could not run: {exc!r}')
    finally:
        deployment.record(f'exit code {code}')
        deployment.stop()
    sys.exit(code)
