"""Options and states of TCP sockets.

Example::

    sockets.configure(sock)
    sockets.is_open_and_empty(sock)
"""

import contextlib
import socket as std_socket

# The connection fails if the peer doesn't acknowledge sent data for this long.
# The kernel counts a shut receive window as well, see `patience`.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The longest pause between two probes of a shut window, or retransmissions, by
# the kernel's default.  The option is not in the standard library.
TCP_RTO_MAX_MS = 44
MAX_PROBE_PAUSE_MS = 120_000


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


def set_unacknowledged_timeout(sock, timeout_ms):
    """Set how long the kernel waits for acknowledgements, 0 for its default.

    Does nothing if the socket is closed.
    """
    _set_tcp_option(sock, std_socket.TCP_USER_TIMEOUT, timeout_ms)


def set_max_probe_pause(sock, pause_ms=MAX_PROBE_PAUSE_MS):
    """Limit the pause between two probes of a shut window.

    Without a limit each is twice as long as the one before, also on kernels
    before 6.15, where this does nothing.
    """
    _set_tcp_option(sock, TCP_RTO_MAX_MS, pause_ms)


def _set_tcp_option(sock, option, value):
    with contextlib.suppress(OSError):
        sock.setsockopt(std_socket.IPPROTO_TCP, option, value)
