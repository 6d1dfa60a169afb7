"""Lets peers that read slowly take their time, but not silent ones.

The kernel fails a connection whose peer acknowledges nothing for
`sockets.UNACKNOWLEDGED_TIMEOUT_MS`.  It counts the time for which the peer's
receive window is shut as well, though the peer acknowledges each probe.  So
the time-out goes off as soon as something shows that the peer takes bytes:

- the socket buffer was full, and takes more;
- part of the request is acknowledged, and the rest waits;
- bytes wait for a shut window, and the probes are answered.

A kernel that doesn't tell the last of these may tell the second, and each
shows the first.  Where a kernel tells that probes remain unanswered, the
time-out is on again.

Example::

    sock.send(data)
    patience.process_watch.add(sock, len(data))
"""

import gevent

from galenaspoke.http import sockets
from galenaspoke.http import tcp_info

# Well below UNACKNOWLEDGED_TIMEOUT_MS, which applies until the first check.
CHECK_INTERVAL_S = 1
# A peer that leaves so many retransmissions or probes unanswered, and that
# was not heard for so long, is silent.
SILENT_UNANSWERED = 2
SILENT_MS = 1_500
# While the time-out is off, the peer is probed as often as this.
PROBE_PAUSE_MS = 1_000


class Watch:
    """The sockets on which something was sent that may not have arrived.

    A socket leaves it once all was acknowledged, or with its connection.
    """

    __slots__ = ('_sizes', '_patient', '_lifted', '_task')

    def __init__(self):
        # How many bytes of the latest request the socket buffer took at once.
        self._sizes = {}
        # Those whose window was shut since, and whether the time-out is off.
        self._patient = {}
        # Those for which `lift` took it off.
        self._lifted = set()
        # Checks the sockets while there are any.
        self._task = None

    def add(self, sock, size):
        """Watch a socket whose buffer has just taken `size` bytes.

        They begin a request, and nothing of earlier ones is under way.
        """
        self._sizes[sock] = size
        self._start()

    def lift(self, sock):
        """Take the time-out off: the peer has shown that it takes bytes.

        Unless the peer falls silent, it stays off until `restore`.
        """
        self._lifted.add(sock)
        self._sizes.setdefault(sock, 0)
        if not self._patient.get(sock):
            self._patient[sock] = True
            sockets.set_unacknowledged_timeout(sock, 0)
        self._start()

    def restore(self, sock):
        """Set the time-out again, before another request."""
        self._forget(sock)
        _set_default_timeout(sock)

    def check(self):
        """Adjust the time-outs to what the kernel knows now."""
        for sock in list(self._sizes):
            self._check_socket(sock)

    def _check_socket(self, sock):
        info = tcp_info.read(sock)
        unacknowledged = sockets.count_unacknowledged_bytes(sock)
        if info is None and unacknowledged is None:
            self._forget(sock)
        elif info is not None and is_silent(info):
            if self._patient.get(sock):
                _set_default_timeout(sock)
                self._patient[sock] = False
        elif self._waits_for_window(sock, info, unacknowledged):
            if not self._patient.get(sock):
                sockets.set_unacknowledged_timeout(sock, 0)
                self._patient[sock] = True
            sockets.set_max_probe_pause(sock, PROBE_PAUSE_MS)
        elif not _is_under_way(info, unacknowledged):
            if sock in self._patient and sock not in self._lifted:
                _set_default_timeout(sock)
                sockets.set_max_probe_pause(sock)
            self._forget(sock)

    def _waits_for_window(self, sock, info, unacknowledged):
        """Return whether a peer that lives doesn't take all that was sent."""
        if info is not None and info.unsent_bytes:
            return True
        return 0 < (unacknowledged or 0) < self._sizes[sock]

    def _forget(self, sock):
        self._sizes.pop(sock, None)
        self._patient.pop(sock, None)
        self._lifted.discard(sock)

    def _start(self):
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run)

    def _run(self):
        while self._sizes:
            gevent.sleep(CHECK_INTERVAL_S)
            self.check()


def is_silent(info):
    """Return whether the peer doesn't acknowledge what reaches it."""
    return (
        info.unanswered >= SILENT_UNANSWERED
        and info.acknowledgement_age_ms >= SILENT_MS
    )


def _set_default_timeout(sock):
    sockets.set_unacknowledged_timeout(sock, sockets.UNACKNOWLEDGED_TIMEOUT_MS)


def _is_under_way(info, unacknowledged):
    """Return whether something that was sent may not have arrived."""
    if unacknowledged is not None:
        return unacknowledged > 0
    return bool(info.unsent_bytes or info.unacknowledged_packets)


# The watch of this process.
process_watch = Watch()
