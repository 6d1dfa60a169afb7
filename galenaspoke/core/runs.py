"""How requests ran: the table that an agent keeps of what runs on it.

A run that never came can be fenced, so that it never will.  What is decided
of requests before they run stands in `records`.

Example::

    run = runs.Runs(clock).start('the-key', 1, 'router-1.x.7')
    run.add(['a piece'])
"""

import enum

from gevent import event
import msgspec


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

    def find_dispatch_or_fence(self, dispatch):
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


class HolderState:
    """One holder at one agent: may it still send, and what did it use."""

    __slots__ = ('sealed', 'usage')

    def __init__(self):
        self.sealed = False
        self.usage = {}
