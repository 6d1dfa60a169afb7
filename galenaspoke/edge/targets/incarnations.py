"""Connections that lead to one certain incarnation of a target.

A target may start again under its id and address, with other software, before
this router learns of it.  No response names the incarnation that made it, but
a report does, and a connection doesn't outlive the process at its other end.
So each connection is asked for a report before it carries the first stream
whose version matters.  That this router follows the targets' entries, or that
another connection seems to be open, tells too little: a target that can't
reach the store doesn't write its new entry, and the end of a connection may be
lost with a link.

Example::

    conn = checker.acquire(target, '9c41', timeout_ms=1_500)
    conn.send(request)
"""

from galenaspoke.http import connections

# How long a target may take to send a report.
CHECK_TIMEOUT_MS = 500


class OtherIncarnation(connections.NotSent):
    """Another incarnation has the target's address: nothing was sent."""


class Unidentified(connections.NotSent):
    """The target didn't say which incarnation it is: nothing was sent."""


class IncarnationChecker:
    """Opens connections and asks targets for reports where that is needed.

    `report_codec` translates the platform's reports.  `on_replaced` is called
    with a target and the `born` of the incarnation that was found in place.
    """

    __slots__ = ('_report_codec', '_on_replaced', '_clock', '_metrics')

    def __init__(self, report_codec, on_replaced, clock, metrics):
        self._report_codec = report_codec
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
        if self._identify(target, conn, timeout_s):
            return conn
        conn = target.connect()
        if self._identify(target, conn, timeout_s):
            return conn
        raise Unidentified('each report ended its connection')

    def _identify(self, target, conn, timeout_s):
        """Return whether a connection can be used; close it if it can't.

        It can't if the report on it was the last that it carries.
        """
        is_usable = False
        try:
            if target.is_removed:
                raise connections.NotSent('the target was replaced or removed')
            is_known = conn.is_identified or not target.is_identifiable
            is_usable = is_known or self._check(target, conn, timeout_s)
        finally:
            if not is_usable:
                conn.close()
        return is_usable

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
            raise Unidentified(f'report: {exc}') from exc
        if not born and conn.was_used:
            # It may be a second response to the request before.
            return False
        if not born:
            # Nothing can be compared.
            target.is_identifiable = False
        elif born != target.entry.born:
            self._on_replaced(target, born)
            raise OtherIncarnation(f'report: born {born}')
        if target.is_removed:
            raise connections.NotSent('the target was replaced or removed')
        conn.is_identified = True
        return conn.is_reusable(response)

    def _read_report(self, conn, timeout_s):
        """Return the response to a request for a report, and its `born`."""
        conn.set_read_timeout(timeout_s)
        conn.send(self._report_codec.encode_request())
        response = conn.read_head(self._report_codec.is_report)
        body = conn.read_body(response)
        return response, self._report_codec.decode_born(response.status, body)
