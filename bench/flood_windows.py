"""Floods of one router in windows, beside callers of a service that is well.

Windows with and without a flood take turns, so that what others do on the
machine weighs on both alike.  No other fault happens meanwhile.
"""

import itertools
import signal
import time

import gevent

from bench import flood_callers
from bench import steady_callers
from standins import edge_floods
from standins import platform_documents

CASES = (*edge_floods.CASES, *flood_callers.CASES)
WINDOW_S = 2.5
# Until the callers of a flood have started.
START_S = 1.5
# Until a router has got over a flood.
RECOVERY_S = 1.0
MAX_QUIET_WINDOWS = 3
STEADY_CALLERS = 3
FLOOD_CALLERS = 60
# The share of the answers without a flood that callers get beside one.
MIN_SHARE = 0.5
# A machine on which callers get fewer answers is too busy to judge.
MIN_QUIET_ANSWERS = 10
# Until an engine that has flooded is started anew, under another id.
RENEWAL_S = 0.1
RETRY_S = 0.2
MAX_RETRIES = 50
HEARD_S = 0.3
# So that a flood outlasts its window; the engine is ended then.
SPARE_S = 5.0
_numbers = itertools.count()


class FloodResult:
    """The answers of a service that is well, in windows of equal length.

    `quiet` are those before the first flood and after each one, `flooded`
    those during floods.
    """

    __slots__ = ('case', 'router_name', 'quiet', 'flooded', 'slowest_s')

    def __init__(self, case, router_name):
        self.case = case
        self.router_name = router_name
        self.quiet = []
        self.flooded = []
        self.slowest_s = 0.0

    def is_judged(self):
        """Return whether callers got enough before the flood to compare."""
        return self.quiet[0] >= MIN_QUIET_ANSWERS

    def is_starved(self):
        """Return whether callers got too little in each flood.

        Few answers after the floods may be their effect, so what callers got
        without one counts for no less than is needed to judge.
        """
        before, *after = self.quiet
        usual = max(min(before, max(after)), MIN_QUIET_ANSWERS)
        return self.is_judged() and max(self.flooded) < MIN_SHARE * usual

    def describe(self):
        """Return the case and its answers."""
        judged = '' if self.is_judged() else ', too few to judge'
        return (
            f'{self.case} at {self.router_name}: {self.flooded} answers,'
            f' {self.quiet} without a flood, slowest'
            f' {self.slowest_s:.2f} s{judged}'
        )


def play(fleet, router, case):
    """Flood a router, once more if its callers got too little."""
    fleet.wait_until_up()
    result = FloodResult(case, router.name)
    result.quiet.append(_count_answers(router).count)
    for _ in range(2):
        fleet.log.write(
            what='fault', fault='flood', name=router.name, case=case
        )
        answers = _count_flooded(fleet, router, case)
        result.flooded.append(answers.count)
        result.slowest_s = max(result.slowest_s, answers.slowest_s)
        _count_quiet(result, router)
        if not result.is_starved():
            break
    return result


def _count_quiet(result, router):
    """Count answers after a flood, until the router has got over it."""
    for _ in range(MAX_QUIET_WINDOWS):
        gevent.sleep(RECOVERY_S)
        result.quiet.append(_count_answers(router).count)
        if result.quiet[-1] >= MIN_SHARE * result.quiet[0]:
            return


def _count_answers(router):
    """Return what callers of the service that is well get in a window."""
    answers = steady_callers.Answers()
    front = f'{router.ip}:{platform_documents.FRONT_PORT}'
    until = time.monotonic() + WINDOW_S
    tasks = [
        gevent.spawn(
            steady_callers.call_until,
            front,
            until,
            answers,
            f'steady{next(_numbers)}-',
        )
        for _ in range(STEADY_CALLERS)
    ]
    gevent.joinall(tasks, raise_error=True)
    return answers


def _count_flooded(fleet, router, case):
    """Return the same beside a flood, which ends after it."""
    engine = _find_engine(fleet, case)
    engine_case = flood_callers.ENGINE_CASES.get(case, case)
    seconds = START_S + WINDOW_S
    if engine_case in edge_floods.CASES:
        _order(engine, engine_case, seconds + SPARE_S)
    callers = flood_callers.start(
        router, case, seconds, FLOOD_CALLERS, fleet.directory
    )
    try:
        gevent.sleep(START_S)
        return _count_answers(router)
    finally:
        callers.kill()
        # Routers need not go on to use an engine that has flooded them.
        engine.hand_over(engine.service, RENEWAL_S, signal.SIGKILL, None)


def _find_engine(fleet, case):
    case = flood_callers.ENGINE_CASES.get(case, case)
    service = (
        platform_documents.FAULTY_MODEL_SERVICE
        if case in edge_floods.STREAM_CASES
        else platform_documents.FAULTY_SERVICE
    )
    return next(m for m in fleet.flooding if m.service == service)


def _order(engine, case, seconds):
    """Have an engine flood; it may still be starting."""
    for _ in range(MAX_RETRIES):
        if engine.flood(case, seconds):
            # The routers hear of a new engine by the store.
            gevent.sleep(HEARD_S)
            return
        gevent.sleep(RETRY_S)
    raise TimeoutError(f'{engine.name} does not answer')
