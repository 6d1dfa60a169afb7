"""A small deployment on loopback: the store, engines, routers and relays.

Each machine has an address of its own in 127.0.0.0/8, so that ports are the
same on all of them, as on the platform.  Programs are started with the
commands of `deploy/system.toml`.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
FRONT, READY, CONTROL, PEER, STORE, APP = 8227, 8220, 8229, 7340, 8223, 8228
METRICS = 7999
HOST = 'ficu95.example'
START_S = 25
SETTINGS = """\
Node: "{name}"
Role: "{role}"
MachineClass: "{role}"
Serves: ["{role}"]
BindIp: "{ip}"
Zone: "{zone}"
Region: "qld-east"
Zones: {{"qld-east-a": "qld-east", "qld-east-b": "qld-east"}}
Listen: {listen}
PortRange: [7340, 7355]
SeedAddrs: []
FirstStart: true
LossCounts: false
Limits:
  CpuShare: 0.817
  CpuCores: 1
  MemoryMb: {memory}
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "platform"]
Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  StableWindowMs: 3000
  AckMs: 4000
  CatchUpS: 4
  DrainMs: 2000
  GraceS: 8
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RollbackSlackMs: 250
  SkewMaxMs: 5000
  RevokeStrict: false
  RevokeMs: 5000
  RetryRatio: 0.2
  RetryWindowS: 10
  RetrySlack: 58
  RecoverS: 12
  PassMs: 120
  ReuseWindowS: 10
  settle_ms: 1500
Platform:
  Addr: "{store}"
  form: "objects"
  WritesPerS: 400
  ReadsPerS: 2000
  HistoryS: 20
  ValueBytes: 1048576
  TtlMinMs: 1000
"""


class CannotRun(Exception):
    """The world doesn't start, which says nothing about the rule."""


