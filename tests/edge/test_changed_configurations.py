"""Requests that are running, or yet to come, when the configuration changes.

What a request costs is the most that any configuration says which may be in
force while it runs, and what a connection may send follows the one in force.
"""

import unittest

import gevent

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge.money import reservations
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers

INPUT_TOKENS = 100
OUTPUT_TOKENS = 60
EVENT_TOKENS = 6
EVENT_COUNT = 8
STREAM_HEAD = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)


class Budgets:
    """Reserves any amount, and records what is charged."""

    def __init__(self):
        self.charged = []

    def reserve(self, budget, amount, _):
        """Return a Reservation whose book is this object."""
        return reservations.Reservation(self, budget, amount)

    def settle(self, _, reserved, spent):
        """Record the charge of one request."""
        assert spent <= reserved
        self.charged.append(spent)


class ChargeTest(unittest.TestCase):
    """A stream whose service the next configuration changes or drops."""

    def setUp(self):
        self.desk = handlers.Desk(
            {'i-1': self.stream}, catalog.RequestKind.STREAM, resumable=False
        )
        self.addCleanup(self.desk.close)
        self.budgets = Budgets()
        self.desk.handler.charges._budget_manager = self.budgets
        self.route = self.desk.config_view.catalog.match('desk', '/a/x')
        self.next_services = []
        # After the stream.
        self.last_generation = 2
        self.install(1, [catalog.Service('pool', '/', 100, event_tokens=6)])

    def install(self, generation, services, prepaid=1_000):
        """Put a configuration in force."""
        self.desk.config_view.catalog = catalog.Catalog(
            generation,
            [self.route],
            services,
            [catalog.Account('desk', prepaid=prepaid)],
            {'k': 'desk'},
            catalog.Limits(),
        )
        self.desk.handler.charges.apply_new_catalog()

    def stream(self, remote, _):
        """Send a stream; after its first event the configuration changes."""
        for number in range(EVENT_COUNT):
            event = b'id: %d\ndata: x\n\n' % number
            head = b'' if number else STREAM_HEAD
            remote.sendall(head + messages.encode_chunk(event))
            if not number:
                gevent.sleep(0.02)
                self.install(self.last_generation, self.next_services)
        remote.sendall(b'0\r\n\r\n')

    def charge(self):
        """Return what one stream is charged."""
        usage = b'%d,%d' % (INPUT_TOKENS, OUTPUT_TOKENS)
        caller = self.desk.request(
            pairs=[(b'api-key', b'k'), (b'x-token-usage', usage)]
        )
        self.assertEqual(200, caller.status)
        self.assertEqual(
            self.last_generation, self.desk.config_view.catalog.generation
        )
        (charged,) = self.budgets.charged
        return charged

    # Guards against an account that gets more than its budget: streams were
    # charged a token an event once their service was dropped (review/2).
    def test_dropped_service(self):
        self.assertEqual(
            INPUT_TOKENS + EVENT_COUNT * EVENT_TOKENS, self.charge()
        )

    def test_service_with_smaller_events(self):
        self.next_services = [
            catalog.Service('pool', '/', 100, event_tokens=1)
        ]
        self.assertEqual(
            INPUT_TOKENS + EVENT_COUNT * EVENT_TOKENS, self.charge()
        )

    # Guards against an account that gets more than its budget: a router that
    # learns late of larger events charged them as the smaller ones of before.
    def test_service_with_larger_events(self):
        self.next_services = [
            catalog.Service('pool', '/', 100, event_tokens=7)
        ]
        self.assertEqual(INPUT_TOKENS + EVENT_COUNT * 7, self.charge())

    # Guards against the same: targets still send events as large as the
    # configuration said that was replaced a moment before the request.
    def test_service_that_had_larger_events_before(self):
        self.next_services = [
            catalog.Service('pool', '/', 100, event_tokens=1)
        ]
        self.install(2, self.next_services)
        self.last_generation = 3
        self.assertEqual(
            INPUT_TOKENS + EVENT_COUNT * EVENT_TOKENS, self.charge()
        )

    # Guards against running requests that are charged nothing, though their
    # account has a limit before they end.
    def test_account_that_gets_a_limit(self):
        services = [catalog.Service('pool', '/', 100, event_tokens=6)]
        self.install(1, services, prepaid=None)
        self.next_services = services
        self.assertEqual(
            INPUT_TOKENS + EVENT_COUNT * EVENT_TOKENS, self.charge()
        )

    # A route may name a service that is not configured: nothing then tells how
    # much an event holds.
    def test_service_that_was_never_configured(self):
        self.install(1, [])
        self.assertEqual(INPUT_TOKENS + OUTPUT_TOKENS, self.charge())


class WaitingConnectionTest(unittest.TestCase):
    """A connection that waits for its next request when limits change."""

    BODY_BYTES = 100

    def setUp(self):
        local, self.remote = base.make_tcp_pair(self)
        self.limits = catalog.Limits(body_bytes=10, idle_timeout_ms=100)
        self.caller = caller_connections.CallerConnection(
            local, clock.Clock(), lambda: self.limits
        )
        self.addCleanup(self.caller.close)
        self.task = gevent.spawn(self.caller.next_request)
        gevent.sleep(0)

    def send_request(self):
        """Send a request with a body of BODY_BYTES."""
        self.remote.sendall(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s'
            % (self.BODY_BYTES, bytes(self.BODY_BYTES))
        )

    # Guards against 413 for what the configuration in force allows: a
    # connection kept the limits under which it had begun to wait.
    def test_raised_body_limit(self):
        self.limits = catalog.Limits(body_bytes=self.BODY_BYTES)
        self.send_request()
        self.assertEqual(self.BODY_BYTES, len(self.task.get().body))

    def test_lowered_body_limit(self):
        self.limits = catalog.Limits(body_bytes=5)
        self.send_request()
        with self.assertRaises(messages.BadRequest) as raised:
            self.task.get()
        self.assertEqual(413, raised.exception.status)

    # Guards against a connection that is closed under its caller, which may
    # use it for as long as the configuration in force says.
    def test_raised_idle_timeout(self):
        self.limits = catalog.Limits(idle_timeout_ms=5_000)
        gevent.sleep(0.3)
        self.assertFalse(self.task.ready())
        self.send_request()
        self.assertEqual(self.BODY_BYTES, len(self.task.get().body))

    def test_idle_connection_ends(self):
        base.wait_until(self.task.ready)
        self.assertIsNone(self.task.get())

    # The limits of a request are those under which it began to arrive.
    def test_limits_that_change_while_a_request_arrives(self):
        self.limits = catalog.Limits(body_bytes=self.BODY_BYTES)
        self.remote.sendall(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n'
        )
        base.wait_until(lambda: not self.caller.is_idle())
        self.limits = catalog.Limits(body_bytes=5)
        self.remote.sendall(bytes(self.BODY_BYTES))
        self.assertEqual(self.BODY_BYTES, len(self.task.get().body))
