"""What callers of the edge fleet want, and what they keep of their attempts.

Each attempt has an id of its own.
"""

import time

from standins import platform_documents

TIMEOUT_S = 8.0
PATIENCE_S = 3.2
# What follows in the key of a request whose events are to be long.
PADDING_START = '_'
# A caller leaves a response whose body is longer.
MAX_BODY_BYTES = 500_000
# Or that has more comments.
MAX_COMMENTS = 20_000
# Statuses which promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Request:
    """What a caller wants, over all its attempts.

    `pieces` is how many tokens a stream has, or lines another body.  `name` is
    what the ids of its attempts begin with.  A tenant's carries one of its
    keys; `max_tokens` is the most output that it allows.
    """

    __slots__ = (
        'key',
        'prefix',
        'pieces',
        'attempts',
        'route',
        'name',
        'tenant',
        'api_key',
        'input_tokens',
        'max_tokens',
        'retries',
        'patience_s',
        'timeout_s',
    )

    def __init__(self, key, prefix, pieces, route=None):
        self.key = key
        self.prefix = prefix
        self.pieces = pieces
        self.attempts = []
        self.route = route or platform_documents.Route(
            prefix, *platform_documents.ROUTES[prefix]
        )
        self.name = key.partition(PADDING_START)[0]
        self.tenant = None
        self.api_key = None
        self.input_tokens = platform_documents.INPUT_TOKENS
        self.max_tokens = pieces
        self.retries = 0
        # The longest pause of a stream that its caller bears.
        self.patience_s = PATIENCE_S
        self.timeout_s = TIMEOUT_S

    @property
    def kind(self):
        """Return the kind of the route."""
        return self.route.kind

    @property
    def is_resumable(self):
        """Return whether another engine may go on with the response."""
        return self.route.is_resumable

    @property
    def may_repeat(self):
        """Return whether it may run more than once in one attempt."""
        return self.kind == 'idempotent' or self.is_resumable

    @property
    def is_padded(self):
        """Return whether its events are so long that they fill buffers."""
        return self.name != self.key

    @property
    def stated_input_tokens(self):
        """Return how many input tokens its attempts state.

        Only streams have `X-Token-Usage`; others consume no tokens.
        """
        return self.input_tokens if self.kind == 'stream' else 0

    def count_events(self):
        """Return the number of events that the caller has so far."""
        return sum(len(attempt.events) for attempt in self.attempts)

    def get_last_id(self):
        """Return the id of the last event as it was sent, empty for none."""
        events = [event for a in self.attempts for event in a.events]
        return str(events[-1].number) if events else ''


class Attempt:
    """One attempt and what the caller saw of it.

    `outcome` is 'whole' if the caller was told that the response is complete;
    else 'cut', 'left' by the caller, 'refused' with a promise, 'failed' with
    another status, or 'unsent'.
    """

    __slots__ = (
        'id',
        'router',
        'first',
        'sent_at',
        'ended_at',
        'status',
        'headers',
        'body',
        'events',
        'comments',
        'outcome',
        'has_surplus',
        'why',
        'api_key',
        'is_old_http',
        'is_framed',
        'has_given_up',
        'has_stalled',
    )

    def __init__(self, attempt_id, router, first):
        self.id = attempt_id
        self.router = router
        # The number of the first event that it asks for.
        self.first = first
        self.sent_at = time.time()
        self.ended_at = 0.0
        self.status = 0
        self.headers = {}
        # What has come of a body, for a stream what follows its last event.
        self.body = b''
        self.events = []
        self.comments = 0
        self.outcome = 'unsent'
        # Whether bytes came after the response.
        self.has_surplus = False
        self.why = ''
        self.api_key = None
        # Whether it was asked for by HTTP/1.0.
        self.is_old_http = False
        # Whether the response states where its body ends.
        self.is_framed = True
        # Whether its caller ended a response that was 'cut'.
        self.has_given_up = False
        # Whether its caller read nothing at all for a while.
        self.has_stalled = False

    def count_tokens(self):
        """Return the number of tokens in its events."""
        return sum(event.tokens for event in self.events)


def has_too_much(req, attempt):
    """Return whether an engine that floods sent more than was asked for."""
    return (
        req.count_events() + len(attempt.events) > req.pieces
        or len(attempt.body) > MAX_BODY_BYTES
        or attempt.comments > MAX_COMMENTS
    )


def classify(status):
    if 200 <= status < 300:
        return 'whole'
    return 'refused' if status in PROMISES else 'failed'


def may_retry(req, attempt):
    """Return whether the platform's clients would send a request again."""
    if attempt.outcome in ('unsent', 'refused'):
        # A stream that may not be resumed isn't begun a second time.
        return req.is_resumable or not req.count_events()
    if attempt.outcome == 'failed':
        return req.may_repeat and attempt.status >= 500
    return attempt.outcome == 'cut' and req.may_repeat


def describe(attempt):
    """Return when an attempt was made and where, for a timeline."""
    old = 'by HTTP/1.0 ' if attempt.is_old_http else ''
    return (
        f'{old}at {attempt.router.name} from {attempt.sent_at:.3f}'
        f' to {attempt.ended_at:.3f}'
    )
