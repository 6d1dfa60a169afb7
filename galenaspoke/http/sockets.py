"""Options and states of TCP sockets.

Example::

    sockets.configure_peer(sock)
    sockets.is_open_and_empty(sock)
"""

import contextlib
import fcntl
import select
import socket as std_socket
import struct
import termios

from gevent import monkey
from gevent import socket

# A connection to a peer fails if it doesn't acknowledge sent data for this
# long.  The kernel counts a shut receive window as well, see `patience`.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
# How a silent peer is found while nothing is under way to it: after 3 s.
PEER_KEEPALIVE = (1, 1, 2)
# Callers are found to be gone after 10 s: their links are worse, and what
# waits for one is bounded by its deadline.
CALLER_KEEPALIVE = (4, 2, 3)
# How long the kernel keeps what a caller hasn't taken once its connection is
# closed.
CLOSED_TIMEOUT_MS = 30_000
# The longest pause between two probes of a shut window, or retransmissions, by
# the kernel's default.  The option is not in the standard library.
TCP_RTO_MAX_MS = 44
MAX_PROBE_PAUSE_MS = 120_000
_INT = struct.Struct('i')


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


def configure_peer(sock):
    """Prepare a connection to a target, the store, a relay or a router.

    One that is unreachable is noticed within UNACKNOWLEDGED_TIMEOUT_MS.
    """
    _configure(sock, PEER_KEEPALIVE)
    set_unacknowledged_timeout(sock, UNACKNOWLEDGED_TIMEOUT_MS)


def configure_caller(sock):
    """Prepare a connection that a caller has made.

    No time-out of the kernel applies while something waits for the caller:
    where the kernel doesn't tell a shut receive window from silence, a caller
    that reads slowly would be cut off.
    """
    _configure(sock, CALLER_KEEPALIVE)


def send_some(sock, data, wait_s):
    """Wait for room; return how many bytes the socket buffer has taken.

    It becomes writable once a third of it is free, so after `wait_s` seconds
    it is tried all the same: a peer that reads slowly makes room for less.
    Doesn't change the time-out of a gevent socket.
    """
    with contextlib.suppress(TimeoutError):
        socket.wait(sock._write_event, wait_s)
    return send_at_once(sock, data)


def send_at_once(sock, data):
    """Return how many bytes the buffer of a gevent socket has taken."""
    try:
        return sock._sock.send(data)
    except BlockingIOError:
        return 0


def is_closed_by_peer(sock):
    """Return whether a peer has closed or reset a connection.

    Bytes that came before may wait to be read.  A socket that is closed here
    counts as closed by its peer.
    """
    closed = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    # gevent's own may take its place, which doesn't know these events.
    poller = monkey.get_original('select', 'poll')()
    try:
        poller.register(sock.fileno(), select.POLLRDHUP)
        events = poller.poll(0)
    except (OSError, ValueError):
        return True
    return any(found & (closed | select.POLLNVAL) for _, found in events)


def _configure(sock, keepalive):
    """Disable Nagle's algorithm and probe an idle connection.

    `keepalive` has the time without a packet and the pause between probes, in
    s, and the number of probes.
    """
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    idle_s, interval_s, probes = keepalive
    _set_tcp_option(sock, std_socket.TCP_KEEPIDLE, idle_s)
    _set_tcp_option(sock, std_socket.TCP_KEEPINTVL, interval_s)
    _set_tcp_option(sock, std_socket.TCP_KEEPCNT, probes)


def count_unacknowledged_bytes(sock):
    """Return how much was sent and not acknowledged, None if not told.

    What the kernel still has to send is included.
    """
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _INT.pack(0))
    except (OSError, ValueError):
        return None
    return _INT.unpack(raw)[0]


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
