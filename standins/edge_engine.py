"""Stand-in for an engine behind the edge fleet, as a process of its own.

A model engine answers with streams of events and states in `GET /report` when
it started and what it works on, as of up to 200 ms ago.  An application engine
answers with bodies in pieces and has no reports.

`edge_plans` has what it may do with a request, `edge_divisions` what the
events of its streams hold, and `edge_runs` what its log has.  On the engine's
own port `POST /faults/flood` has it flood for a while, and `POST /faults/mode`
misbehave in one of the ways of `edge_modes`.  Its clock may be apart from
those of others.
"""

import json
import os
import random
import select
import signal
import socket
import sys
import time

import click
import gevent
from gevent import lock

from galenaspoke.core import clock as clocks
from standins import common
from standins import edge_divisions
from standins import edge_floods
from standins import edge_manners
from standins import edge_modes
from standins import edge_plans
from standins import edge_runs
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
# Where it has one misbehave; edge_modes has what is sent there.
MODE_PATH = '/faults/mode'
# How long an engine that is to stop at once takes to do so.
SPOT_DELAY_S = 0.01
# The share of leaving engines that close their streams early at the end, and
# how long they go on after that.
HASTY_SHARE = 0.5
LINGER_S = (0.0, 1.0)
# How long an engine floods that does so from its start.
ENDLESS_S = 3_600


