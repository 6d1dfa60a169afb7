"""Stand-in for an engine behind the edge fleet, as a process of its own.

A model engine answers with streams of events and states in `GET /report` when
it started and what it works on, as of up to 200 ms ago.  An application engine
answers with bodies in pieces and has no reports.

Each response is framed by its length, in chunks, or not at all.  A share of
them ends early: reset, closed, left without another word, or with the process;
a share is garbled.  `POST /faults/flood` on the engine's own port has it flood
for a while.  Its clock may be apart from those of others.

The log has, by request id, each run, the incarnation, the version, and how the
run ended.  A run without an end in the log was killed.
"""

import json
import os
import random
import select
import socket
import sys
import time

import click
import gevent
from gevent import lock

from galenaspoke.core import clock as clocks
from standins import common
from standins import edge_bodies
from standins import edge_floods
from standins import edge_plans
from standins import edge_responses
from standins import platform_store
from standins import raw_http

REPORT_INTERVAL_S = 0.2
MAX_CONNECTIONS = 64
MAX_QUEUED = 16
# A leaving engine serves for this long after the store has accepted it.
DRAIN_S = 2.3
RETRY_AFTER_S = 0.2
HEARTBEAT_PAUSE_S = platform_store.HEARTBEAT_MS / 1000
# Where the soak has an engine flood; routers never ask for it.
FLOOD_PATH = '/faults/flood'
# How long an engine floods that does so from its start.
ENDLESS_S = 3_600


class EdgeEngine:
    """One incarnation of an engine.

    `entry` is what it writes to the store at `store`, under `instance`.
    """

    def __init__(self, instance, entry, store, log, rng, shares):
        self._instance = instance
        self._entry = entry
        self._store = store
        self._log = log
        self._rng = rng
        self._shares = shares
        self._is_model = entry['Service'].startswith('model')
        self._slots = lock.BoundedSemaphore(entry['Slots'])
        self._queued = 0
        self._runs = {}
        self._reported_runs = []
        self._connections = 0
        self._max_connections = MAX_CONNECTIONS
        # Responses that come once more where the next one is due, by their
        # connection.
        self._late_responses = {}
        # The case of edge_floods that answers requests, until when.
        self._flood = None
        self._flood_until = 0.0

    def flood(self, case, seconds, max_connections=MAX_CONNECTIONS):
        """Answer requests without end for some seconds."""
        self._flood = case
        self._flood_until = time.monotonic() + seconds
        self._max_connections = max_connections

    def run(self, listen):
        """Serve until SIGTERM."""
        gevent.signal_handler(15, gevent.spawn, self._leave)
        self.listen(listen)
        gevent.spawn(self._renew_report)
        while True:
            if self._entry['State'] == 'ready':
                self._write_entry()
            gevent.sleep(HEARTBEAT_PAUSE_S)

    def listen(self, address):
        """Start to answer requests; return the server."""
        return raw_http.listen(address, self._serve)

    def _write_entry(self):
        self._entry['Seq'] += 1
        path = f'/entries/{self._instance}'
        try:
            raw_http.call(self._store, 'PUT', path, self._entry)
        except (OSError, raw_http.Disconnected):
            # The next heartbeat writes it.
            pass

    def _leave(self):
        self._entry['State'] = 'draining'
        self._write_entry()
        gevent.sleep(DRAIN_S)
        try:
            path = f'/entries/{self._instance}'
            raw_http.call(self._store, 'DELETE', path)
        except (OSError, raw_http.Disconnected):
            pass
        while self._runs:
            gevent.sleep(0.05)
        os._exit(0)

    def _renew_report(self):
        while True:
            self._reported_runs = [
                [run.id, 100, run.sent, 5] for run in self._runs.values()
            ]
            gevent.sleep(REPORT_INTERVAL_S)

    # Connections and requests.

    def _serve(self, sock, _peer):
        if self._connections >= self._max_connections:
            raw_http.reset(sock)
            return
        self._connections += 1
        conn = raw_http.Connection(sock)
        try:
            while (message := conn.read_head()) is not None:
                if not self._handle(conn, message):
                    break
        except (OSError, raw_http.Disconnected):
            pass
        finally:
            self._connections -= 1
            self._late_responses.pop(conn, None)
            sock.close()

    def _handle(self, conn, message):
        """Answer a request; return whether to read another one."""
        body = conn.read_body(message)
        path = message.first.split(' ')[1]
        request_id = message.get('x-request-id')
        echo = [('X-Request-Id', request_id)] if request_id else []
        if path == FLOOD_PATH:
            order = json.loads(body)
            self.flood(order['case'], order['seconds'])
            conn.sock.sendall(raw_http.encode_response(200))
            return True
        expected = message.get('x-expect-instance', self._instance)
        if expected != self._instance:
            refusal = raw_http.encode_response(421, b'', echo)
            conn.sock.sendall(refusal)
            return True
        flood = self._get_flood()
        if path == '/health' and flood == edge_floods.HEALTH:
            return self._send_flood(conn, 'health', 'health', 1)
        if path == '/health' or (path == '/report' and self._is_model):
            make = self._make_health if path == '/health' else self._report
            conn.sock.sendall(make())
            return True
        if not request_id:
            headers = [('X-Not-Run', '1')]
            conn.sock.sendall(raw_http.encode_response(400, b'', headers))
            return True
        conn.sock.sendall(self._late_responses.pop(conn, b''))
        if flood not in (None, edge_floods.HEALTH):
            key = json.loads(body)['key']
            first = int(message.get('last-event-id') or 0) + 1
            if flood != edge_floods.REFUSAL:
                self._log_run(message, request_id, edge_floods.FRAMING)
            return self._send_flood(conn, request_id, key, first)
        return self._admit(conn, message, body, echo)

    def _get_flood(self):
        """Return the case that the engine is in, None for none."""
        return self._flood if time.monotonic() < self._flood_until else None

    def _send_flood(self, conn, request_id, key, first):
        answer = edge_floods.Answer(
            request_id,
            self._make_stamp(request_id),
            key,
            self._entry['Version'],
            first,
        )
        left_s = self._flood_until - time.monotonic()
        try:
            edge_floods.send(conn.sock, self._flood, answer, left_s)
        finally:
            raw_http.reset(conn.sock)
            self._log.write(what='end', id=request_id, how=edge_floods.FRAMING)
        return False

    def _make_health(self):
        status = 200 if self._entry['State'] == 'ready' else 503
        headers = [('X-Instance-Id', self._instance)]
        return raw_http.encode_response(status, b'', headers)

    def _report(self):
        report = {
            'Stage': 'unified',
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'Busy': False,
            'Seq': 1,
            'Queued': self._queued,
            'Active': len(self._reported_runs),
            'KvUsed': 100 * len(self._reported_runs),
            'KvTotal': 100_000,
            'Handles': 0,
            'Runs': self._reported_runs,
            'born': self._entry['born'],
        }
        headers = [('Content-Type', 'application/json')]
        raw = json.dumps(report).encode()
        return raw_http.encode_response(200, raw, headers)

    def _admit(self, conn, message, body, echo):
        """Run a request once a slot is free, or refuse it."""
        deadline_s = float(message.get('x-deadline-ms', 10_000)) / 1000
        self._queued += 1
        try:
            has_slot = self._queued <= MAX_QUEUED and self._slots.acquire(
                timeout=deadline_s
            )
        finally:
            self._queued -= 1
        if not has_slot:
            headers = [*echo, ('X-Not-Run', '1')]
            headers.append(('Retry-After', str(RETRY_AFTER_S)))
            conn.sock.sendall(raw_http.encode_response(503, b'', headers))
            return True
        try:
            if _has_ended(conn.sock):
                return False
            path = message.first.split(' ')[1]
            run = edge_plans.Run(
                message,
                body,
                self._rng,
                self._shares,
                path.startswith('/stream'),
            )
            return self._run(conn, message, run, echo)
        finally:
            self._slots.release()

    # Runs.

    def _run(self, conn, message, run, echo):
        """Run a request, and log how that ended."""
        token = object()
        self._runs[token] = run
        self._log_run(message, run.id, run.plan.framing)
        how = 'cancelled'
        try:
            self._respond(conn, run, echo)
            how = edge_plans.WHOLE
        except edge_responses.EarlyEnd:
            how = run.plan.ending
        finally:
            self._log.write(
                what='end',
                id=run.id,
                how=how,
                pieces=run.sent,
                extra=run.plan.extra,
            )
            if how == 'exit':
                os._exit(1)
            if how in ('reset', 'left'):
                raw_http.reset(conn.sock)
            del self._runs[token]
        return how == edge_plans.WHOLE and run.plan.framing != 'none'

    def _log_run(self, message, request_id, framing):
        self._log.write(
            what='run',
            id=request_id,
            path=message.first.split(' ')[1],
            framing=framing,
            instance=self._instance,
            born=self._entry['born'],
            version=self._entry['Version'],
            service=self._entry['Service'],
        )

    def _respond(self, conn, run, echo):
        headers = [
            ('X-Response-Stamp', self._make_stamp(run.id)),
            ('X-Weight-Versions', '1'),
            *echo,
        ]
        writer = edge_responses.Writer(conn.sock, self._rng)
        writer.write_response(run, self._entry['Version'], headers)
        if run.plan.extra == edge_plans.LATE:
            self._late_responses[conn] = b''.join(writer.written)

    def _make_stamp(self, request_id):
        return edge_bodies.make_stamp(
            self._instance, self._entry['born'], request_id
        )


