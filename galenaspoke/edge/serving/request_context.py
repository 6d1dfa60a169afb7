"""The state that is kept about one request while it is handled."""

from galenaspoke.core import catalog
from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.streams import event_order

# Enough to tell a target's pace, and a bound on the memory of long streams.
MAX_EVENT_TIMES = 200


class RequestContext:
    """One request in the router, from its admission to its response.

    It outlives the attempts at single targets.  Times are in ms of the
    process's monotonic clock.
    """

    __slots__ = (
        'req',
        'metadata',
        'route',
        'service',
        'event_tokens',
        'reservation',
        'max_events',
        'earlier_services',
        'account',
        'arrived_at',
        'deadline',
        'sent_count',
        'may_have_run',
        'event_order',
        'stream_version',
        'closer_ids',
        'closed_by_id',
        'checked_id',
        'watched_end',
        'first_byte_ms',
        'event_count',
        'output_count',
        'last_event_at',
        'event_times',
        'read_tokens',
        'read_ms',
        'longest_gap_ms',
        'sent_at',
        'tried_ids',
        'is_trial',
        'has_survived',
        'charged_tokens',
        '_crash_keys',
    )

    def __init__(self, req, metadata, route, account):
        self.req = req
        self.metadata = metadata
        self.route = route
        self.account = account
        self.service = None
        # The maximum number of output tokens in one event of its service, by
        # any configuration since shortly before it was admitted.
        self.event_tokens = 1
        # The Reservation of its account's tokens, None if there is none.
        self.reservation = None
        # How many events a run may have at most, 0 if that isn't known.
        self.max_events = 0
        # Pairs of a service at which a stream that is resumed may have begun
        # by an earlier configuration, and until when, in ms of the clock.
        self.earlier_services = []
        self.arrived_at = req.arrived_at
        timeout_ms = route.timeout_ms
        if metadata.timeout_ms is not None:
            timeout_ms = min(timeout_ms, metadata.timeout_ms)
        self.deadline = req.arrived_at + timeout_ms
        # The number of attempts that handed the request to a connection,
        # without those at misdirected targets.  The route limits it.
        self.sent_count = 0
        # Whether any target may have started to run the request.
        self.may_have_run = False
        # Which events the caller has.
        self.event_order = event_order.EventOrder(metadata.last_event_id)
        # The software version of the target that began the stream, None while
        # no event has come.
        self.stream_version = None
        # The ids of the targets that have closed the stream, without a proof
        # that it has ended, after the last event that the caller has.
        self.closer_ids = set()
        # The id of the target that brought the last event and closed the
        # stream after it; empty if none did.
        self.closed_by_id = ''
        # The id of the last event when a second run was asked whether the
        # stream goes on, None if none was.
        self.checked_id = None
        # The Ended that holds if nothing speaks against it while its target,
        # which may leave, is watched; None if there is none.
        self.watched_end = None
        # How long the caller waited for the first byte of the response.
        self.first_byte_ms = None
        # The number of events with data that were sent to the caller; others
        # hold no tokens.
        self.event_count = 0
        # How many of them are output: they have data and an id.
        self.output_count = 0
        self.last_event_at = None
        # When the present attempt's events came, at most MAX_EVENT_TIMES.
        self.event_times = []
        # How many prompt tokens its target read before the first event, and
        # how long that took.
        self.read_tokens = 0
        self.read_ms = 0
        self.longest_gap_ms = 0
        # When the request was last sent to a target.
        self.sent_at = None
        # The ids of the targets that were tried, in order.
        self.tried_ids = []
        # Whether it is sent once although a part of it crashes targets.
        self.is_trial = False
        # Whether the present attempt's target has got on with it.
        self.has_survived = False
        # What the account's budget was charged in the end, in tokens.
        self.charged_tokens = 0
        self._crash_keys = None

    def crash_keys(self):
        """Return the Keys by which it may be found to crash targets.

        One of them covers the whole body, so they are made on first use.
        """
        if self._crash_keys is None:
            account = self.account.name if self.account else ''
            self._crash_keys = crash_suspects.make_keys(
                poison.compute_fingerprint(self.req, account),
                self.metadata.shared_part_ids(),
            )
        return self._crash_keys

    @property
    def last_event_id(self):
        """The id of the last event that the caller has; empty if none."""
        return self.event_order.last_id

    @property
    def was_closed_early(self):
        """Whether a second run has shown that the first was closed early."""
        return self.checked_id not in (None, self.last_event_id)

    def remaining_ms(self, now):
        """Return the time until the deadline, negative once it has passed."""
        return self.deadline - now

    def priority(self):
        """Return the priority, 0 being the highest, of a model request.

        Returns None for other requests.  The priority of the client account
        takes precedence over the route's.
        """
        if not self.metadata.prompt_parts and not self.metadata.input_tokens:
            return None
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def is_repeatable(self):
        """Return whether it may be sent again even if it may have run."""
        return self.route.is_repeatable()

    def record_first_byte(self, now):
        """Record when the caller got the first byte of the response."""
        if self.first_byte_ms is None:
            self.first_byte_ms = now - self.arrived_at

    def record_closed(self, target, has_events):
        """Record that a target closed the stream after the last event.

        `has_events` is whether it has brought that event.
        """
        self.closer_ids.add(target.entry.id)
        if has_events:
            self.closed_by_id = target.entry.id

    def record_events(self, events, now):
        """Record events that are sent to the caller."""
        if self.last_event_at is not None:
            gap_ms = now - self.last_event_at
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_at = now
        pieces = [event for event in events if event.has_data()]
        if not pieces:
            return
        if len(self.event_times) < MAX_EVENT_TIMES:
            self.event_times.extend([now] * len(pieces))
        self.event_count += len(pieces)
        self.output_count += sum(event.is_output() for event in pieces)
        self.closer_ids.clear()
        self.closed_by_id = ''

    def consumed_tokens(self):
        """Return the tokens that the request used of its account's budget.

        That is 0 if it can't have run.  Otherwise the input counts in full and
        the output as delivered: `event_tokens` for each event with data that
        was sent to the caller, at most all output tokens.  If the response is
        not a stream, all output tokens count.
        """
        if not self.may_have_run and not self.event_count:
            return 0
        output_tokens = min(
            self.metadata.output_tokens,
            self.event_count * self.event_tokens,
        )
        if self.route.kind is not catalog.RequestKind.STREAM:
            output_tokens = self.metadata.output_tokens
        return self.metadata.input_tokens + output_tokens
