"""An agent's claims: which agent runs a request, and in which attempt.

An agent keeps two tables.  `Claims`, in this module, is kept by a request's
home agent and decides which agent may run it.  `runs.Runs` is kept by the
agent that runs it, the runner.  Home and runner are usually the same agent.

Both tables are in memory.  Records that a restarted agent has lost are not
guessed: `registry.placement` reports which keys may be affected.  No method
of `Claims` or `Runs` blocks or sends messages; messages are sent by the
callers.  Only `Run.follow` waits, for new pieces.
"""

import msgspec

from galenaspoke.core import verdicts


class Claim:
    """The home agent's record of one request.

    `place` is the request's placement key, `closed` the final refusal if the
    request will not be attempted again.
    """

    __slots__ = (
        'key',
        'digest',
        'place',
        'attempt',
        'runner',
        'billable',
        'closed',
        'holders',
        'last_used_at',
    )

    def __init__(self, key, digest, now):
        self.key = key
        self.digest = digest
        self.place = ''
        self.attempt = 0
        self.runner = ''
        self.billable = True
        self.closed = None
        # The holders, that is router incarnations, that have sent it.
        self.holders = set()
        self.last_used_at = now


class Claimed(msgspec.Struct, frozen=True, tag='claimed'):
    """The home's reply: attempt `attempt` runs at agent `runner`.

    If `new` is true, the requester starts the attempt; otherwise it has been
    started before, and the requester follows it.  A run that is not
    `billable` stays in doubt, because an earlier attempt may have been
    billed.  A `suspect` request has crashed a target and must not run at the
    same time as another suspect.
    """

    attempt: int
    runner: str
    new: bool
    billable: bool
    suspect: bool = False


class Failure(msgspec.Struct, frozen=True):
    """A router's report to the home that an attempt gave no result.

    `proved` means that the runner itself confirmed that it billed nothing.
    `crash` identifies the target incarnation that the attempt crashed, if
    any.
    """

    attempt: int
    proved: bool
    crash: str = ''


class Claims:
    """The claims of the requests whose home is this agent."""

    __slots__ = ('_clock', '_claims', '_fenced', '_crashes', '_runners')

    def __init__(self, clock):
        self._clock = clock
        self._claims = {}
        # When each fenced key was fenced.
        self._fenced = {}
        # For each content digest, the target incarnations that it crashed.
        self._crashes = {}
        # For each content digest, the only agent that may run it now.
        self._runners = {}

    def __len__(self):
        return len(self._claims)

    def claim(
        self,
        key,
        digest,
        place,
        proposed_runner,
        failure=None,
        repeatable=True,
        poison_limit=2,
        billable=True,
    ):
        """Decide which agent runs a request; return Claimed or a Refusal.

        `digest` identifies the request's content, `place` is its placement
        key (see `registry.placement`), `proposed_runner` the runner that the
        router proposes, and `failure` what the router knows of an earlier
        attempt, or None.  If `repeatable`, a failed attempt may be repeated
        without proof that it billed nothing.  `poison_limit` is the number of
        targets that the content may crash.  `billable` is false if a former
        home could not be asked for its record.
        """
        now = self._clock.now()
        if key in self._fenced:
            return verdicts.not_run(
                verdicts.Reason.MOVED,
                'the request has moved to another home',
                1,
            )
        claim = self._claims.get(key)
        if claim is None:
            refusal = self._check_poison(digest, poison_limit)
            if refusal:
                return refusal
            claim = self._claims[key] = Claim(key, digest, now)
            claim.place = place
            claim.billable = billable
            return self._start_attempt(claim, proposed_runner)
        claim.last_used_at = now
        if claim.digest != digest:
            return verdicts.may_have_run(
                verdicts.Reason.KEY_CONFLICT,
                'the key was used before with a different request',
            )
        if claim.closed:
            return claim.closed
        if failure is None or failure.attempt != claim.attempt:
            return self._make_reply(claim, False)
        return self._start_after_failure(
            claim, proposed_runner, failure, repeatable, poison_limit
        )

    def _start_after_failure(
        self, claim, proposed_runner, failure, repeatable, poison_limit
    ):
        """Start the next attempt after a failure, or return a Refusal."""
        if not repeatable and not failure.proved:
            return verdicts.may_have_run(
                verdicts.Reason.TARGET_FAILED,
                'an attempt ended without a response',
            )
        claim.billable = claim.billable and failure.proved
        if self._runners.get(claim.digest) == claim.runner:
            del self._runners[claim.digest]
        if failure.crash:
            self._crashes.setdefault(claim.digest, set()).add(failure.crash)
        refusal = self._check_poison(claim.digest, poison_limit)
        if refusal:
            claim.closed = msgspec.structs.replace(
                refusal, verdict=verdicts.Verdict.MAY_HAVE_RUN
            )
            return claim.closed
        return self._start_attempt(claim, proposed_runner)

    def _start_attempt(self, claim, proposed_runner):
        # Requests with the same content never run on two targets at a time,
        # so that the content can't crash both.
        runner = self._runners.setdefault(claim.digest, proposed_runner)
        claim.runner = runner
        claim.attempt += 1
        return self._make_reply(claim, True)

    def _make_reply(self, claim, new):
        suspect = bool(self._crashes.get(claim.digest))
        return Claimed(
            claim.attempt, claim.runner, new, claim.billable, suspect
        )

    def _check_poison(self, digest, poison_limit):
        crashes = len(self._crashes.get(digest, ()))
        if crashes < poison_limit:
            return None
        return verdicts.not_run(
            verdicts.Reason.POISON,
            f'this content has crashed {crashes} targets',
        )

    def find(self, key):
        """Return the claim of `key`, or None."""
        return self._claims.get(key)

    def find_or_fence(self, key):
        """Return the claim of `key`, or fence `key` and return None.

        Claims of a fenced key are refused until the fence expires, so that
        the key's new home can decide alone.
        """
        claim = self._claims.get(key)
        if claim is None:
            self._fenced[key] = self._clock.now()
        return claim

    def is_fenced(self, key):
        """Return True if the key has been fenced here."""
        return key in self._fenced

    def adopt(self, handed, leaving_agent_id, own_id):
        """Take over a record that another agent or a router handed over.

        An attempt whose runner was `leaving_agent_id` is assigned to this
        agent, `own_id`.  `leaving_agent_id` is empty if a router handed over
        the record.
        """
        runner = own_id if handed.runner == leaving_agent_id else handed.runner
        claim = self._claims.get(handed.key)
        if claim is None:
            claim = Claim(handed.key, handed.digest, self._clock.now())
            claim.place = handed.place
            claim.attempt = handed.attempt
            claim.runner = runner
            claim.billable = handed.billable
            claim.closed = handed.closed
            self._claims[handed.key] = claim
        elif (claim.attempt, claim.runner) == (
            handed.attempt,
            leaving_agent_id,
        ):
            claim.runner = own_id

    def list_all(self):
        """Return all claims."""
        return list(self._claims.values())

    def expire(self, older_than_ms):
        """Remove claims not used for `older_than_ms`, and fences that old.

        Return the keys of the claims that were removed.
        """
        cutoff = self._clock.now() - older_than_ms
        expired = [
            k for k, c in self._claims.items() if c.last_used_at < cutoff
        ]
        for key in expired:
            del self._claims[key]
        for key in [k for k, at in self._fenced.items() if at < cutoff]:
            del self._fenced[key]
        live = {claim.digest for claim in self._claims.values()}
        for table in (self._crashes, self._runners):
            for digest in [d for d in table if d not in live]:
                del table[digest]
        return expired
