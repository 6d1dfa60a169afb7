"""What the tests of the edge router share."""

import socket as std_socket

from gevent import socket

from galenaspoke.core import clock
from galenaspoke.core import target_entry
from galenaspoke.edge import metadata
from galenaspoke.edge import settings
from galenaspoke.http import connections


class Recorder:
    """Stands for a journal and for metrics; keeps what is noted."""

    def __init__(self):
        self.lines = []

    def note(self, event, **fields):
        """Keep a line."""
        self.lines.append((event, fields))

    plain = note

    def count(self, name, amount=1):
        """Keep a count."""
        self.lines.append((name, {'amount': amount}))

    def timing(self, name, ms):
        """Keep a duration."""
        self.lines.append((name, {'ms': ms}))

    def events(self):
        """Return the names of all that was noted."""
        return [event for event, _ in self.lines]


def make_edge_settings(name='front-a-1', **options):
    """Return settings of an edge router."""
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
    """Return a target's entry."""
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


def make_request_metadata(shared='aa', own=100, shared_tokens=1000):
    """Return a call with one shared part and one of its own."""
    return metadata.RequestMetadata(
        request_id='9c41',
        input_tokens=shared_tokens + own,
        output_tokens=60,
        prompt_parts=((shared, shared_tokens), ('own', own)),
    )


def make_connection_pair():
    """Return a Link and the socket at its other end."""
    near, far = socket.socketpair(std_socket.AF_UNIX, std_socket.SOCK_STREAM)
    return connections.Connection(near), far


def make_manual_clock():
    """Return a clock that a test moves."""
    return clock.ManualClock(1_000_000)
