"""Tells a slow path to the store from a silent one, by the bytes that arrive.

All paths of a process share one `Liveness`, since they share its link.  While
a response moves, the link is busy: other calls are slow, and a call without an
answer says nothing against the path that the response comes by.  A connection
that was found silent, on the other hand, may have become so together with all
that were open then.

Example::

    live = Liveness()
    with live.transfer(conn):
        live.is_busy()              # True while bytes arrive
    live.record_silence()
    live.is_sound(kept_conn)        # False if it was heard before that
"""

import contextlib
import time

# A response moves if its latest bytes are no older than this.
MOVING_TTL_S = 0.4
# A response that takes this long to come in is logged.
SLOW_RESPONSE_S = 0.5


class Liveness:
    """When a process heard from its peers, on the monotonic clock in s.

    Slow responses are noted in `journal`, if there is one.
    """

    __slots__ = ('_journal', '_transfers', '_silence_found_at')

    def __init__(self, journal=None):
        self._journal = journal
        # Connections with a response that has begun and isn't complete.
        self._transfers = set()
        # When a connection was last found silent.
        self._silence_found_at = 0

    @contextlib.contextmanager
    def transfer(self, conn):
        """Count a connection as one whose response has begun."""
        started_at = time.monotonic()
        received_before = conn.received_bytes
        self._transfers.add(conn)
        try:
            yield
        finally:
            self._transfers.discard(conn)
            self._note_if_slow(
                time.monotonic() - started_at,
                conn.received_bytes - received_before,
            )

    def _note_if_slow(self, spent_s, received_bytes):
        if self._journal is not None and spent_s >= SLOW_RESPONSE_S:
            self._journal.note(
                'store.slow_response',
                bytes=received_bytes,
                ms=int(1000 * spent_s),
            )

    def is_busy(self):
        """Return whether a response moves on any path."""
        return any(was_just_heard(conn.heard_at) for conn in self._transfers)

    def record_silence(self):
        """Note that a connection got no answer in time."""
        self._silence_found_at = time.monotonic()

    def is_sound(self, conn):
        """Return whether a connection was heard after the last silence."""
        return conn.heard_at >= self._silence_found_at


def was_just_heard(heard_at):
    """Return whether bytes that came at `heard_at` show that a path works."""
    return time.monotonic() - heard_at < MOVING_TTL_S
