"""Runs requests on the target beside the agent.

A run goes on when the router that asked for it has gone: the caller will ask
again, and the answer is then there.  It ends at its deadline at the latest.
"""

from absl import logging
import gevent

from galenaspoke.application import client as application
from galenaspoke.core import limits
from galenaspoke.core import schema
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.engine import client as engine
from galenaspoke.utils import http

# How much a new time counts in the moving average.
SMOOTHING = 0.2


class Runner:
    """The target, as this agent knows it, and what runs on it."""

    __slots__ = (
        'up',
        'reported',
        'first_piece_ms',
        '_cfg',
        '_clock',
        '_metrics',
        '_runs',
        '_holders',
        '_life',
    )

    def __init__(self, cfg, clock, metrics, runs, holders):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._runs = runs
        self._holders = holders
        self.up = True
        self.reported = 0
        self.first_piece_ms = 0.0
        self._life = 0

    def load(self):
        """Return the requests at the target, by own count and by report."""
        return max(len(self._runs.running()), self.reported)

    def probe(self):
        """Ask the target for its load, and note whether it is up."""
        try:
            load = engine.load(self._cfg.target)
        except http.TargetFailed as exc:
            self._note_down(self._life, exc)
            return
        self.reported = load.running + load.waiting
        if not self.up:
            logging.info('target is up')
        self.up = True

    def _note_down(self, life, why):
        """Note that the target broke in its life number `life`."""
        if life == self._life and self.up:
            self.up = False
            self._life += 1
            self._metrics.count('target.down')
            logging.warning('target is down: %s', why)

    def refusal(self, req, policy, suspect):
        """Return why a request can't start now, or None if it can."""
        if not self.up:
            return verdicts.not_run(
                verdicts.Reason.NO_TARGET, 'the target is down', 500
            )
        if self.load() >= limits.queue_limit(policy.queue, req.priority):
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD, 'the queue is full', 200
            )
        if req.deadline_ms < self.first_piece_ms:
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD,
                'the deadline would pass before the answer begins',
                int(self.first_piece_ms),
            )
        if suspect and any(run.suspect for run in self._runs.running()):
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD, 'another suspect is running', 200
            )
        return None

    def start(self, run, submit):
        """Start a run that has been entered in the table."""
        run.has_caller_key = not submit.request.fresh
        run.digest = submit.request.digest
        run.place = submit.request.place
        run.holder = submit.holder
        run.budget = submit.request.budget
        run.reserve = submit.reserve
        run.suspect = submit.suspect
        run.add(submit.resume)
        self._holders.begin(run)
        self._metrics.count('runs.started')
        gevent.spawn(self._run, run, submit)

    def _run(self, run, submit):
        started = self._clock.now()
        deadline_s = submit.request.deadline_ms / 1000
        life = self._life
        try:
            with gevent.Timeout(deadline_s):
                if self._cfg.kind == schema.MODEL:
                    self._generate(run, submit, started)
                else:
                    self._call(run, submit, deadline_s)
            run.state = run_table.RunState.DONE
        except gevent.Timeout:
            self._timed_out(run)
        except http.TargetFailed as exc:
            self._failed(run, submit, life, exc)
        self._end(run, submit)

    def _generate(self, run, submit, started):
        pieces = engine.generate(
            self._cfg.target,
            submit.request,
            run.dispatch,
            submit.reserve,
            submit.resume,
            submit.request.deadline_ms / 1000,
        )
        for piece in pieces:
            if len(run.pieces) == len(submit.resume):
                taken = self._clock.now() - started
                self.first_piece_ms += SMOOTHING * (
                    taken - self.first_piece_ms
                )
            run.add([piece])
            if len(run.pieces) >= submit.reserve:
                # No more was set aside, whatever the engine would make.
                return

    def _call(self, run, submit, timeout_s):
        answer = application.call(
            self._cfg.target, submit.request, run.dispatch, timeout_s
        )
        run.add([answer])

    def _timed_out(self, run):
        if self._cfg.kind == schema.MODEL:
            engine.cancel(self._cfg.target, run.dispatch)
            run.state = run_table.RunState.FAILED
        else:
            run.state = run_table.RunState.UNKNOWN
        run.refusal = verdicts.may_have_run(
            verdicts.Reason.DEADLINE, 'the deadline passed during the run'
        )

    def _failed(self, run, submit, life, exc):
        if self._cfg.kind == schema.MODEL:
            self._note_down(life, exc)
            run.state = run_table.RunState.FAILED
            if exc.sent:
                run.crash = f'{submit.to}.{life}'
        elif exc.sent:
            run.state = run_table.RunState.UNKNOWN
        else:
            self._note_down(life, exc)
            run.state = run_table.RunState.FENCED
        started = run.state is not run_table.RunState.FENCED
        make = verdicts.may_have_run if started else verdicts.not_run
        run.refusal = make(
            verdicts.Reason.TARGET_FAILED, f'the target failed: {exc}', 500
        )

    def _end(self, run, submit):
        used = len(run.pieces)
        if self._cfg.kind == schema.APPLICATION:
            used = submit.reserve
        if run.state is run_table.RunState.DONE and run.billable:
            run.spent = used
        elif run.state in (
            run_table.RunState.DONE,
            run_table.RunState.UNKNOWN,
        ):
            run.doubt = used
        self._holders.end(run)
        self._metrics.count(f'runs.{run.state.value}')
        run.finish(self._clock.now())