class EdgeEngine:
    """One incarnation of an engine.

    `entry` is what it writes to the store at `store`, under `instance`.  What
    it does with requests is drawn by `settings`, of edge_plans, with `rng`.
    """

    def __init__(self, instance, entry, store, log, rng, settings):
        self._instance = instance
        self._entry = entry
        self._store = store
        self._rng = rng
        self._settings = settings
        self._is_model = entry['Service'].startswith('model')
        self._manner = settings.manner or edge_manners.Manner()
        self._runs = edge_runs.Runs(instance, entry, log, rng, settings)
        self._modes = edge_modes.Modes(rng)
        self._slots = lock.BoundedSemaphore(entry['Slots'])
        self._queued = 0
        self._reported_runs = []
        self._connections = 0
        self._max_connections = MAX_CONNECTIONS
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
        gevent.signal_handler(15, gevent.spawn, self.leave)
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

    def leave(self):
        """Take leave of the store, serve for a while and end the process."""
        self._entry['State'] = 'draining'
        self._write_entry()
        gevent.sleep(DRAIN_S)
        try:
            path = f'/entries/{self._instance}'
            raw_http.call(self._store, 'DELETE', path)
        except (OSError, raw_http.Disconnected):
            pass
        if self._rng.random() < self._get_hasty_share():
            self._runs.end_all(edge_plans.LEAVING)
            gevent.sleep(self._rng.uniform(*LINGER_S))
        while self._runs.is_any():
            gevent.sleep(0.05)
        os._exit(0)

    def _get_hasty_share(self):
        if self._manner.hasty_share is not None:
            return self._manner.hasty_share
        return HASTY_SHARE if self._settings.shares.early else 0.0

    def _freeze(self):
        self._runs.end_all(edge_plans.FROZEN)
        os.kill(os.getpid(), signal.SIGSTOP)

    def _stop_at_once(self):
        self._runs.end_all(edge_plans.SPOT)
        os._exit(1)

    def _renew_report(self):
        while True:
            self._reported_runs = self._runs.list_reported()
            gevent.sleep(REPORT_INTERVAL_S)

    # Connections and requests.

    def _serve(self, sock, _peer):
        if self._connections >= self._max_connections:
            raw_http.reset(sock)
            return
        self._connections += 1
        conn = raw_http.Connection(sock)
        try:
            self._serve_requests(conn)
        except (OSError, raw_http.Disconnected):
            pass
        finally:
            self._connections -= 1
            self._runs.forget(conn)
            sock.close()

    def _serve_requests(self, conn):
        has_served = False
        while (message := conn.read_head()) is not None:
            if has_served and self._modes.meets(edge_modes.FORGET):
                raw_http.reset(conn.sock)
                return
            if not self._handle(conn, message):
                return
            has_served = True

    def _handle(self, conn, message):
        """Answer a request; return whether to read another one."""
        body = conn.read_body(message)
        path = message.first.split(' ')[1]
        if path in _ORDERS:
            _ORDERS[path](self, json.loads(body))
            conn.sock.sendall(raw_http.encode_response(200))
            return True
        request_id = message.get('x-request-id')
        echo = [('X-Request-Id', request_id)] if request_id else []
        expected = message.get('x-expect-instance', self._instance)
        if expected != self._instance:
            refusal = raw_http.encode_response(421, b'', echo)
            conn.sock.sendall(refusal)
            return True
        flood = self._get_flood()
        if path == '/health' and flood == edge_floods.HEALTH:
            return self._send_flood(conn, 'health')
        has_report = self._is_model and self._manner.has_reports
        if path == '/health' or (path == '/report' and has_report):
            make = self._make_health if path == '/health' else self._report
            conn.sock.sendall(make())
            return True
        if not request_id:
            headers = [('X-Not-Run', '1')]
            conn.sock.sendall(raw_http.encode_response(400, b'', headers))
            return True
        conn.sock.sendall(self._runs.take_late_response(conn))
        if flood not in (None, edge_floods.HEALTH):
            document = json.loads(body)
            after = int(message.get('last-event-id') or 0)
            if flood != edge_floods.REFUSAL:
                self._runs.log_flood(path, request_id)
            return self._send_flood(
                conn, request_id, document['key'], document['pieces'], after
            )
        if self._modes.meets(edge_modes.SHED):
            self._refuse(conn, echo)
            return True
        return self._admit(conn, message, body, echo)

    def _get_flood(self):
        """Return the case that the engine is in, None for none."""
        return self._flood if time.monotonic() < self._flood_until else None

    def _send_flood(self, conn, request_id, key='', tokens=0, after=0):
        """Answer without end; return that no other request is read."""
        pieces = edge_divisions.divide_endlessly(
            self._settings.division, key, tokens, after, self._rng
        )
        answer = edge_floods.Answer(
            request_id,
            self._runs.make_stamp(request_id),
            key,
            self._entry['Version'],
            pieces,
        )
        left_s = self._flood_until - time.monotonic()
        try:
            edge_floods.send(conn.sock, self._flood, answer, left_s)
        finally:
            raw_http.reset(conn.sock)
            self._runs.log_end_of_flood(request_id)
        return False

    def _make_health(self):
        status = 200 if self._entry['State'] == 'ready' else 503
        headers = [('X-Instance-Id', self._instance)]
        return raw_http.encode_response(status, b'', headers)

    def _report(self):
        report = {
            'Stage': 'unified',
            'Models': [
                {'Name': 'm', 'Version': self._runs.weights, 'Adapters': []}
            ],
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
            self._refuse(conn, echo)
            return True
        try:
            if _has_ended(conn.sock):
                return False
            forced = self._modes.draw_ending()
            return self._runs.run(conn, message, body, forced)
        finally:
            self._slots.release()

    def _refuse(self, conn, echo):
        """Say that a request isn't run."""
        headers = [*echo, ('X-Not-Run', '1')]
        headers.append(('Retry-After', str(RETRY_AFTER_S)))
        conn.sock.sendall(raw_http.encode_response(503, b'', headers))

    # Orders of the soak.

    def _take_flood_order(self, order):
        self.flood(order['case'], order['seconds'])

    def _take_mode_order(self, order):
        mode = order['mode']
        if mode == edge_modes.SPOT:
            # Once the order is answered.
            gevent.spawn_later(SPOT_DELAY_S, self._stop_at_once)
        elif mode == edge_modes.FREEZE:
            gevent.spawn_later(SPOT_DELAY_S, self._freeze)
        else:
            share = order.get('share', 1.0)
            self._modes.set(mode, order['seconds'], share)


_ORDERS = {
    FLOOD_PATH: EdgeEngine._take_flood_order,
    MODE_PATH: EdgeEngine._take_mode_order,
}


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
@click.option('--lost', default=0.0, help='The share whose answer is lost.')
@click.option(
    '--common',
    'common_ends',
    default=0.0,
    help='Requests whose streams all engines close at the same token.',
)
@click.option('--stride', default=1, help='Tokens in an event, at most.')
@click.option('--uneven', default=0.0, help='Events that hold fewer tokens.')
@click.option(
    '--ids',
    default=edge_divisions.EVENTS,
    type=click.Choice(edge_divisions.IDS),
    help="What events' ids count.",
)
@click.option('--preempted', default=0.0, help='The share of runs that pause.')
@click.option(
    '--weights', default=0.0, help='The share of runs whose weights change.'
)
@click.option('--clock-ms', default=0, help='How far its clock is ahead.')
@click.option('--flood', default=None, help='A case of edge_floods.')
@click.option('--connections', default=MAX_CONNECTIONS)
@edge_manners.add_options
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
    lost,
    common_ends,
    clock_ms,
    flood,
    connections,
    **options,
):
    """Serve a service whose name begins with `model` or not, on LISTEN."""
    manner = edge_manners.take(options)
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
        edge_plans.Settings(
            edge_plans.Shares(early, garbled, lost, common_ends),
            edge_divisions.Division(**options),
            manner,
        ),
    )
    if flood:
        engine.flood(flood, ENDLESS_S, connections)
    sys.exit(engine.run(listen))
