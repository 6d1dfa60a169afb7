"""The agent's records: which requests were claimed here, and how they ran.

Two tables.  `Claims`, here, is kept by a request's home and decides who may
run it; `runs.Runs` is kept where it runs.  Home and runner are usually the
same agent.  Both live in memory: what an agent that lost its memory can't
know is settled by the registry (see `registry.placement`), never guessed.

The tables decide and never wait; the callers do the talking.
"""

import msgspec

from galenaspoke.core import verdicts


class Claim:
    """A home's record of one request."""

    __slots__ = (
        'key',
        'digest',
        'place',
        'attempt',
        'runner',
        'billable',
        'closed',
        'holders',
        'at',
    )

    def __init__(self, key, digest, now):
        self.key = key
        self.digest = digest
        self.place = ''
        self.attempt = 0
        self.runner = ''
        self.billable = True
        self.closed = None
        # Under which names routers have sent it.
        self.holders = set()
        self.at = now


class Claimed(msgspec.Struct, frozen=True, tag='claimed'):
    """The home's answer: attempt `attempt` belongs at agent `runner`.

    `new` tells that the asker is to start it; else it has been started
    before, and the asker is to follow it.  A run that is not `billable`
    stays in doubt, because an earlier attempt may have been billed.  A
    `suspect` has brought a target down and must run beside no other suspect.
    """

    attempt: int
    runner: str
    new: bool
    billable: bool
    suspect: bool = False


class Failure(msgspec.Struct, frozen=True):
    """What a router tells the home of an attempt that came to nothing.

    `proved` means that the runner itself said that it billed nothing;
    `crash` names the target and its life that the attempt brought down.
    """

    attempt: int
    proved: bool
    crash: str = ''


class Claims:
    """The claims of one home."""

    __slots__ = ('_clock', '_claims', '_fenced', '_crashes', '_runners')

    def __init__(self, clock):
        self._clock = clock
        self._claims = {}
        self._fenced = {}
        self._crashes = {}
        self._runners = {}

    def __len__(self):
        return len(self._claims)

    def claim(
        self,
        key,
        digest,
        place,
        propose,
        failure=None,
        repeatable=True,
        poison_limit=2,
        billable=True,
    ):
        """Decide who runs a request; returns Claimed or a Refusal.

        `place` is what the request is placed by (see `registry.placement`),
        `propose` the runner that the router would choose, `failure` what it
        knows of an earlier attempt, or None.  With `billable` false a former
        home could not be asked.
        """
        now = self._clock.now()
        if key in self._fenced:
            return verdicts.not_run(
                verdicts.Reason.MOVED, 'the request has another home now', 1
            )
        claim = self._claims.get(key)
        if claim is None:
            refusal = self._poisoned(digest, poison_limit)
            if refusal:
                return refusal
            claim = self._claims[key] = Claim(key, digest, now)
            claim.place = place
            claim.billable = billable
            return self._start(claim, propose)
        claim.at = now
        if claim.digest != digest:
            return verdicts.may_have_run(
                verdicts.Reason.KEY_CONFLICT,
                'the key was used before with another request',
            )
        if claim.closed:
            return claim.closed
        if failure is None or failure.attempt != claim.attempt:
            return self._claimed(claim, False)
        return self._try_again(
            claim, propose, failure, repeatable, poison_limit
        )

    def _try_again(self, claim, propose, failure, repeatable, poison_limit):
        """Start the next attempt after a failure, or say why there is none."""
        if not repeatable and not failure.proved:
            return verdicts.may_have_run(
                verdicts.Reason.TARGET_FAILED,
                'an attempt ended without an answer',
            )
        claim.billable = claim.billable and failure.proved
        if self._runners.get(claim.digest) == claim.runner:
            del self._runners[claim.digest]
        if failure.crash:
            self._crashes.setdefault(claim.digest, set()).add(failure.crash)
        refusal = self._poisoned(claim.digest, poison_limit)
        if refusal:
            claim.closed = msgspec.structs.replace(
                refusal, verdict=verdicts.Verdict.MAY_HAVE_RUN
            )
            return claim.closed
        return self._start(claim, propose)

    def _start(self, claim, propose):
        # The same content never goes to two targets at a time, so that it
        # can't bring both down at once.
        runner = self._runners.setdefault(claim.digest, propose)
        claim.runner = runner
        claim.attempt += 1
        return self._claimed(claim, True)

    def _claimed(self, claim, new):
        suspect = bool(self._crashes.get(claim.digest))
        return Claimed(
            claim.attempt, claim.runner, new, claim.billable, suspect
        )

    def _poisoned(self, digest, limit):
        crashes = len(self._crashes.get(digest, ()))
        if crashes < limit:
            return None
        return verdicts.not_run(
            verdicts.Reason.POISON,
            f'this content brought down {crashes} targets',
        )

    def find(self, key):
        """Return the claim of `key`, or None."""
        return self._claims.get(key)

    def ask(self, key):
        """Return the claim of `key`, or None after fencing the key here."""
        claim = self._claims.get(key)
        if claim is None:
            self._fenced[key] = self._clock.now()
        return claim

    def is_fenced(self, key):
        """Tell whether the key was fenced here."""
        return key in self._fenced

    def adopt(self, handed, leaver, here):
        """Take over a record from an agent that is leaving.

        An attempt that was at `leaver` is at `here` from now on.
        """
        runner = here if handed.runner == leaver else handed.runner
        claim = self._claims.get(handed.key)
        if claim is None:
            claim = Claim(handed.key, handed.digest, self._clock.now())
            claim.place = handed.place
            claim.attempt = handed.attempt
            claim.runner = runner
            claim.billable = handed.billable
            claim.closed = handed.closed
            self._claims[handed.key] = claim
        elif (claim.attempt, claim.runner) == (handed.attempt, leaver):
            claim.runner = here

    def every(self):
        """Return all claims."""
        return list(self._claims.values())

    def expire(self, older_than_ms):
        """Forget what nobody asked about for `older_than_ms`.

        Returns the keys of the claims that were forgotten.
        """
        limit = self._clock.now() - older_than_ms
        expired = [k for k, c in self._claims.items() if c.at < limit]
        for key in expired:
            del self._claims[key]
        for key in [k for k, at in self._fenced.items() if at < limit]:
            del self._fenced[key]
        live = {claim.digest for claim in self._claims.values()}
        for table in (self._crashes, self._runners):
            for digest in [d for d in table if d not in live]:
                del table[digest]
        return expired
