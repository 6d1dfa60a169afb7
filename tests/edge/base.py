"""Fakes and factories for the tests of the edge router."""

import socket as std_socket

import gevent
from gevent import monkey
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.core import target_entry
from galenaspoke.edge.membership import eras
from galenaspoke.edge.membership import members
from galenaspoke.edge.membership import router_list
from galenaspoke.edge import metadata
from galenaspoke.edge.serving import request_context
from galenaspoke.edge import settings
from galenaspoke.http import connections


class Recorder:
    """A fake journal and metrics object that records what it is given."""

    def __init__(self):
        self.lines = []

    def note(self, event, **fields):
        """Record a log line."""
        self.lines.append((event, fields))

    note_success = note

    def count(self, name, amount=1):
        """Record a counter's increment."""
        self.lines.append((name, {'amount': amount}))

    def timing(self, name, ms):
        """Record a duration."""
        self.lines.append((name, {'ms': ms}))

    def events(self):
        """Return the names of all recorded events."""
        return [event for event, _ in self.lines]


def make_edge_settings(name='front-a-1', **options):
    """Return an edge router's settings, changed by `options`."""
    fields = {
        'domain': 'a',
        'listen': '127.0.0.1:1',
        'ready_listen': '127.0.0.1:2',
        'store': '127.0.0.1:3',
        'grace_ms': 8000,
        'retry_ratio': 0.2,
        'retry_window_ms': 10_000,
        'retry_slack': 50,
        **options,
    }
    return settings.EdgeSettings(name=name, **fields)


def make_target_entry(name, port=1, **options):
    """Return a target's entry, changed by `options`."""
    fields = {
        'born': 1,
        'host': '127.0.0.1',
        'service': 'pool',
        'domain': 'a',
        'slots': 6,
        'leaving': False,
        **options,
    }
    return target_entry.TargetEntry(id=name, port=port, **fields)


def make_stream_context(req):
    """Return the context of a request for a stream that may be resumed."""
    route = catalog.Route(
        'r',
        'desk',
        '/chat/',
        catalog.RequestKind.STREAM,
        (('pool', 1.0),),
        timeout_ms=5000,
        latency_target_ms=400,
        max_attempts=2,
        priority=0,
        public=False,
        resumable=True,
        gap_target_ms=400,
    )
    return request_context.RequestContext(
        req, make_request_metadata(), route, None
    )


def make_request_metadata(shared_id='aa', own_tokens=100, shared_tokens=1000):
    """Return the metadata of a model request.

    Its prompt has a shared part and one of its own.
    """
    return metadata.RequestMetadata(
        request_id='9c41',
        input_tokens=shared_tokens + own_tokens,
        output_tokens=60,
        prompt_parts=((shared_id, shared_tokens), ('own', own_tokens)),
    )


def make_members(cfg, store, clock_):
    """Return the Members of a router whose configuration has generation 1."""
    return members.Members(
        cfg, store, eras.Eras(store), clock_, Recorder(), lambda: 1
    )


def get_whole_share(key, max_count):
    """Return the Share of a router that is alone."""
    return router_list.Share(router_count=1, part_count=1, has_part=True)


def make_connection_pair(owner='', pacer=None):
    """Return a Connection and the socket at its other end.

    What the connection holds counts as held for `owner`, and `pacer` is the
    Pacer of the peer.
    """
    local, remote = socket.socketpair(
        std_socket.AF_UNIX, std_socket.SOCK_STREAM
    )
    return connections.Connection(local, owner=owner, pacer=pacer), remote


def make_tcp_pair(case, send_buffer_bytes=None, receive_buffer_bytes=None):
    """Return both ends of a TCP connection: the accepted one, and the other.

    The test case closes them.  The buffers are what the first end holds to
    send and the second one to read; None for the kernel's default.
    """
    remote = socket.socket()
    _set_buffer(remote, socket.SO_RCVBUF, receive_buffer_bytes)
    with socket.socket() as listener:
        _set_buffer(listener, socket.SO_SNDBUF, send_buffer_bytes)
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        remote.connect(listener.getsockname())
        local, _ = listener.accept()
    case.addCleanup(local.close)
    case.addCleanup(remote.close)
    return local, remote


def connect_to_peer(case, receive_buffer_bytes=None):
    """Return a Connection over TCP and the socket at its other end.

    The test case closes them.  `receive_buffer_bytes` is what the other end
    holds, by the kernel's default if it is None.
    """
    with socket.socket() as listener:
        _set_buffer(listener, socket.SO_RCVBUF, receive_buffer_bytes)
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        conn = connections.connect(*listener.getsockname(), 1)
        remote, _ = listener.accept()
    case.addCleanup(conn.close)
    case.addCleanup(remote.close)
    return conn, remote


def _set_buffer(sock, option, size):
    if size is not None:
        sock.setsockopt(socket.SOL_SOCKET, option, size)


def stall(seconds):
    """Let the whole process stand still.

    Where the standard library is patched, `time.sleep` lets others run.
    """
    monkey.get_original('time', 'sleep')(seconds)


def settle(rounds=40):
    """Let all tasks run until they wait for time or for the network."""
    for _ in range(rounds):
        gevent.sleep(0)


def wait_until(is_true, timeout_s=30):
    """Wait until `is_true()`; fail after `timeout_s`."""
    with gevent.Timeout(timeout_s):
        while not is_true():
            gevent.sleep(0.002)


def make_manual_clock():
    """Return a clock that moves only when a test advances it."""
    return clock.ManualClock(1_000_000)
