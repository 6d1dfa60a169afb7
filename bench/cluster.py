"""Start a fleet of real processes, inject faults and stop it."""

import configparser
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error

from bench import processes

READY_TIMEOUT_S = 30
# Ends the wait for a process that hangs at its start; one that exits ends it
# at once.
START_TIMEOUT_S = 300
STATE_TIMEOUT_S = 5
OUTPUT_SHOWN_CHARS = 2000
# The timeout of one call to the store.
STORE_TIMEOUT_MS = 1000
# How long a galenaspoke-ctl command waits for a busy machine's store, and how
# long it may take in all.
COMMAND_TIMEOUT_MS = 240_000
COMMAND_LIMIT_S = 300


class ProcessExited(Exception):
    """A process that is waited for has exited."""

    def __init__(self, process):
        output = process.read_output()[-OUTPUT_SHOWN_CHARS:]
        super().__init__(
            f'{process.name} exited with {process.popen.returncode}: {output}'
        )


class Cluster:
    """The processes of one deployment: stand-ins, agents and routers, by name.

    `addresses` has the IP:PORT of each router, each agent (`NAME`,
    `state-NAME`), each target (`target-NAME`) and each router's peer port
    (`peer-NAME`), and the `LinkProcess` of each link (`link-NAME`,
    `store-link-NAME`).  `services` has the kind and the service of each agent.

    As a context manager, it kills all its processes on exit.
    """

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.addresses = {}
        self.services = {}
        self.store_address = ''
        self.roster_address = ''
        self._ports = processes.ReservedPorts()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    def reserve_address(self):
        """Return an IP:PORT that no other process takes until `kill_all`."""
        return self._ports.reserve_address()

    def _start_process(self, name, *argv):
        process = processes.Process(
            name, [sys.executable, *argv], self.directory
        )
        self.processes[name] = process
        return process

    def start_standin(self, name, subcommand, *argv):
        """Start a stand-in by its sub-command of `python -m standins`."""
        return self._start_process(name, '-m', 'standins', subcommand, *argv)

    def start_store(self, **options):
        """Start the stand-in for the platform's object API."""
        self.store_address = self.reserve_address()
        argv = [
            '--listen',
            self.store_address,
            '--log',
            self.get_log_path('store'),
        ]
        for option, value in options.items():
            argv += [f'--{option.replace("_", "-")}', str(value)]
        self.start_standin('store', 'store', *argv)
        self._wait_for_listener('store', self.store_address)

    def start_roster(self, lag_ms=300):
        """Start the stand-in for the platform's list of instances."""
        self.roster_address = self.reserve_address()
        argv = ['--listen', self.roster_address, '--lag-ms', str(lag_ms)]
        self.start_standin('roster', 'roster', *argv)
        self._wait_for_listener('roster', self.roster_address)

    def get_log_path(self, name):
        """Return the path of the event log of a stand-in."""
        return str(self.directory / f'{name}.truth')

    def read_log(self, name):
        """Return the events that a stand-in has logged."""
        path = pathlib.Path(self.get_log_path(name))
        if not path.exists():
            return []
        lines = path.read_bytes().splitlines()
        return [json.loads(line) for line in lines if line]

    def read_logs(self, kind):
        """Return the events that all targets of one kind have logged."""
        events = []
        for name, (service_kind, _) in self.services.items():
            if service_kind == kind:
                events += self.read_log(f'target-{name}')
        return events

    def _write_ini(self, name, sections):
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        path = self.directory / f'{name}.ini'
        # Another thread's command may be reading the one from before.
        with tempfile.NamedTemporaryFile(
            'w', dir=self.directory, delete=False
        ) as ini_file:
            parser.write(ini_file)
        os.replace(ini_file.name, path)
        return str(path)

    def _store_section(self, store):
        url = f'http://{self.store_address}'
        return {'url': url, 'timeout_ms': STORE_TIMEOUT_MS, **(store or {})}

    def start_target(self, name, kind, **options):
        """Start an engine or an application; return its address."""
        address = self.reserve_address()
        argv = [
            '--listen',
            address,
            '--log',
            self.get_log_path(f'target-{name}'),
        ]
        for option, value in options.items():
            argv += [f'--{option.replace("_", "-")}', str(value)]
        standin = 'engine' if kind == 'model' else 'application'
        self.start_standin(f'target-{name}', standin, *argv)
        self.addresses[f'target-{name}'] = address
        return address

    def start_agent(self, name, service, kind, domain, link=False, **options):
        """Start the agent of a target; with `link`, behind a link process."""
        target = self.addresses[f'target-{name}']
        listen = self.reserve_address()
        state_listen = self.reserve_address()
        address = listen
        if link:
            link_process = processes.LinkProcess(self, name, listen)
            self.addresses[f'link-{name}'] = link_process
            address = link_process.listen
        section = {
            'name': name,
            'domain': domain,
            'service': service,
            'kind': kind,
            'listen': listen,
            'state_listen': state_listen,
            'target': f'http://{target}',
            **options,
        }
        if link:
            section['advertise'] = address
        ini = self._write_ini(
            name, {'agent': section, 'store': self._store_section(None)}
        )
        self.services[name] = (kind, service)
        self.addresses[name] = listen
        self.addresses[f'state-{name}'] = state_listen
        self._start_process(name, '-m', 'galenaspoke.agent.main', ini)

    def start_router(self, name, domain, store_link=False, **options):
        """Start a router.

        With `store_link`, it reaches the store through a link process.
        """
        store = {}
        if store_link:
            link_process = processes.LinkProcess(
                self, f'store-{name}', self.store_address
            )
            self.addresses[f'store-link-{name}'] = link_process
            store['url'] = f'http://{link_process.listen}'
        listen = self.reserve_address()
        peer_listen = self.reserve_address()
        section = {
            'name': name,
            'domain': domain,
            'listen': listen,
            'peer_listen': peer_listen,
            **options,
        }
        if self.roster_address:
            section['roster'] = f'http://{self.roster_address}'
        sections = {'router': section, 'store': self._store_section(store)}
        ini = self._write_ini(name, sections)
        self.addresses[name] = listen
        self.addresses[f'peer-{name}'] = peer_listen
        self._start_process(name, '-m', 'galenaspoke.router.main', ini)

    def run_ctl(self, *argv, check=True):
        """Run galenaspoke-ctl; return (exit code, output).

        The output of a command that fails includes its errors; that of one
        that succeeds has no notices, so it can be decoded.  Raise RuntimeError
        if it fails, unless `check` is false.
        """
        routers = [
            self.addresses[name]
            for name in self.addresses
            if f'peer-{name}' in self.addresses
        ]
        sections = {
            'ctl': {
                'operator': 'demo',
                'routers': ','.join(routers),
                'command_timeout_ms': COMMAND_TIMEOUT_MS,
            },
            'store': self._store_section(None),
        }
        ini = self._write_ini('ctl', sections)
        result = subprocess.run(
            [
                sys.executable,
                '-m',
                'galenaspoke.ctl.main',
                '--settings',
                ini,
                *argv,
            ],
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
        )
        if check and result.returncode:
            raise RuntimeError(
                f'galenaspoke-ctl {argv} failed: {result.stderr}'
            )
        if result.returncode:
            return result.returncode, result.stdout + result.stderr
        return result.returncode, result.stdout

    def publish(self, document):
        """Publish a configuration given as a dict."""
        path = self.directory / 'document.json'
        path.write_text(json.dumps(document))
        return self.run_ctl('publish', str(path))

    def get_state(self, name):
        """Return the state dump of a process, or None if it is unreachable."""
        address = self.addresses.get(f'state-{name}', self.addresses[name])
        try:
            return processes.get_json(address, '/state', STATE_TIMEOUT_S)
        except (OSError, urllib.error.URLError):
            return None

    def wait_until(
        self, description, condition, timeout_s=READY_TIMEOUT_S, needs=()
    ):
        """Wait until a condition holds, or raise TimeoutError.

        `needs` has the names of processes without which it can't: raise
        ProcessExited if one of them has exited.
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            for name in needs:
                if not self.processes[name].is_alive():
                    raise ProcessExited(self.processes[name])
            if time.monotonic() > deadline:
                raise TimeoutError(f'waited {timeout_s} s for {description}')
            time.sleep(0.05)

    def _wait_for_listener(self, name, address):
        host, _, port = address.rpartition(':')

        def is_listening():
            try:
                socket.create_connection((host, int(port)), 1).close()
            except OSError:
                return False
            return True

        self.wait_until(
            f'{name} to listen on {address}',
            is_listening,
            START_TIMEOUT_S,
            [name],
        )

    def wait_ready(self, routers, agents, timeout_s=START_TIMEOUT_S):
        """Wait until each router is ready, is a holder and can use all agents.

        A router is a holder once its holder record is in the store; it can use
        an agent that it has not marked as failed.
        """
        for name in routers:
            try:
                self.wait_until(
                    f'{name} to be ready',
                    lambda n=name: not self._find_obstacle(n, agents),
                    timeout_s,
                    [name],
                )
            except TimeoutError as exc:
                obstacle = self._find_obstacle(name, agents)
                raise TimeoutError(f'{exc}: {obstacle}') from exc

    def _find_obstacle(self, router, agents):
        """Return why a router can't serve with these agents, '' if it can."""
        state = self.get_state(router)
        if not state:
            return 'no state dump'
        if not state['ready']:
            return 'ready is False'
        if not state['money'] or state['money']['holder'] is None:
            return 'it is no holder'
        usable_agents = {
            agent
            for agent, entry in state['agents'].items()
            if not entry['failed']
        }
        missing = sorted(set(agents) - usable_agents)
        return f'it can not use {", ".join(missing)}' if missing else ''

    def wait_agents_joined(self, names):
        """Wait until each agent has joined the registry."""
        for name in names:
            self._wait_for_listener(name, self.addresses[name])
            self.wait_until(
                f'{name} to join',
                lambda n=name: (self.get_state(n) or {}).get('joined'),
                START_TIMEOUT_S,
                [name],
            )

    def update_roster(self):
        """Set the roster to all routers; it shows them after its lag."""
        instances = [
            {
                'name': name,
                'role': 'router',
                'address': self.addresses[f'peer-{name}'],
            }
            for name in self.addresses
            if f'peer-{name}' in self.addresses
        ]
        if self.roster_address:
            processes.post_json(self.roster_address, '/control', instances)

    def set_faults(self, name, **faults):
        """Set the faults of a stand-in."""
        address = (
            self.store_address if name == 'store' else self.addresses[name]
        )
        processes.post_json(address, '/control', faults)

    def stop_gracefully(self, names):
        """Send SIGTERM to processes, and wait until they have exited."""
        for name in names:
            self.processes[name].signal(signal.SIGTERM)
        for name in names:
            self.processes[name].popen.wait(processes.STOP_TIMEOUT_S)

    def kill_all(self):
        """Kill every process of the cluster, also frozen ones.

        Releases their ports.
        """
        for process in self.processes.values():
            process.thaw()
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        self._ports.release()
