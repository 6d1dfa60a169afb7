"""Execution of requests on the agent's target.

A run continues when the router that submitted it disconnects, so that the
answer is ready when the caller retries.  Its deadline ends it at the latest.
"""

from absl import logging
import gevent

from galenaspoke.application import client as application
from galenaspoke.core import limits
from galenaspoke.core import runs as run_table
from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.engine import client as engine
from galenaspoke.utils import http

# Weight of a new sample in the moving average of the time to first piece.
EWMA_WEIGHT = 0.2


class Runner:
    """Runs requests on one target and tracks its health and load."""

    __slots__ = (
        'is_up',
        'reported_load',
        'avg_first_piece_ms',
        '_cfg',
        '_clock',
        '_metrics',
        '_runs',
        '_holders',
        '_epoch',
    )

    def __init__(self, cfg, clock, metrics, runs, holders):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._runs = runs
        self._holders = holders
        self.is_up = True
        self.reported_load = 0
        self.avg_first_piece_ms = 0.0
        # Number of times that the target was marked as down since this agent
        # started.  With the agent's incarnation it identifies a crash.
        self._epoch = 0

    def get_load(self):
        """Return the number of requests at the target.

        It is the higher of the agent's own count and the target's report.
        """
        return max(len(self._runs.running()), self.reported_load)

    def probe(self):
        """Read the target's load; mark it as up or down."""
        try:
            load = engine.get_load(self._cfg.target)
        except http.TargetFailed as exc:
            self._mark_down(self._epoch, exc)
            return
        self.reported_load = load.running + load.waiting
        if not self.is_up:
            logging.info('target is up')
        self.is_up = True

    def _mark_down(self, epoch, cause):
        """Mark the target as down, unless its failure in `epoch` is known.

        Several runs may see the same failure; it is counted once.
        """
        if epoch == self._epoch and self.is_up:
            self.is_up = False
            self._epoch += 1
            self._metrics.count('target.down')
            logging.warning('target is down: %s', cause)

    def check_admission(self, req, policy, suspect):
        """Return a Refusal if a request can't start now, else None."""
        if not self.is_up:
            return verdicts.not_run(
                verdicts.Reason.NO_TARGET, 'the target is down', 500
            )
        if self.get_load() >= limits.queue_limit(policy.queue, req.priority):
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD, 'the queue is full', 200
            )
        if req.deadline_ms < self.avg_first_piece_ms:
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD,
                'the deadline is shorter than the average time to first piece',
                int(self.avg_first_piece_ms),
            )
        if suspect and any(run.suspect for run in self._runs.running()):
            return verdicts.not_run(
                verdicts.Reason.OVERLOAD,
                'another request suspected of crashing its target is running',
                200,
            )
        return None

    def start(self, run, submit):
        """Execute a run that is in the table already, in a new greenlet."""
        run.has_caller_key = not submit.request.fresh
        run.digest = submit.request.digest
        run.place = submit.request.place
        run.holder = submit.holder
        run.budget = submit.request.budget
        run.reserve = submit.reserve
        run.suspect = submit.suspect
        run.add(submit.resume)
        self._holders.record_start(run)
        self._metrics.count('runs.started')
        gevent.spawn(self._run, run, submit)

    def _run(self, run, submit):
        started_at = self._clock.now()
        deadline_s = submit.request.deadline_ms / 1000
        epoch = self._epoch
        try:
            with gevent.Timeout(deadline_s):
                if self._cfg.kind == schema.MODEL:
                    self._generate(run, submit, started_at)
                else:
                    self._call_application(run, submit, deadline_s)
            run.state = run_table.RunState.DONE
        except gevent.Timeout:
            self._handle_timeout(run)
        except http.TargetFailed as exc:
            self._handle_failure(run, submit, epoch, exc)
        self._finish(run, submit)

    def _generate(self, run, submit, started_at):
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
                elapsed_ms = self._clock.now() - started_at
                self.avg_first_piece_ms += EWMA_WEIGHT * (
                    elapsed_ms - self.avg_first_piece_ms
                )
            run.add([piece])
            if len(run.pieces) >= submit.reserve:
                # The reservation covers no more, even if the engine goes on.
                return

    def _call_application(self, run, submit, timeout_s):
        answer = application.call(
            self._cfg.target, submit.request, run.dispatch, timeout_s
        )
        run.add([answer])

    def _handle_timeout(self, run):
        if self._cfg.kind == schema.MODEL:
            engine.cancel(self._cfg.target, run.dispatch)
            run.state = run_table.RunState.FAILED
        else:
            run.state = run_table.RunState.UNKNOWN
        run.refusal = verdicts.may_have_run(
            verdicts.Reason.DEADLINE, 'the deadline passed during the run'
        )

    def _handle_failure(self, run, submit, epoch, exc):
        if self._cfg.kind == schema.MODEL:
            self._mark_down(epoch, exc)
            run.state = run_table.RunState.FAILED
            if exc.sent:
                run.crash = f'{submit.to}.{epoch}'
        elif exc.sent:
            run.state = run_table.RunState.UNKNOWN
        else:
            self._mark_down(epoch, exc)
            run.state = run_table.RunState.FENCED
        may_have_run = run.state is not run_table.RunState.FENCED
        make_refusal = (
            verdicts.may_have_run if may_have_run else verdicts.not_run
        )
        run.refusal = make_refusal(
            verdicts.Reason.TARGET_FAILED, f'the target failed: {exc}', 500
        )

    def _finish(self, run, submit):
        used_tokens = len(run.pieces)
        if self._cfg.kind == schema.APPLICATION:
            used_tokens = submit.reserve
        if run.state is run_table.RunState.DONE and run.billable:
            run.spent = used_tokens
        elif run.state in (
            run_table.RunState.DONE,
            run_table.RunState.UNKNOWN,
        ):
            run.doubt = used_tokens
        self._holders.record_end(run)
        self._metrics.count(f'runs.{run.state.value}')
        run.finish(self._clock.now())