class World:
    """All processes of one run; `record` writes a line of record.txt."""

    def __init__(self, folder, temporary):
        self.temporary = pathlib.Path(temporary)
        self.record_file = open(folder / 'record.txt', 'w', buffering=1)
        self.began = time.time()
        self.processes = {}
        self.network = (
            f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        )
        self.hosts = 0
        self.store = f'{self.new_ip()}:{STORE}'
        self.routers = {}
        self.engines = {}
        with open(ROOT / 'deploy/system.toml', 'rb') as deploy:
            self.roles = tomllib.load(deploy)['roles']

    def new_ip(self):
        self.hosts += 1
        ip = f'{self.network}.{self.hosts}'
        for port in (FRONT, READY, PEER, STORE, APP, METRICS):
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((ip, port))
                except OSError as exc:
                    raise CannotRun(f'{ip}:{port}: {exc}') from exc
        return ip

    def record(self, what, **fields):
        at = f'{time.time() - self.began:8.3f}'
        self.record_file.write(f'{at} {what} {json.dumps(fields)}\n')

    def spawn(self, name, command, env=None):
        out = open(self.temporary / f'{name}.out', 'ab')
        base = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        base['PYTHONPATH'] = str(ROOT / 'target/deps')
        # Programs look up the names of their own addresses when they start.
        base['RES_OPTIONS'] = 'timeout:1 attempts:1'
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=base | (env or {}),
            stdout=out,
            stderr=out,
            stdin=subprocess.DEVNULL,
        )
        self.record('process', name=name, pid=self.processes[name].pid)

    def start_store(self):
        self.spawn(
            'store', [sys.executable, str(HERE / 'store.py'), self.store]
        )

    def start_engine(self, name, service, is_model, zone, **more):
        ip = (
            self.engines[name]['ip'] if name in self.engines else self.new_ip()
        )
        cfg = {
            'id': name,
            'listen': f'{ip}:{APP}',
            'store': self.store,
            'service': service,
            'zone': zone,
            'version': 'v1',
            'slots': 64 if is_model else 6,
            'is_model': is_model,
            'log': str(self.temporary / f'{name}.runs'),
            **more,
        }
        self.engines[name] = {'ip': ip, 'cfg': cfg}
        path = self.temporary / f'{name}.json'
        path.write_text(json.dumps(cfg))
        self.spawn(name, [sys.executable, str(HERE / 'engine.py'), str(path)])

    def start_router(self, name, zone, store=None):
        ip = self.routers.get(name) or self.new_ip()
        self.routers[name] = ip
        listen = json.dumps(
            {
                'Front': f'{ip}:{FRONT}',
                'Ready': f'{ip}:{READY}',
                'Control': f'{ip}:{CONTROL}',
            }
        )
        self._start_role('edge', name, 'front', ip, zone, listen, 300, store)

    def start_relay(self, name, zone):
        self._start_role('relay', name, 'side', self.new_ip(), zone, '{}', 232)

    def _start_role(
        self, role, name, kind, ip, zone, listen, memory, store=None
    ):
        path = self.temporary / f'{name}.yaml'
        path.write_text(
            SETTINGS.format(
                name=name,
                role=kind,
                ip=ip,
                zone=zone,
                listen=listen,
                memory=memory,
                store=store or self.store,
            )
        )
        self.spawn(
            name,
            self.roles[role]['run'].split(),
            {'GALENASPOKE_BOOT': str(path)},
        )

    async def publish(self, document):
        body = json.dumps(
            {'Metadata': {'Name': 'main'}, 'Spec': document}
        ).encode()
        message = await http11.call(
            self.store, 'PUT', '/objects/config/main', body
        )
        if message.first.split(' ')[1] == '404':
            message = await http11.call(
                self.store, 'POST', '/objects/config', body
            )
        self.record(
            'config', version=document['Version'], answer=message.first
        )

    async def await_store(self):
        until = time.monotonic() + START_S
        while True:
            try:
                await http11.call(self.store, 'GET', '/objects/config')
                return
            except (ConnectionError, OSError, TimeoutError):
                if time.monotonic() > until:
                    raise CannotRun('the store does not start') from None
                await asyncio.sleep(0.1)

    async def await_ready(self, names=None):
        until = time.monotonic() + START_S
        for name in names or list(self.routers):
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun(f'{name} is not ready')
                await asyncio.sleep(0.2)

    async def await_open(self):
        """Wait until all routers take connections of clients."""
        until = time.monotonic() + START_S
        for name, ip in self.routers.items():
            while True:
                try:
                    _, writer = await asyncio.open_connection(ip, FRONT)
                    writer.close()
                    break
                except OSError:
                    if time.monotonic() > until:
                        raise CannotRun(f'{name} is not open') from None
                    await asyncio.sleep(0.02)

    async def is_ready(self, name, timeout_s=1.0):
        try:
            message = await http11.call(
                f'{self.routers[name]}:{READY}',
                'GET',
                '/ready',
                timeout_s=timeout_s,
            )
        except (ConnectionError, OSError, TimeoutError):
            return False
        return message.first.split(' ')[1] == '200'

    def signal(self, name, number):
        self.record('signal', name=name, number=int(number))
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def read_runs(self):
        """Return what the engines have logged, in the order of time."""
        runs = []
        for name in self.engines:
            path = self.temporary / f'{name}.runs'
            if path.exists():
                for line in path.read_text().splitlines():
                    runs.append({'engine': name, **json.loads(line)})
        runs.sort(key=lambda run: run['at'])
        for run in runs:
            fields = {k: v for k, v in run.items() if k not in ('what', 'at')}
            at = f'{run["at"] - self.began:8.3f}'
            self.record_file.write(
                f'{at} engine.{run["what"]} {json.dumps(fields)}\n'
            )
        return runs

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record('stopped')
        self.record_file.close()


def make_config(version, routes, services, tenants):
    """Return a configuration as the operator writes it."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': tenants,
    }


def make_route(prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {
        'Name': 'r-' + prefix.strip('/'),
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'LatencyTargetMs': target_ms,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': attempts,
        'Public': False,
        'Sticky': kind == 'stream',
        'Resumable': False,
        'GapTargetMs': 400,
        **more,
    }


MODEL_SERVICE = {
    'Name': 'huvo11a',
    'HealthPath': '/health',
    'MaxConns': 370,
    'Protocol': 'h1',
    'Tls': False,
    'Engine': {
        'Slots': 64,
        'KvCapacity': 669655,
        'KvTokenBytes': 35136,
        'LinkMbps': 740000.0,
        'Stride': 6,
        'Models': [{'Name': 'm'}],
    },
}
APP_SERVICE = {
    'Name': 'wuno96b',
    'HealthPath': '/health',
    'MaxConns': 110,
    'Protocol': 'h1',
    'Tls': False,
}
TENANTS = [
    {
        'Name': 'hule930',
        'ApiKeys': ['n2ctnfzs989anu6wsjnb'],
        'Priority': 1,
        'Prepaid': 20_000_000,
    }
]
KEY = TENANTS[0]['ApiKeys'][0]
