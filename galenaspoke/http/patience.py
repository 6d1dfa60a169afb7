"""Lets peers that read slowly take their time, but not silent ones.

The kernel fails a connection whose peer acknowledges nothing for
`sockets.UNACKNOWLEDGED_TIMEOUT_MS`.  It counts the time for which the peer's
receive window is shut as well, though the peer acknowledges each probe.  While
bytes wait for such a window, the time-out is off, unless the probes remain
unanswered.

Example::

    sock.send(data)
    patience.process_watch.add(sock)
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

    __slots__ = ('_sockets', '_patient', '_task')

    def __init__(self):
        self._sockets = set()
        # Those whose window was shut since, and whether the time-out is off.
        self._patient = {}
        # Checks the sockets while there are any.
        self._task = None

    def add(self, sock):
        """Watch a socket on which something has just been sent."""
        self._sockets.add(sock)
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run)

    def check(self):
        """Adjust the time-outs to what the kernel knows now."""
        for sock in list(self._sockets):
            self._check_socket(sock)

    def _check_socket(self, sock):
        info = tcp_info.read(sock)
        if info is None:
            self._forget(sock)
        elif not (info.unsent_bytes or info.unacknowledged_packets):
            if sock in self._patient:
                _set_default_timeout(sock)
                sockets.set_max_probe_pause(sock)
            self._forget(sock)
        elif is_silent(info):
            if self._patient.get(sock):
                _set_default_timeout(sock)
                self._patient[sock] = False
        elif info.unsent_bytes and not self._patient.get(sock):
            sockets.set_unacknowledged_timeout(sock, 0)
            sockets.set_max_probe_pause(sock, PROBE_PAUSE_MS)
            self._patient[sock] = True

    def _forget(self, sock):
        self._sockets.discard(sock)
        self._patient.pop(sock, None)

    def _run(self):
        while self._sockets:
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


# The watch of this process.
process_watch = Watch()
