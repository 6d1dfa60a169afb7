"""The agent's records: which requests were claimed here, and how they ran.

Two tables.  `Claims` is kept by a request's home and decides who may run it;
`Runs` is kept where it runs.  Home and runner are usually the same agent.
Both live in memory: what an agent that lost its memory can't know is settled
by the registry (see `registry.placement`), never guessed.

The tables decide and never wait; the callers do the talking.
"""

import enum

from gevent import event
import msgspec

from galenaspoke.core import verdicts


class RunState(enum.Enum):
    """How far a run has come."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'


class Run:
    """One attempt at one request, and every piece of its answer."""

    __slots__ = (
        'key',
        'attempt',
        'dispatch',
        'keyed',
        'digest',
        'place',
        'holder',
        'budget',
        'reserve',
        'billable',
        'state',
        'refusal',
        'spent',
        'doubt',
        'crash',
        'suspect',
        'ended_at',
        'cancelled',
        '_pieces',
        '_packed',
        '_changed',
    )

    def __init__(self, key, attempt, state=RunState.RUNNING):
        self.key = key
        self.attempt = attempt
        self.dispatch = ''
        # The caller gave the key, so it may send it again.
        self.keyed = True
        self.digest = ''
        self.place = ''
        self.holder = ''
        self.budget = ''
        self.reserve = 0
        self.billable = True
        self.state = state
        self.refusal = None
        self.spent = 0
        self.doubt = 0
        self.crash = ''
        self.suspect = False
        self.ended_at = 0
        self.cancelled = False
        self._pieces = []
        self._packed = b''
        self._changed = event.Event()

    @property
    def pieces(self):
        """The pieces of the answer so far; not to be changed."""
        if self._packed:
            return msgspec.json.decode(self._packed)
        return self._pieces

    def add(self, pieces):
        """Append pieces of the answer and wake whoever follows."""
        self._pieces.extend(pieces)
        self.notify()

    def finish(self, now):
        """Note the end of a run whose state has been set, and wake all.

        The answer is kept packed from now on: as a list of strings it takes
        ten times the memory.
        """
        self.ended_at = now
        self._packed = msgspec.json.encode(self._pieces)
        self._pieces = []
        self.notify()

    def notify(self):
        """Wake whoever follows."""
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def follow(self, count):
        """Yield lists of new pieces after the first `count`, to the end."""
        while True:
            changed = self._changed
            pieces = self.pieces
            if len(pieces) > count:
                new = pieces[count:]
                count += len(new)
                yield new
            elif self.state is not RunState.RUNNING:
                return
            else:
                changed.wait()


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

    def fenced(self, key):
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


class Runs:
    """The runs of one agent, by request and by dispatch."""

    __slots__ = ('_clock', '_runs', '_dispatches')

    def __init__(self, clock):
        self._clock = clock
        self._runs = {}
        self._dispatches = {}

    def __len__(self):
        return len(self._runs)

    def start(self, key, attempt, dispatch):
        """Add a run; returns None if it was fenced or started before."""
        if (key, attempt) in self._runs or dispatch in self._dispatches:
            return None
        run = Run(key, attempt)
        run.dispatch = dispatch
        self._runs[key, attempt] = run
        self._dispatches[dispatch] = run
        return run

    def find(self, key, attempt):
        """Return a run, or None."""
        return self._runs.get((key, attempt))

    def find_or_fence(self, key, attempt):
        """Return a run; one that never came is fenced for good."""
        run = self._runs.get((key, attempt))
        if run is None:
            run = Run(key, attempt, RunState.FENCED)
            run.ended_at = self._clock.now()
            self._runs[key, attempt] = run
        return run

    def outcome_or_fence(self, dispatch):
        """Return the run of a dispatch; one that never came is fenced."""
        run = self._dispatches.get(dispatch)
        if run is None:
            run = Run('', 0, RunState.FENCED)
            run.ended_at = self._clock.now()
            self._dispatches[dispatch] = run
        return run

    def adopt(self, run):
        """Take over a finished run from an agent that is leaving."""
        self._runs.setdefault((run.key, run.attempt), run)

    def every(self):
        """Return all runs."""
        return list(self._runs.values())

    def running(self):
        """Return the runs that have not ended."""
        return [
            run for run in self._runs.values() if run.state is RunState.RUNNING
        ]

    def expire(self, older_than_ms):
        """Forget runs that ended more than `older_than_ms` ago."""
        limit = self._clock.now() - older_than_ms
        for table in (self._runs, self._dispatches):
            old = [
                name
                for name, run in table.items()
                if run.state is not RunState.RUNNING and run.ended_at < limit
            ]
            for name in old:
                del table[name]


class HolderUsage:
    """One holder at one agent: may it still send, and what did it use."""

    __slots__ = ('sealed', 'usage')

    def __init__(self):
        self.sealed = False
        self.usage = {}
