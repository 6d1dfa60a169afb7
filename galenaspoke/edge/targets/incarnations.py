"""Connections that lead to one certain incarnation of a target.

A target may start again under its id and address, with other software, before
this router learns of it.  No response names the incarnation that made it, but
a report does, and a connection doesn't outlive the process at its other end.
So a connection leads to the incarnation in the target's entry if one of these
holds:

- a report on it said so;
- another such connection is still open, and either this router follows the
  targets' entries without delay, or it has brought something since this one
  was opened: after a cut of the link it may seem to be open for a while;
- nothing has shown since the last report that the process may have ended, and
  this router follows the targets' entries without delay.

Else the target is asked for a report on that very connection.

Example::

    conn = checker.acquire(target, '9c41', timeout_ms=1_500)
    conn.send(request)
"""

from gevent import lock

from galenaspoke.http import connections

# How long a target may take to send a report.
CHECK_TIMEOUT_MS = 500


class OtherIncarnation(connections.NotSent):
    """Another incarnation has the target's address: nothing was sent."""


class Incarnation:
    """What is known of the process at a target's address.

    `born` is that of the target's entry, 0 if it states none.
    """

    __slots__ = ('born', 'checks', '_may_have_ended', '_confirmed')

    def __init__(self, born):
        self.born = born
        # Held during a check, so that one check serves all that wait.
        self.checks = lock.BoundedSemaphore()
        self._may_have_ended = False
        # The connections that lead to it for certain.
        self._confirmed = []

    def is_comparable(self):
        """Return whether a report could show that it is another one."""
        return self.born != 0

    def record_unstated(self):
        """Record that the target's reports don't state `born`."""
        self.born = 0

    def record_end(self):
        """Record that a connection ended in a way that a crash explains."""
        self._may_have_ended = True

    def record_silence(self):
        """Record that the target was silent.

        Connections may then seem to be open although the process has ended.
        """
        self._may_have_ended = True
        self._confirmed = []

    def confirm(self, conn):
        """Record that a connection leads to it, so it has not ended."""
        self._may_have_ended = False
        self._confirmed = [
            known for known in self._confirmed if not known.is_closed()
        ]
        self._confirmed.append(conn)

    def is_reached_by(self, conn, is_in_step):
        """Return whether an open connection leads to it for certain.

        `is_in_step()` says whether the targets' entries are followed without
        delay.
        """
        if conn in self._confirmed:
            return True
        is_followed = is_in_step()
        is_alive = (is_followed and not self._may_have_ended) or any(
            (is_followed or known.has_received_since(conn.opened_at))
            and known.is_open_and_empty()
            for known in self._confirmed
        )
        # It may have ended since the connection was made.
        if not is_alive or not conn.is_open_and_empty():
            return False
        self.confirm(conn)
        return True


class IncarnationChecker:
    """Opens connections and asks targets for reports where that is needed.

    `report_codec` translates the platform's reports.  `is_in_step` is as in
    `Incarnation.is_reached_by`.  `on_replaced` is called with a target and the
    `born` of the incarnation that was found in its place.
    """

    __slots__ = (
        '_report_codec',
        '_is_in_step',
        '_on_replaced',
        '_clock',
        '_metrics',
    )

    def __init__(self, report_codec, is_in_step, on_replaced, clock, metrics):
        self._report_codec = report_codec
        self._is_in_step = is_in_step
        self._on_replaced = on_replaced
        self._clock = clock
        self._metrics = metrics

    def acquire(self, target, request_id, timeout_ms):
        """Return a connection that leads to the target's incarnation.

        It can carry the request with that id.  Raises NotSent if there is
        none.  Each report may take `timeout_ms` or CHECK_TIMEOUT_MS, whichever
        is shorter.
        """
        timeout_s = min(timeout_ms, CHECK_TIMEOUT_MS) / 1000
        conn = target.acquire_connection(self._clock.now(), request_id)
        if self._confirm(target, conn, timeout_s):
            return conn
        conn = target.connect()
        if self._confirm(target, conn, timeout_s):
            return conn
        raise connections.NotSent('each report ended its connection')

    def _confirm(self, target, conn, timeout_s):
        """Return whether a connection can be used; close it if it can't.

        It can't if the report on it was the last that it carries.
        """
        is_usable = False
        try:
            is_usable = self._is_confirmed(
                target, conn
            ) or self._check_in_turn(target, conn, timeout_s)
        finally:
            if not is_usable:
                conn.close()
        return is_usable

    def _is_confirmed(self, target, conn):
        incarnation = target.incarnation
        if target.is_removed:
            raise connections.NotSent('the target was replaced or removed')
        return not incarnation.is_comparable() or incarnation.is_reached_by(
            conn, self._is_in_step
        )

    def _check_in_turn(self, target, conn, timeout_s):
        """Check a connection, unless a check of another one tells."""
        checks = target.incarnation.checks
        if not checks.acquire(timeout=timeout_s):
            raise connections.NotSent('another report is awaited')
        try:
            return self._is_confirmed(target, conn) or self._check(
                target, conn, timeout_s
            )
        finally:
            checks.release()

    def _check(self, target, conn, timeout_s):
        """Ask for a report; return whether the connection can be used."""
        self._metrics.count('incarnations.checked')
        try:
            response, born = self._read_report(conn, timeout_s)
        except (
            connections.ResponseLost,
            connections.ReadTimeout,
            ValueError,
        ) as exc:
            self._metrics.count('incarnations.unreadable')
            raise connections.NotSent(f'report: {exc}') from exc
        if not born and conn.was_used:
            # It may be a second response to the request before.
            return False
        if not born:
            target.incarnation.record_unstated()
        elif born != target.incarnation.born:
            self._on_replaced(target, born)
            raise OtherIncarnation(f'report: born {born}')
        else:
            target.incarnation.confirm(conn)
        return conn.is_reusable(response)

    def _read_report(self, conn, timeout_s):
        """Return the response to a request for a report, and its `born`."""
        conn.set_read_timeout(timeout_s)
        conn.send(self._report_codec.encode_request())
        response = conn.read_head(self._report_codec.is_report)
        body = conn.read_body(response)
        return response, self._report_codec.decode_born(response.status, body)
