"""Processes of this machine: free ports, signals, links that can be cut.

This is the only place that starts processes; galenaspoke itself never does.
"""

import json
import random
import signal
import socket
import subprocess
import urllib.request

STOP_TIMEOUT_S = 30
LISTEN_PORTS = (10_000, 32_000)

_random = random.SystemRandom()
_allocated_ports = set()


def allocate_port():
    """Return a port of the loopback address that nobody uses now.

    Taken from below the range that the system gives to outgoing connections,
    so that none of these takes it before it is listened on.
    """
    while True:
        port = _random.randrange(*LISTEN_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _allocated_ports:
            _allocated_ports.add(port)
            return port


def allocate_address():
    """Return a free IP:PORT."""
    return f'127.0.0.1:{allocate_port()}'


def post_json(address, path, document):
    """POST a JSON document to a stand-in."""
    body = json.dumps(document).encode()
    url = f'http://{address}{path}'
    with urllib.request.urlopen(url, body, timeout=5) as resp:
        return resp.read()


def get_json(address, path):
    """Return the JSON document at a path."""
    url = f'http://{address}{path}'
    with urllib.request.urlopen(url, timeout=5) as resp:
        return json.loads(resp.read())


class Process:
    """One process that was started here."""

    def __init__(self, name, argv, directory):
        self.name = name
        self._argv = argv
        self._directory = directory
        self.popen = None
        self.start()

    def start(self):
        """Start it, again if need be."""
        with open(self._directory / f'{self.name}.err', 'ab') as err:
            self.popen = subprocess.Popen(
                self._argv, stdout=err, stderr=err, stdin=subprocess.DEVNULL
            )

    def is_alive(self):
        """Tell whether it runs."""
        return self.popen.poll() is None

    def signal(self, number):
        """Send it a signal if it runs."""
        if self.is_alive():
            self.popen.send_signal(number)

    def kill(self):
        """End it at once, as a crash does."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self):
        """Stop it from running until it is thawed."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Let it run on."""
        self.signal(signal.SIGCONT)

    def stop(self):
        """Ask it to stop in order; return its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


class LinkProcess:
    """A relay between routers and one agent, which can be cut."""

    def __init__(self, cluster, name, to):
        self.listen = allocate_address()
        self._control = allocate_address()
        cluster.start_standin(
            f'link-{name}',
            'link',
            '--listen',
            self.listen,
            '--to',
            to,
            '--control',
            self._control,
        )

    def _send_command(self, word):
        host, _, port = self._control.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=5) as conn:
            conn.sendall(f'{word}\n'.encode())
            conn.recv(16)

    def cut(self):
        """Let nothing through."""
        self._send_command('cut')

    def restore(self):
        """Let everything through that waited."""
        self._send_command('mend')
