"""What is kept of one request while it is served."""

from galenaspoke.core import catalog
from galenaspoke.edge import poison


class RequestContext:
    """One request's way through the router; times in ms of the clock."""

    __slots__ = (
        'req',
        'metadata',
        'route',
        'service',
        'account',
        'arrived_at',
        'deadline',
        'sent',
        'may_have_run',
        'last_event_id',
        'first_byte_ms',
        'events',
        'last_event_at',
        'longest_gap_ms',
        'sent_at',
        'tried',
        'charged',
        '_fingerprint',
    )

    def __init__(self, req, metadata, route, account):
        self.req = req
        self.metadata = metadata
        self.route = route
        self.account = account
        self.service = None
        self.arrived_at = req.arrived_at
        wait_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            wait_ms = min(wait_ms, metadata.deadline_ms)
        self.deadline = req.arrived_at + wait_ms
        # To how many targets it was sent.
        self.sent = 0
        # Whether some target may have begun to work on it.
        self.may_have_run = False
        self.last_event_id = metadata.last_event_id
        self.first_byte_ms = None
        # How many events the caller got.
        self.events = 0
        self.last_event_at = None
        self.longest_gap_ms = 0
        # When it was last sent to a target.
        self.sent_at = None
        # Ids of the targets that were tried, in order.
        self.tried = []
        # What it took of its account's budget in the end, in tokens.
        self.charged = 0
        self._fingerprint = None

    def compute_fingerprint(self):
        """Return what it has in common with the same request sent again.

        It takes reading the whole body, so it's found when first needed.
        """
        if self._fingerprint is None:
            account = self.account.name if self.account else ''
            self._fingerprint = poison.compute_fingerprint(self.req, account)
        return self._fingerprint

    def left_ms(self, now):
        """Return the time that is left for an answer."""
        return self.deadline - now

    def priority(self):
        """Return the rank of a model request, 0 first; None for others."""
        if not self.metadata.prompt_parts and not self.metadata.input_tokens:
            return None
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def is_repeatable(self):
        """Tell whether it may be sent again though it may have run."""
        return self.route.is_repeatable()

    def first_byte(self, now):
        """Note when the caller got the first of its answer."""
        if self.first_byte_ms is None:
            self.first_byte_ms = now - self.arrived_at

    def delivered(self, events, now):
        """Note events that the caller gets."""
        if self.last_event_at is not None:
            gap_ms = now - self.last_event_at
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_at = now
        self.events += len(events)
        for event in events:
            if event.id:
                self.last_event_id = event.id

    def consumed(self, event_tokens):
        """Return the tokens that it has used of its account's budget.

        The input counts once it may have run, the output as delivered.
        """
        if not self.may_have_run and not self.events:
            return 0
        output = min(self.metadata.output_tokens, self.events * event_tokens)
        if self.route.kind is not catalog.RequestKind.STREAM:
            output = self.metadata.output_tokens
        return self.metadata.input_tokens + output
