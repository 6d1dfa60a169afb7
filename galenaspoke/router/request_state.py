"""The state of one request at the router, and the refusals that it allows."""

from galenaspoke.core import verdicts

RETRY_AFTER_MS = 500


class RequestState:
    """The state of one request, from the first to the last attempt.

    `deadline` is in milliseconds of the router's clock.  This is not the
    edge's RequestContext, which keeps an HTTP request that the edge forwards
    to targets itself.
    """

    __slots__ = (
        'req',
        'deadline',
        'max_cost',
        'reservation',
        'holder',
        'dispatch',
        'delivered_pieces',
        'failure',
        'asked_home',
        'billable',
        'may_have_run',
        'excluded_homes',
        'avoided_runners',
        'lookup_refusal',
        'broken_streams',
        'pause_ms',
        'uses_durable_claim',
        'skipped',
        'sent_to',
        'recorded_agent',
    )

    def __init__(self, req, deadline):
        self.req = req
        self.deadline = deadline
        # The most tokens that the request can cost.
        self.max_cost = 0
        self.reservation = None
        # The holder under which the request was last sent.
        self.holder = None
        # The id of the last dispatch.
        self.dispatch = ''
        self.delivered_pieces = []
        # The records.Failure of the last attempt, or None.
        self.failure = None
        # The id of the home that was last sent the request, or None if the
        # request did not reach it or was refused there.
        self.asked_home = None
        # False if a former home, which might have billed the request, could
        # not be asked for its record.
        self.billable = True
        # Whether an attempt at this request may have run.
        self.may_have_run = False
        # Ids of homes that answered that they will never take the request.
        self.excluded_homes = set()
        # Ids of agents that are not proposed as the runner while another one
        # is available.
        self.avoided_runners = set()
        # Set if the request may not start.  It is then only looked up, and
        # this refusal is returned if the home has no record of it.
        self.lookup_refusal = None
        self.broken_streams = 0
        # The pause before the next attempt.
        self.pause_ms = 0
        # Whether the home claims the request in the store before it runs.
        self.uses_durable_claim = False
        # Ids of agents that rank before the home and are leaving or
        # unreachable.
        self.skipped = set()
        # The registry entry of the agent that has the last dispatch, or None
        # if the reservation has not been sent yet.
        self.sent_to = None
        # The id of the agent for which the request was last recorded as sent,
        # or empty if it had been recorded there before.
        self.recorded_agent = ''

    def make_refusal(self, reason, detail):
        """Return a refusal for an attempt whose outcome no home has reported.

        It promises that the request did not run only if the key is new and no
        earlier attempt may have run.
        """
        make = verdicts.not_run
        if self.may_have_run or not self.req.fresh:
            make = verdicts.may_have_run
        return make(reason, detail, RETRY_AFTER_MS)

    def weaken_verdict(self, refusal):
        """Return the refusal with a verdict that holds for all attempts.

        If an earlier attempt may have run, the verdict NOT_RUN is weakened to
        MAY_HAVE_RUN.
        """
        if refusal.verdict is verdicts.Verdict.NOT_RUN and self.may_have_run:
            return verdicts.may_have_run(
                refusal.reason, refusal.detail, refusal.retry_after_ms
            )
        return refusal


class AttemptFailed(Exception):
    """An attempt failed, and another one may follow.

    `refusal` is returned to the caller if no other attempt follows.  With
    `counts_as_try` false the attempt does not count against the setting
    `tries`.
    """

    def __init__(self, refusal, counts_as_try=True):
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.counts_as_try = counts_as_try
