"""A TCP link that can be cut: relays LISTEN to TO while it is up.

A line on the control port, `cut` or `mend`, changes it.  Cut, it drops
nothing but delivers nothing either, as a network partition does; connections
made meanwhile hang.
"""

import click
import gevent
from gevent import event
from gevent import server
from gevent import socket

CHUNK_BYTES = 65536


class Link:
    """One relay."""

    def __init__(self, to):
        host, _, port = to.rpartition(':')
        self._to = (host, int(port))
        self._up = event.Event()
        self._up.set()

    def handle_connection(self, conn, _address):
        """Relay one connection, both ways."""
        self._up.wait()
        try:
            peer = socket.create_connection(self._to)
        except OSError:
            conn.close()
            return
        halves = [
            gevent.spawn(self._copy, conn, peer),
            gevent.spawn(self._copy, peer, conn),
        ]
        gevent.joinall(halves)
        conn.close()
        peer.close()

    def _copy(self, source, sink):
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                self._up.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def handle_control(self, conn, _address):
        """Obey one control connection."""
        for line in conn.makefile():
            if line.strip() == 'cut':
                self._up.clear()
            elif line.strip() == 'mend':
                self._up.set()
            conn.sendall(b'ok\n')


def _address(text):
    host, _, port = text.rpartition(':')
    return host, int(port)


@click.command()
@click.option('--listen', required=True)
@click.option('--to', required=True)
@click.option('--control', required=True)
def main(listen, to, control):
    """Relay LISTEN to TO, obeying CONTROL."""
    link = Link(to)
    server.StreamServer(_address(control), link.handle_control).start()
    server.StreamServer(
        _address(listen), link.handle_connection
    ).serve_forever()
