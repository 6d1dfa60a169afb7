"""Local processes: free ports, signals, links that can be cut.

Only `bench` starts processes: this module starts those of a cluster, and
`cluster` runs galenaspoke-ctl.  galenaspoke itself starts none.
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
    """Return a port of the loopback address that is free now.

    It is below the range of ephemeral ports, so that no outgoing connection
    takes it before the new process listens on it.  No port is returned twice.
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
    """Return an IP:PORT on the loopback address whose port is free."""
    return f'127.0.0.1:{allocate_port()}'


def post_json(address, path, document):
    """POST a JSON document to a stand-in; return the body of the response."""
    body = json.dumps(document).encode()
    url = f'http://{address}{path}'
    with urllib.request.urlopen(url, body, timeout=5) as resp:
        return resp.read()


def get_json(address, path):
    """GET a path; return the decoded JSON document."""
    url = f'http://{address}{path}'
    with urllib.request.urlopen(url, timeout=5) as resp:
        return json.loads(resp.read())


class Process:
    """A child process that can be signalled, killed and started again.

    Its output is appended to NAME.err in `directory`.
    """

    def __init__(self, name, argv, directory):
        self.name = name
        self._argv = argv
        self._directory = directory
        self.popen = None
        self.start()

    def start(self):
        """Start the process, for the first time or after it has exited."""
        with open(self._directory / f'{self.name}.err', 'ab') as err:
            self.popen = subprocess.Popen(
                self._argv, stdout=err, stderr=err, stdin=subprocess.DEVNULL
            )

    def is_alive(self):
        """Return True if the process has not exited."""
        return self.popen.poll() is None

    def signal(self, number):
        """Send a signal, unless the process has exited."""
        if self.is_alive():
            self.popen.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL, as in a crash, and wait for it."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self):
        """Suspend the process with SIGSTOP until it is thawed."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Resume a frozen process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def stop(self):
        """Stop the process with SIGTERM; return its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


class LinkProcess:
    """A `standins link` process: a TCP proxy that can be cut.

    It stands between the routers and one agent, or between a router and the
    store.
    """

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

    def _send_command(self, command):
        host, _, port = self._control.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=5) as conn:
            conn.sendall(f'{command}\n'.encode())
            conn.recv(16)

    def cut(self):
        """Start a partition: no data is delivered in either direction."""
        self._send_command('cut')

    def restore(self):
        """End the partition: data that was held back is delivered."""
        self._send_command('mend')
