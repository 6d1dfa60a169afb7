"""One request's progress at this router, and what may be said of it."""

from galenaspoke.core import verdicts

RETRY_AFTER_MS = 500


class Course:
    """One request's progress at this router."""

    __slots__ = (
        'req',
        'until',
        'cost',
        'reservation',
        'holder',
        'dispatch',
        'delivered',
        'failure',
        'home',
        'billable',
        'maybe_ran',
        'gone',
        'avoid',
        'look',
        'breaks',
        'pause_ms',
        'durable',
        'skipped',
        'sent_to',
        'noted',
    )

    def __init__(self, req, until):
        self.req = req
        self.until = until
        # The most that it can cost, in tokens.
        self.cost = 0
        self.reservation = None
        # The identity under which it was last sent.
        self.holder = None
        self.dispatch = ''
        self.delivered = []
        self.failure = None
        # The home that was last sent the request, unless it said that it
        # has no record of it.
        self.home = None
        self.billable = True
        # Something was sent of which nobody said that it didn't run.
        self.maybe_ran = False
        # Homes that said that they will never have the record.
        self.gone = set()
        self.avoid = set()
        # A refusal to give if the home has no record of the request.
        self.look = None
        self.breaks = 0
        self.pause_ms = 0
        # The home claims the request in the store before it runs it.
        self.durable = False
        self.skipped = set()
        # The agent that has the dispatch, while its fate is open.
        self.sent_to = None
        # The agent that it was noted as sent to, if this was the first time.
        self.noted = ''

    def unproved(self, reason, detail):
        """Return a refusal for a request that no home was asked about."""
        make = verdicts.not_run
        if self.maybe_ran or not self.req.fresh:
            make = verdicts.may_have_run
        return make(reason, detail, RETRY_AFTER_MS)

    def refuse(self, refusal):
        """Return a refusal that promises no more than is known."""
        if refusal.verdict is verdicts.Verdict.NOT_RUN and self.maybe_ran:
            return verdicts.may_have_run(
                refusal.reason, refusal.detail, refusal.retry_after_ms
            )
        return refusal


class Again(Exception):
    """An attempt came to nothing; there may be another."""

    def __init__(self, refusal, counts=True):
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.counts = counts