def _has_ended(sock):
    """Return whether the peer has closed a connection."""
    ready, _, _ = select.select([sock], [], [], 0)
    try:
        return bool(ready) and not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


@click.command()
@click.option('--listen', required=True)
@click.option('--announce', required=True, help='The address of the entry.')
@click.option('--store', required=True)
@click.option('--service', required=True)
@click.option('--zone', required=True)
@click.option('--instance', required=True)
@click.option('--version', required=True)
@click.option('--log', required=True)
@click.option('--slots', default=8)
@click.option('--seed', default=1)
@click.option('--early', default=0.08, help='The share that ends early.')
@click.option('--garbled', default=0.0, help='The share that is garbled.')
@click.option('--clock-ms', default=0, help='How far its clock is ahead.')
@click.option('--flood', default=None, help='A case of edge_floods.')
@click.option('--connections', default=MAX_CONNECTIONS)
def main(
    listen,
    announce,
    store,
    service,
    zone,
    instance,
    version,
    log,
    slots,
    seed,
    early,
    garbled,
    clock_ms,
    flood,
    connections,
):
    """Serve a service whose name begins with `model` or not, on LISTEN."""
    entry = {
        'Service': service,
        'Addr': announce,
        'Zone': zone,
        'Version': version,
        'Slots': slots,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Seq': 0,
        'born': clocks.Clock().wall() + clock_ms,
    }
    engine = EdgeEngine(
        instance,
        entry,
        store,
        common.EventLog(log),
        random.Random(seed),
        edge_plans.Shares(early, garbled),
    )
    if flood:
        engine.flood(flood, ENDLESS_S, connections)
    sys.exit(engine.run(listen))
