"""Callers of a faulty engine, and callers that flood a router themselves.

A process of its own, so that it takes no time from those who measure::

    python -m bench.flood_callers --router 127.1.2.3:8227 --case caller-body

What is sent is bounded by what the router takes and by the time.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench import processes  # noqa: E402
from standins import edge_floods  # noqa: E402
from standins import platform_documents  # noqa: E402
from standins import raw_http  # noqa: E402

ROOT = pathlib.Path(__file__).parents[1]
PIECES = 1_000
PAUSE_S = 0.02
DEADLINE_MS = 8_000
BODY_BYTES = 4_194_304
UNSENT_BYTES = 16
HEAD_BYTES = 16_000
REQUESTS = 40
REQUEST_BYTES = 100_000
UNREAD_BUFFER_BYTES = 2_048


class Caller:
    """One caller, which repeats a case until the time is over."""

    __slots__ = ('_name', '_router', '_until', '_count')

    def __init__(self, name, router, until):
        self._name = name
        self._router = raw_http.parse(router)
        self._until = until
        self._count = 0

    def run(self, case):
        """Repeat a case, each time on a new connection."""
        act = CASES.get(case, _make_asking(case in edge_floods.STREAM_CASES))
        while time.monotonic() < self._until:
            try:
                with gevent.Timeout(self._until - time.monotonic()):
                    self._act_once(act)
            except (OSError, raw_http.Disconnected, ValueError):
                gevent.sleep(PAUSE_S)
            except gevent.Timeout:
                return

    def _act_once(self, act):
        self._count += 1
        with socket.create_connection(self._router) as sock:
            act(sock, f'{self._name}-{self._count}')


def _encode(prefix, name, body=None, headers=(), length=None):
    """Return a request, or if `length` is given its head alone."""
    own = platform_documents.make_request_headers(name, DEADLINE_MS)
    own += platform_documents.make_model_headers(name, PIECES)
    if body is None:
        body = json.dumps({'key': name, 'pieces': PIECES}).encode()
    first = f'POST {prefix}{name} HTTP/1.1'
    if length is None:
        return raw_http.encode(first, [*own, *headers], body)
    stated = ('Content-Length', str(length))
    return raw_http.encode(first, [*own, *headers, stated])


def _make_asking(is_stream):
    """Return what asks the faulty engine and drops what comes."""

    prefix = (
        platform_documents.FAULTY_STREAM
        if is_stream
        else platform_documents.FAULTY_PLAIN
    )

    def ask(sock, name):
        sock.sendall(_encode(prefix, name))
        while sock.recv(raw_http.RECEIVE_BYTES):
            pass
        gevent.sleep(PAUSE_S)

    return ask


def _make_withholding(key):
    """Return what sends a large body but for its last bytes."""

    def withhold(sock, name):
        headers = [('Api-Key', key)]
        head = _encode(
            platform_documents.FAULTY_KEYED,
            name,
            headers=headers,
            length=BODY_BYTES,
        )
        sock.sendall(head + b'x' * (BODY_BYTES - UNSENT_BYTES))
        sock.recv(raw_http.RECEIVE_BYTES)
        gevent.sleep(PAUSE_S)

    return withhold


def _send_endless_head(sock, name):
    head = _encode(platform_documents.FAULTY_PLAIN, name)[:-2]
    sock.sendall(head.split(b'\r\n\r\n')[0] + b'\r\nX-Long: ')
    sock.sendall(b'x' * HEAD_BYTES)
    sock.recv(raw_http.RECEIVE_BYTES)
    gevent.sleep(PAUSE_S)


def _send_many_requests(sock, name):
    """Send many requests at once, and read the responses after."""
    body = json.dumps({'key': name, 'pieces': 1}).encode()
    body += b' ' * (REQUEST_BYTES - len(body))
    requests = [
        _encode(platform_documents.FAULTY_PLAIN, f'{name}.{number}', body)
        for number in range(REQUESTS)
    ]
    writing = gevent.spawn(_send_quietly, sock, b''.join(requests))
    try:
        while sock.recv(raw_http.RECEIVE_BYTES):
            pass
    finally:
        writing.kill()


def _send_quietly(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        pass


def _leave_unread(sock, name):
    """Read nothing of a stream that the engine writes without end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
    sock.sendall(_encode(platform_documents.FAULTY_STREAM, name))
    gevent.sleep(DEADLINE_MS / 1000)


# What floods a router without a fault of an engine.
CASES = {
    'caller-body': _make_withholding(platform_documents.KEY),
    'caller-body-unknown': _make_withholding('unknown'),
    'caller-head': _send_endless_head,
    'caller-requests': _send_many_requests,
    'caller-unread': _leave_unread,
}
# What the engine does beside callers of some cases.
ENGINE_CASES = {'caller-unread': 'events'}


def start(machine, case, seconds, callers, directory):
    """Start callers of a router as a process, and return that."""
    front = f'{machine.ip}:{platform_documents.FRONT_PORT}'
    argv = [sys.executable, '-m', 'bench.flood_callers', '--router', front]
    argv += ['--case', case, '--seconds', str(seconds)]
    # Its ids differ from those of others at the same time.
    argv += ['--callers', str(callers), '--name', f'f{time.monotonic_ns()}-']
    return processes.Process(f'callers-{case}', argv, directory, cwd=ROOT)


@click.command()
@click.option('--router', required=True)
@click.option('--case', required=True)
@click.option('--seconds', default=6.0)
@click.option('--callers', default=100)
@click.option('--name', default='f', help='What request ids begin with.')
def main(router, case, seconds, callers, name):
    """Call ROUTER for some seconds."""
    until = time.monotonic() + seconds
    gevent.joinall(
        [
            gevent.spawn(Caller(f'{name}{number}', router, until).run, case)
            for number in range(callers)
        ]
    )


if __name__ == '__main__':
    main()
