"""Options and states of TCP sockets.

Example::

    sockets.configure(sock)
    sockets.is_open_and_empty(sock)
"""

import socket as std_socket

# The connection fails if the peer doesn't acknowledge sent data for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def peek(sock):
    """Return the next byte of a gevent socket without consuming it.

    Returns b'' at the end of the stream and raises BlockingIOError if there
    is nothing to read.
    """
    flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
    return sock._sock.recv(1, flags)


def is_open_and_empty(sock):
    """Return whether a socket is open and has nothing to read."""
    try:
        peek(sock)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def configure(sock):
    """Disable Nagle's algorithm and detect an unreachable peer soon."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        tcp, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
