"""Checks whether callers were told that whole answers are broken.

- LOST: beside planned work, with no unplanned disruption near, the engine's
  last run for an attempt sent its whole answer, and the caller was told that
  the answer is broken: it was cut, or a 502 came in its place.

Planned work is a SIGTERM of the attempt's router until a second after its
grace period, its SIGHUP for what is sent soon after it or open then, and a
configuration until it is in force everywhere and a second more.  Whole
answers that are told broken at other times are counted.

Example::

    lost_checks.check(findings, requests, runs, history, closed_streams.JUDGE)
"""

from bench import closed_streams
from bench import edge_callers
from bench import fault_history
from standins import edge_plans
from standins import platform_documents

RULE = 'LOST'
MS_PER_S = fault_history.MS_PER_S
GRACE_MS = platform_documents.GRACE_S * MS_PER_S
AFTER_PLANNED_WORK_MS = 1_000
# A router need not finish what an engine still works on in the last part of
# the grace period, if it was asked for no later than this after the SIGTERM.
LAST_PART_OF_GRACE_MS = GRACE_MS / 6
EARLY_IN_GRACE_MS = 3_000
# A router may end a request so long before its time is up.
DEADLINE_SLACK_MS = 100
BAD_GATEWAY = 502


class Case:
    """An attempt whose engine sent the whole answer, in Unix milliseconds."""

    __slots__ = ('req', 'attempt', 'run', 'sent_ms', 'ended_ms')

    def __init__(self, req, attempt, run):
        self.req = req
        self.attempt = attempt
        self.run = run
        self.sent_ms = attempt.sent_at * MS_PER_S
        self.ended_ms = attempt.ended_at * MS_PER_S

    @property
    def is_closed_stream(self):
        """Return whether it is a stream that only its connection ended."""
        return self.req.kind == 'stream' and self.run.framing == 'none'

    def name_framing(self):
        """Return what it is counted by."""
        kind = 'stream' if self.req.kind == 'stream' else 'body'
        return f'{kind} {self.run.framing}'

    def describe(self, work):
        """Return what was lost, beside which planned work."""
        attempt = self.attempt
        return (
            f'{attempt.id} {self.req.prefix} {edge_callers.describe(attempt)}'
            f' {attempt.outcome} {attempt.status} beside {work},'
            f' ({self.run.describe()}) {attempt.why}'
        )


def check(findings, requests, runs, history, mode):
    """Check all requests; `mode` is one of closed_streams.MODES.

    Where routers doubt streams that only their connection ends, those are
    told broken by the operator's choice, and are only counted.
    """
    for case in list_cases(requests, runs):
        findings.wholes += 1
        work = _find_work_that_counts(case, history, mode)
        if work is not None:
            findings.wholes_beside_work[case.name_framing()] += 1
        if not _is_told_broken(case.attempt):
            continue
        if work is None:
            findings.broken_wholes[case.name_framing()] += 1
        else:
            findings.add(RULE, case.describe(work))


def _find_work_that_counts(case, history, mode):
    """Return the planned work beside which the rule holds, or None."""
    if mode == closed_streams.DOUBT and case.is_closed_stream:
        return None
    if _is_excused(case, history):
        return None
    return find_planned_work(case, history)


def list_cases(requests, runs):
    """Return a Case for each attempt whose last run sent a whole answer."""
    cases = []
    for req in requests:
        for attempt in req.attempts:
            own_runs = runs.get(attempt.id)
            if own_runs and _is_whole(own_runs[-1]):
                cases.append(Case(req, attempt, own_runs[-1]))
    return cases


def find_planned_work(case, history):
    """Return the planned work beside which an attempt ended, or None."""
    name = case.attempt.router.name
    stops = history.stops.get(name, ())
    reloads = history.reloads.get(name, ())
    if any(_is_beside_stop(case, at) for at in stops):
        return 'SIGTERM'
    if any(_is_beside_reload(case, at) for at in reloads):
        return 'SIGHUP'
    if any(_is_beside_config(case, at) for at, _ in history.publications):
        return 'a configuration'
    return None


def _is_whole(run):
    return run.how == edge_plans.WHOLE and not run.is_garbled


def _is_told_broken(attempt):
    if attempt.outcome == 'cut':
        return not attempt.has_given_up
    return attempt.outcome == 'failed' and attempt.status == BAD_GATEWAY


def _is_excused(case, history):
    return (
        case.attempt.has_stalled
        or history.is_disturbed(case.sent_ms, case.ended_ms)
        or _has_reached_deadline(case, history)
        or _is_late_in_grace(case, history)
    )


def _is_beside_stop(case, at):
    return at <= case.ended_ms <= at + GRACE_MS + AFTER_PLANNED_WORK_MS


def _is_beside_reload(case, at):
    until_ms = at + platform_documents.CONFIG_APPLY_MS
    return at <= case.ended_ms and case.sent_ms <= until_ms


def _is_beside_config(case, at):
    applied_ms = at + platform_documents.CONFIG_APPLY_MS
    return at <= case.ended_ms <= applied_ms + AFTER_PLANNED_WORK_MS


def _has_reached_deadline(case, history):
    """Return whether its caller's wait or its route's time-out was over."""
    first_ms = case.req.attempts[0].sent_at * MS_PER_S
    ends_ms = first_ms + case.req.timeout_s * MS_PER_S
    timeout_ms = case.req.route.timeout_ms
    base_ms = history.find_shortest_timeout_ms(case.ended_ms)
    if base_ms is not None:
        # Routes' time-outs are changed by the same factor.
        timeout_ms *= base_ms / platform_documents.DEFAULT_TIMEOUT_MS
    ends_ms = min(ends_ms, case.sent_ms + timeout_ms)
    return case.ended_ms >= ends_ms - DEADLINE_SLACK_MS


def _is_late_in_grace(case, history):
    """Return whether the engine was at work when a grace period ended."""
    return any(
        at + GRACE_MS - LAST_PART_OF_GRACE_MS
        < case.run.ended_ms
        <= at + GRACE_MS + AFTER_PLANNED_WORK_MS
        and case.sent_ms <= at + EARLY_IN_GRACE_MS
        for at in history.stops.get(case.attempt.router.name, ())
    )
