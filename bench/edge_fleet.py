"""The edge fleet as real processes: routers, relays and engines.

Each machine has a loopback address of its own and is started again by
`Fleet.supervise` when its process ends.  The store and the links that can be
harmed are in this process.

Example::

    fleet = Fleet(options, directory)
    fleet.start()
    fleet.routers[0].process.kill()    # is back within a second or two
    fleet.stop()
"""

import collections
import copy
import json
import os
import pathlib
import random
import sys
import time

import gevent

from bench import closed_streams
from bench import edge_machines
from bench import processes
from bench import tenants
from standins import common
from standins import control_path
from standins import faulty_link
from standins import platform_documents
from standins import platform_store

STORE_PORT = 8223
MODEL = platform_documents.MODEL_SERVICE
APPLICATION = platform_documents.APPLICATION_SERVICE
START_TIMEOUT_S = 60
RESTART_DELAY_S = (0.1, 1.2)
SUPERVISE_INTERVAL_S = 0.05
SAME_ID_SHARE = 0.3


class Fleet:
    """All machines of a run, with the store and its configuration."""

    def __init__(self, options, directory):
        self.directory = pathlib.Path(directory)
        self.log = common.EventLog(self.directory / 'faults.log')
        self.version_number = 1
        self.restarts = collections.Counter()
        self.profile = options.profile
        self.tenants = tenants.Tenants(self.profile.tenants)
        self._options = options
        self._router_flags = closed_streams.list_flags(
            options.closed_streams, options.product
        )
        self._timeout_ms = platform_documents.DEFAULT_TIMEOUT_MS
        self._extra_routes = 0
        self._rng = random.Random(f'{options.seed} fleet')
        # A network of its own, so that runs beside each other don't meet.
        own = random.SystemRandom()
        self._net = f'127.{own.randint(16, 250)}.{own.randint(1, 250)}'
        self._hosts = 0
        self._config_version = 0
        self.store = platform_store.PlatformStore(
            f'{self._new_ip()}:{STORE_PORT}'
        )
        # Where the store serves each router and relay, by name.
        self._entrances = {}
        router_ips = [self._new_ip() for _ in range(options.routers)]
        # The path between routers; None if they reach each other directly.
        self.control_path = None
        if options.control_path:
            self.control_path = control_path.ControlPath(router_ips)
        self.routers = [
            self._make_client_of_store('router', number, ip)
            for number, ip in enumerate(router_ips)
        ]
        self.relays = [
            self._make_client_of_store('relay', number, self._new_ip())
            for number in range(options.relays)
        ]
        models = [
            self._make_engine('model', number, MODEL)
            for number in range(options.engines)
        ]
        applications = [
            self._make_engine('application', number, APPLICATION)
            for number in range(options.applications)
        ]
        self.engines = [*models, *applications]
        # Engines of services of their own, which only floods are asked for.
        self.flooding = []
        if options.flooding:
            self.flooding = [
                self._make_flooding_engine(service)
                for service in platform_documents.FAULTY_SERVICES
            ]
        self._supervisor = None

    @property
    def models(self):
        """Return the machines whose engine serves models now."""
        return self._list_engines(MODEL)

    @property
    def applications(self):
        """Return the machines whose engine is an application now."""
        return self._list_engines(APPLICATION)

    def _list_engines(self, service):
        return [
            machine for machine in self.engines if machine.service == service
        ]

    @property
    def links(self):
        """Return all links in front of engines."""
        return [machine.link for machine in self.engines if machine.link]

    @property
    def machines(self):
        """Return all machines."""
        engines = [*self.engines, *self.flooding]
        return [*engines, *self.relays, *self.routers]

    def _new_ip(self):
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    def _make_client_of_store(self, role, number, ip):
        changes = ()
        if self.control_path:
            path = self.control_path
            changes = (path.show_others(ip), path.hide())
        entrance = self.store.add_entrance()
        link = faulty_link.FaultyLink(f'{ip}:{STORE_PORT}', entrance, *changes)
        self._entrances[f'{role}-{number}'] = entrance
        zone = platform_documents.ZONES[number % 2]
        return edge_machines.Machine(f'{role}-{number}', ip, zone, link)

    def _make_engine(self, kind, number, service):
        ip = self._new_ip()
        link = None
        if self._rng.random() < self._options.linked_share:
            link = faulty_link.FaultyLink(
                f'{ip}:{edge_machines.PROXY_PORT}',
                f'{ip}:{edge_machines.ENGINE_PORT}',
            )
        zone = platform_documents.ZONES[number % 2]
        skew_ms = self._options.skew_ms
        return edge_machines.Machine(
            f'{kind}-{number}',
            ip,
            zone,
            link,
            service,
            self._rng.randint(-skew_ms, skew_ms),
        )

    def _make_flooding_engine(self, service):
        zone = platform_documents.ZONES[0]
        machine = edge_machines.Machine(
            f'flooding-{service}', self._new_ip(), zone, None, service
        )
        machine.floods = True
        return machine

    # Starting and stopping.

    def start(self):
        """Start all processes; return once the routers are ready."""
        self.store.start()
        if self.control_path:
            self.control_path.start()
        self.publish()
        for machine in [*self.engines, *self.flooding]:
            self._start_engine(machine)
        for machine in [*self.relays, *self.routers]:
            self._start_client_of_store(machine)
        self._supervisor = gevent.spawn(self.supervise)
        self.wait_until_up()

    def wait_until_up(self):
        """Return once all engines are listed and all routers ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self._is_up():
            if time.monotonic() > deadline:
                raise TimeoutError(f'not ready; logs in {self.directory}')
            gevent.sleep(0.2)

    def _is_up(self):
        count = self.store.count(platform_store.KIND_OF_ENTRIES)
        expected = len(self.engines) + len(self.flooding)
        return count >= expected and all(
            edge_machines.is_ready(machine) for machine in self.routers
        )

    def stop(self):
        """Kill all processes."""
        if self._supervisor is not None:
            self._supervisor.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.kill()

    def _start_engine(self, machine):
        log = self.directory / f'{machine.name}.runs'
        argv = edge_machines.make_engine_argv(
            machine, self.store.address, log, self._options
        )
        instance = self._draw_instance()

        def make_argv():
            seed = str(self._rng.getrandbits(32))
            last = ['--version', machine.version, '--seed', seed]
            last += ['--service', machine.service]
            return [*argv, '--instance', instance, *last]

        def prepare():
            nonlocal instance
            if machine.next_service:
                machine.service = machine.next_service
                machine.next_service = None
                instance = self._draw_instance()
            elif not machine.keeps_instance:
                if self._rng.random() >= SAME_ID_SHARE:
                    instance = self._draw_instance()
            machine.process.argv = make_argv()

        machine.prepare = prepare
        machine.process = processes.Process(
            machine.name,
            make_argv(),
            self.directory,
            cwd=pathlib.Path(__file__).parents[1],
        )

    def _draw_instance(self):
        return f'i-{self._rng.getrandbits(40):010x}'

    def _start_client_of_store(self, machine):
        path = self.directory / f'{machine.name}.yaml'
        skewed = str(pathlib.Path(__file__).with_name('skewed_clock.py'))
        self.write_settings(machine)
        names = ('PATH', 'HOME', 'LANG')
        environ = {name: os.environ.get(name, '') for name in names}
        environ['GALENASPOKE_BOOT'] = str(path)
        command = ['galenaspoke.edge.relay_main']
        if machine in self.routers:
            port = str(platform_documents.METRICS_PORT)
            command = ['galenaspoke.edge.main', '--metrics-port', port]
            command += self._router_flags
            command += self._options.router_flags

        def make_argv():
            skew_ms = self._options.router_skew_ms
            machine.clock_ms = self._rng.randint(-skew_ms, skew_ms)
            self.log.write(
                what='clock', name=machine.name, ms=machine.clock_ms
            )
            return [sys.executable, skewed, str(machine.clock_ms), *command]

        def prepare():
            machine.process.argv = make_argv()

        machine.prepare = prepare
        machine.process = processes.Process(
            machine.name,
            make_argv(),
            self.directory,
            environ,
            self._options.product,
        )

    def write_settings(self, machine, retry_slack=None):
        """Write the settings file of a router or relay."""
        settings = platform_documents.make_settings(
            machine.name,
            machine.ip,
            machine.zone,
            machine.link.listen,
            retry_slack,
            machine in self.routers,
            self.get_memory_mb(machine),
        )
        path = self.directory / f'{machine.name}.yaml'
        # JSON is YAML.  A process that starts meanwhile reads it as a whole.
        written = path.with_suffix('.new')
        written.write_text(json.dumps(settings))
        written.replace(path)

    def get_memory_mb(self, machine):
        """Return what a router or relay may take at most."""
        if machine in self.routers:
            return self.profile.memory_mb
        return self.profile.relay_memory_mb

    def turn_away(self, machine, how):
        """Have the store refuse a router or relay, None to serve it again.

        `how` is a status, 'reset' or 'silence'.
        """
        self.store.turn_away(self._entrances[machine.name], how)

    def publish(self, timeout_ms=None, extra_routes=None, stride=None):
        """Publish a new version of the configuration.

        `timeout_ms` is that of a route that has the default one; others' is
        changed by as much.  What isn't given stays, but for `stride`, the
        tokens of an event, which is the engines' own then.
        """
        self._config_version += self._rng.randint(1, 3)
        if timeout_ms is not None:
            self._timeout_ms = timeout_ms
        if extra_routes is not None:
            self._extra_routes = extra_routes
        self.log.write(
            what='published',
            version=self._config_version,
            timeout_ms=self._timeout_ms,
        )
        config = platform_documents.make_full_config(
            self._config_version,
            self._make_routes(),
            platform_documents.Engines(
                self._options.slots,
                self.profile.memory_tokens,
                self.profile.stride if stride is None else stride,
            ),
            self.tenants.begin_version(),
        )
        self.store.put(
            platform_documents.CONFIG_KIND,
            platform_documents.CONFIG_NAME,
            json.dumps(config).encode(),
        )

    def _make_routes(self):
        routes = [copy.copy(route) for route in self.profile.list_routes()]
        for route in routes:
            route.timeout_ms = (
                route.timeout_ms
                * self._timeout_ms
                // platform_documents.DEFAULT_TIMEOUT_MS
            )
        return routes + platform_documents.make_other_routes(
            self._timeout_ms, self._extra_routes
        )

    def add_model_engine(self):
        """Start a further model engine; return its machine."""
        number = len(self.engines)
        machine = self._make_engine('model', number, MODEL)
        self._start_engine(machine)
        self.engines.append(machine)
        return machine

    def supervise(self):
        """Start again what has ended, after a while."""
        while True:
            for machine in self.machines:
                if machine.process.is_alive():
                    if machine.has_overrun():
                        machine.process.kill()
                elif not machine.is_down:
                    self._record_end(machine)
                    gevent.spawn_later(
                        self._choose_delay_s(machine), self._restart, machine
                    )
            gevent.sleep(SUPERVISE_INTERVAL_S)

    def _record_end(self, machine):
        machine.is_down = True
        code = machine.process.popen.returncode
        self.log.write(
            what='ended',
            name=machine.name,
            code=code,
            by_fault=machine.may_end,
            after_grace=machine.has_overrun(),
            handed_over=machine.next_service is not None,
        )
        if not machine.may_end:
            machine.ended_alone.append(code)
        self.restarts[machine.name.partition('-')[0]] += 1

    def _choose_delay_s(self, machine):
        if machine.restart_after_s is not None:
            return machine.restart_after_s
        return self._rng.uniform(*RESTART_DELAY_S)

    def _restart(self, machine):
        machine.restart_after_s = None
        machine.may_end = False
        machine.kill_at = None
        machine.prepare()
        machine.process.start()
        self.log.write(what='started', name=machine.name)
        machine.is_down = False
