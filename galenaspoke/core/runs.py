"""The table of runs that an agent keeps: attempts that run or ran on it.

A run that has not arrived can be fenced, so that it will never start.  The
module `records` decides which agent runs a request.

Example::

    run = runs.Runs(clock).start('the-key', 1, 'router-1.x.7')
    run.add(['a piece'])
"""

import enum

from gevent import event
import msgspec


class RunState(enum.Enum):
    """The state of a run.

    The outcome of an `UNKNOWN` run can't be determined.  A `FENCED` run was
    not sent to the target and never will be.
    """

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'


class Run:
    """One attempt at a request, with all pieces of its response.

    `dispatch` is the id of the router's dispatch of this attempt, `place` the
    request's placement key, and `reserve` the number of tokens reserved for
    the run.  `crash` identifies the target incarnation that the run
    crashed, or is empty.  A `suspect` run has content that crashed a target
    before.
    """

    __slots__ = (
        'key',
        'attempt',
        'dispatch',
        'has_caller_key',
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
        '_pieces',
        '_encoded_pieces',
        '_changed',
    )

    def __init__(self, key, attempt, state=RunState.RUNNING):
        self.key = key
        self.attempt = attempt
        self.dispatch = ''
        # Whether the caller chose the key, so that it may retry with it.
        self.has_caller_key = True
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
        self._pieces = []
        self._encoded_pieces = b''
        self._changed = event.Event()

    @property
    def pieces(self):
        """The pieces of the response so far.  Must not be modified."""
        if self._encoded_pieces:
            return msgspec.json.decode(self._encoded_pieces)
        return self._pieces

    def add(self, pieces):
        """Append pieces of the response and wake all followers."""
        self._pieces.extend(pieces)
        self.notify()

    def finish(self, now):
        """Record the end of a run and wake all followers.

        The caller sets `state` first.  From now on the response is kept
        encoded as JSON, because a list of strings takes ten times the memory.
        """
        self.ended_at = now
        self._encoded_pieces = msgspec.json.encode(self._pieces)
        self._pieces = []
        self.notify()

    def notify(self):
        """Wake all followers."""
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def follow(self, count):
        """Yield lists of the pieces after the first `count`.

        Block while there are no new pieces; return at the end of the run.
        """
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
        """Add a run; return None if it was fenced or started before."""
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
        """Return a run; fence it if it has not arrived."""
        run = self._runs.get((key, attempt))
        if run is None:
            run = Run(key, attempt, RunState.FENCED)
            run.ended_at = self._clock.now()
            self._runs[key, attempt] = run
        return run

    def find_dispatch_or_fence(self, dispatch):
        """Return the run of a dispatch; fence it if it has not arrived."""
        run = self._dispatches.get(dispatch)
        if run is None:
            run = Run('', 0, RunState.FENCED)
            run.ended_at = self._clock.now()
            self._dispatches[dispatch] = run
        return run

    def adopt(self, run):
        """Take over a finished run from an agent that is leaving."""
        self._runs.setdefault((run.key, run.attempt), run)

    def list_all(self):
        """Return all runs."""
        return list(self._runs.values())

    def running(self):
        """Return the runs that have not ended."""
        return [
            run for run in self._runs.values() if run.state is RunState.RUNNING
        ]

    def expire(self, older_than_ms):
        """Remove runs that ended more than `older_than_ms` ago."""
        cutoff = self._clock.now() - older_than_ms
        for table in (self._runs, self._dispatches):
            old = [
                name
                for name, run in table.items()
                if run.state is not RunState.RUNNING and run.ended_at < cutoff
            ]
            for name in old:
                del table[name]


class HolderState:
    """The state of one holder at one agent.

    `usage` is its usage by budget.  If it is `sealed`, its requests are
    refused.
    """

    __slots__ = ('sealed', 'usage')

    def __init__(self):
        self.sealed = False
        self.usage = {}
