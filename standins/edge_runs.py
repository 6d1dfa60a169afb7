"""The runs of an edge engine, and its log of them.

By request id the log has each run: the incarnation, the versions, how the
response is framed, what an event's id is, after which event the run goes on,
the first token that it is to send, and whether bytes that belong to no
response came before on its connection.  A second line has how the run ended,
with the events and tokens that were sent.  A run without it was killed.  A
request may run again before its first run has ended, so runs are numbered.
"""

import itertools
import os
import time
import zlib

from standins import edge_bodies
from standins import edge_floods
from standins import edge_manners
from standins import edge_plans
from standins import edge_responses
from standins import raw_http

# After these ends the connection is reset.
RESETS = (
    edge_plans.RESET,
    edge_plans.LEFT,
    edge_plans.LOST_RESET,
    edge_plans.LOST,
    edge_plans.HANG,
)
# Engines' weights have one of so many versions.
WEIGHT_VERSIONS = 9


class Runs:
    """What an engine works on; one request at a time on a connection.

    `weights` is the version of the engine's weights.
    """

    __slots__ = (
        'weights',
        '_instance',
        '_entry',
        '_log',
        '_rng',
        '_settings',
        '_runs',
        '_numbers',
        '_late_responses',
        '_garbled',
        '_manner',
        '_listed',
    )

    def __init__(self, instance, entry, log, rng, settings):
        self.weights = 1
        if settings.division.weights:
            self.weights += zlib.crc32(instance.encode()) % WEIGHT_VERSIONS
        self._instance = instance
        self._entry = entry
        self._log = log
        self._rng = rng
        self._settings = settings
        # Pairs of the number and the run, by their connection.
        self._runs = {}
        self._numbers = itertools.count(1)
        # Responses that come once more where the next one is due, by their
        # connection.
        self._late_responses = {}
        # Connections on which one came.
        self._garbled = set()
        self._manner = settings.manner or edge_manners.Manner()
        # Pairs of an ended run that is still listed, and until when.
        self._listed = []

    def is_any(self):
        """Return whether there is a run."""
        return bool(self._runs)

    def list_reported(self):
        """Return the runs as a report of the engine lists them."""
        now = time.monotonic()
        self._listed = [pair for pair in self._listed if pair[1] > now]
        runs = [run for _, run in self._runs.values()]
        runs += [run for run, _ in self._listed]
        return [[run.id, 100, run.sent, 5] for run in runs]

    def take_late_response(self, conn):
        """Return what comes on a connection before the next response."""
        late = self._late_responses.pop(conn, b'')
        if late:
            self._garbled.add(conn)
        return late

    def forget(self, conn):
        """Forget a connection that is closed."""
        self._late_responses.pop(conn, None)
        self._garbled.discard(conn)

    def make_stamp(self, request_id):
        """Return what the engine signs a response with."""
        return edge_bodies.make_stamp(
            self._instance, self._entry['born'], request_id
        )

    def run(self, conn, message, body, forced=None):
        """Run a request, and log how that ended.

        The run ends as `forced` says if that isn't None.  Returns whether to
        read another request on the connection.
        """
        path = message.first.split(' ')[1]
        run = edge_plans.Run(
            message,
            body,
            self._rng,
            self._settings,
            path.startswith('/stream'),
            forced,
        )
        number = next(self._numbers)
        self._runs[conn] = number, run
        self._log_run(path, number, run, conn in self._garbled)
        how = 'cancelled'
        try:
            self._respond(conn, run)
            how = edge_plans.WHOLE
        except edge_responses.EarlyEnd:
            how = run.plan.ending
        finally:
            # Otherwise it was ended with all others.
            if self._runs.pop(conn, None):
                self._end(conn, number, run, how)
        if how == edge_plans.WHOLE and run.plan.framing != 'none':
            return self._manner.keeps_connections
        return how == edge_plans.ERROR

    def end_all(self, how):
        """End all runs at once, some with a reset, the others closed."""
        while self._runs:
            conn, (number, run) = self._runs.popitem()
            self._log_end(number, run, how)
            if self._rng.random() < self._manner.reset_share:
                raw_http.reset(conn.sock)
            else:
                conn.sock.close()

    def log_flood(self, path, request_id):
        """Log that a request is answered without end."""
        self._log_begin(path, request_id, edge_floods.FRAMING)

    def log_end_of_flood(self, request_id):
        """Log that an answer without end has ended."""
        self._log.write(what='end', id=request_id, how=edge_floods.FRAMING)

    def _respond(self, conn, run):
        headers = [
            ('X-Response-Stamp', self.make_stamp(run.id)),
            ('X-Weight-Versions', str(self.weights)),
            ('X-Request-Id', run.id),
        ]
        if run.plan.framing != 'none' and not self._manner.keeps_connections:
            headers.append(('Connection', 'close'))
        writer = edge_responses.Writer(conn.sock, self._rng)
        writer.write_response(
            run, self._entry['Version'], headers, self.weights
        )
        if run.plan.extra == edge_plans.LATE:
            self._late_responses[conn] = b''.join(writer.written)

    def _end(self, conn, number, run, how):
        self._log_end(number, run, how)
        if how != edge_plans.WHOLE and self._manner.listed_s:
            until = time.monotonic() + self._manner.listed_s
            self._listed.append((run, until))
        if how == edge_plans.EXIT:
            os._exit(1)
        if how in RESETS:
            raw_http.reset(conn.sock)

    def _log_run(self, path, number, run, follows_garbage):
        self._log_begin(
            path,
            run.id,
            run.plan.framing,
            number=number,
            after=run.after,
            first=run.first,
            follows_garbage=follows_garbage,
        )

    def _log_begin(self, path, request_id, framing, **fields):
        self._log.write(
            what='run',
            id=request_id,
            path=path,
            framing=framing,
            instance=self._instance,
            born=self._entry['born'],
            version=self._entry['Version'],
            service=self._entry['Service'],
            ids=self._settings.division.ids,
            **fields,
        )

    def _log_end(self, number, run, how):
        self._log.write(
            what='end',
            id=run.id,
            number=number,
            how=how,
            events=run.sent,
            tokens=run.sent_tokens,
            extra=run.plan.extra,
        )
