"""TCP proxy from LISTEN to TO that can simulate a network partition.

A line `cut` or `mend` on the control port starts or ends the partition.  While
the link is cut, no data is delivered, and none is dropped: it is delivered
once the link is restored.  Connections opened in the meantime hang.
"""

import click
import gevent
from gevent import event
from gevent import server
from gevent import socket

CHUNK_BYTES = 65536


class Link:
    """A proxy to one address, which can be cut."""

    def __init__(self, to):
        host, _, port = to.rpartition(':')
        self._to = (host, int(port))
        self._up = event.Event()
        self._up.set()

    def handle_connection(self, conn, _address):
        """Forward the data of one connection in both directions."""
        self._up.wait()
        try:
            peer = socket.create_connection(self._to)
        except OSError:
            conn.close()
            return
        copiers = [
            gevent.spawn(self._copy, conn, peer),
            gevent.spawn(self._copy, peer, conn),
        ]
        gevent.joinall(copiers)
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
        """Execute the commands of one control connection."""
        for line in conn.makefile():
            if line.strip() == 'cut':
                self._up.clear()
            elif line.strip() == 'mend':
                self._up.set()
            conn.sendall(b'ok\n')


def _parse_address(text):
    host, _, port = text.rpartition(':')
    return host, int(port)


@click.command()
@click.option('--listen', required=True)
@click.option('--to', required=True)
@click.option('--control', required=True)
def main(listen, to, control):
    """Forward LISTEN to TO; take commands on CONTROL."""
    link = Link(to)
    server.StreamServer(_parse_address(control), link.handle_control).start()
    server.StreamServer(
        _parse_address(listen), link.handle_connection
    ).serve_forever()
