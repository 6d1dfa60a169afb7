"""A caller of a service that is well, which counts what it gets.

Example::

    answers = Answers()
    call_until('127.1.2.3:8227', time.monotonic() + 2, answers)
    answers.count    # 17
"""

import json
import time

import gevent

from standins import platform_documents
from standins import raw_http

WELL_PREFIX = '/plain/ask/'
ANSWER_TIMEOUT_S = 8.0
RETRY_PAUSE_S = 0.05


class Answers:
    """What a caller of the service that is well got."""

    __slots__ = ('count', 'failed', 'slowest_s')

    def __init__(self):
        self.count = 0
        self.failed = 0
        self.slowest_s = 0.0

    def add(self, is_success, took_s):
        """Count an answer."""
        if is_success:
            self.count += 1
        else:
            self.failed += 1
        self.slowest_s = max(self.slowest_s, took_s)


def call_until(front, until, answers, name='w'):
    """Ask the service that is well for small bodies, one after the other."""
    number = 0
    while time.monotonic() < until:
        number += 1
        began = time.monotonic()
        try:
            with gevent.Timeout(ANSWER_TIMEOUT_S, OSError('no answer')):
                is_success = _ask(front, f'{name}{number}')
        except (OSError, raw_http.Disconnected):
            is_success = False
            gevent.sleep(RETRY_PAUSE_S)
        ended = time.monotonic()
        # An answer after the end says how slow it was, and isn't counted.
        if ended <= until:
            answers.add(is_success, ended - began)
        else:
            answers.slowest_s = max(answers.slowest_s, ended - began)


def _ask(front, name):
    headers = platform_documents.make_request_headers(name, 8_000)
    body = json.dumps({'key': name, 'pieces': 1}).encode()
    first = f'POST {WELL_PREFIX}{name} HTTP/1.1'
    with raw_http.connect(front) as sock:
        sock.sendall(raw_http.encode(first, headers, body))
        conn = raw_http.Connection(sock)
        message = conn.read_head()
        if message is None:
            raise raw_http.Disconnected('before a response')
        for _ in conn.iter_body(message, ends_with_connection=True):
            pass
    return message.status == 200
