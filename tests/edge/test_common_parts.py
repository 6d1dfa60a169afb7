"""A part that all requests share, at targets that crash again and again.

Whether it is what crashes them or not, nothing else that is sent can tell.
"""

import unittest
from unittest import mock

from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.crashes import suspect_sharing
from tests.edge import base
from tests.edge import crash_fleets
from tests.edge import test_crashes_by_turns
from tests.edge import test_poison

SEEDS = 10
SYSTEM = test_crashes_by_turns.SYSTEM
BAD = test_crashes_by_turns.BAD
STEP_MS = test_crashes_by_turns.STEP_MS
# Of requests that are sent later than this after the last crash, all must be
# served.
RECOVER_MS = 12_000
# Requests with a culprit may reach targets for so long after the third crash,
# and so many later.
STABLE_WINDOW_MS = 3_000
MAX_LATE_REQUESTS = 3
# How long a culprit is watched.
WATCHED_MS = 120_000
PART = crash_suspects.Key('part:system', 0)
OTHER = crash_suspects.Key('part:other', 0)


class TrialHistory(test_crashes_by_turns.History):
    """A History whose routers make trials, as in `Admission.admit`."""

    def __init__(self, seed):
        super().__init__(seed)
        # When requests with the part BAD were sent.
        self.bad_times = []
        # When requests were refused.
        self.refusal_times = []
        self.set_turns()

    def set_turns(self):
        """Tell each router how many have a turn before it."""
        for number, detector in enumerate(self.detectors):
            detector.get_turn = lambda _, number=number: number

    def restart(self):
        """Replace all routers' processes."""
        super().restart()
        self.set_turns()

    def restart_one(self, number):
        """Replace one router's process; what it runs is lost."""
        self.detectors[number] = poison.PoisonDetector(
            self.clocks[number], base.Recorder()
        )
        test_poison.merge(self.detectors[number], self.published)
        self.set_turns()
        for identity, requests in self.running.items():
            self.running[identity] = [r for r in requests if r[0] != number]

    def send(self, *parts):
        """Send a request, unless it is refused; return whether it was sent."""
        self.request_count += 1
        router = self.rng.randrange(len(self.detectors))
        detector = self.detectors[router]
        keys = crash_suspects.make_keys(f'r-{self.request_count}', parts)
        culprit = detector.find_poison(keys)
        if culprit is not None and not detector.begin_trial(culprit):
            self.refusal_times.append(self.now)
            return False
        identity = self.rng.choice(list(self.running))
        begins_at = self.now + test_crashes_by_turns.FIRST_EVENT_MS
        self.running[identity].append((router, keys, begins_at))
        if BAD in parts:
            self.bad_times.append(self.now)
            self.crash(identity)
        return True

    def count_late(self):
        """Return how many requests with BAD were sent late."""
        if len(self.bad_times) < 3:
            return 0
        late_from = self.bad_times[2] + STABLE_WINDOW_MS
        return sum(at > late_from for at in self.bad_times)


class OutageTest(unittest.TestCase):
    """All targets lose power some times at routers that have just started."""

    def play(self, seed, interval_ms, crash_count, topic_count, has_restarts):
        """Return how many requests are refused late."""
        history = TrialHistory(seed)
        self.send(history, 3_000, topic_count)
        history.restart()
        for requests in history.running.values():
            requests.clear()
        # No request that is sent between two crashes survives.
        with mock.patch.object(
            test_crashes_by_turns, 'FIRST_EVENT_MS', interval_ms
        ):
            for number in range(crash_count):
                self.send(history, interval_ms, topic_count)
                if has_restarts:
                    history.restart_one(number % len(history.detectors))
                history.crash_some(1)
        crashed_at = history.now
        self.send(history, 2 * RECOVER_MS, topic_count)
        return sum(
            at > crashed_at + RECOVER_MS for at in history.refusal_times
        )

    def send(self, history, for_ms, topic_count):
        """Send requests for some time."""
        end = history.now + for_ms
        while history.now < end:
            history.advance()
            history.send(SYSTEM, f't-{history.rng.randrange(topic_count)}')

    def check(
        self,
        interval_ms,
        crash_count,
        topic_count=10**9,
        has_restarts=False,
    ):
        """Check that requests are served soon after the last crash."""
        refused = [
            self.play(
                seed, interval_ms, crash_count, topic_count, has_restarts
            )
            for seed in range(SEEDS)
        ]
        self.assertEqual([0] * SEEDS, refused)

    # Guards against a service that is refused for a minute, since all that it
    # is sent has a part that three losses of power cut off.
    def test_part_of_all_requests(self):
        for interval_ms in (600, 1_000, 1_500, 2_500, 5_000):
            with self.subTest(interval_ms=interval_ms):
                self.check(interval_ms, 3)

    # Guards against the same where a trial is cut off, too.
    def test_losses_of_power_go_on(self):
        for interval_ms in (1_000, 2_500):
            with self.subTest(interval_ms=interval_ms):
                self.check(interval_ms, 5)

    # Guards against the same if routers start one after the other.
    def test_routers_start_one_after_the_other(self):
        for interval_ms in (600, 1_500):
            with self.subTest(interval_ms=interval_ms):
                self.check(interval_ms, 4, has_restarts=True)

    # Guards against the same if two or four parts are in all requests.
    def test_parts_of_many_requests(self):
        for topic_count in (1, 2, 4):
            with self.subTest(topic_count=topic_count):
                self.check(1_500, 3, topic_count)


class CulpritTest(unittest.TestCase):
    """A part that crashes all targets, also if all requests have it."""

    def play(self, seed, interval_ms, change=lambda history: None):
        """Send requests that all have the part BAD."""
        history = TrialHistory(seed)
        while history.now < WATCHED_MS:
            history.advance()
            if not history.now % interval_ms:
                history.send(BAD, f'topic-{history.rng.randrange(5)}')
            change(history)
        return history

    # Guards against a part that goes on crashing targets since nothing tells
    # it from other trouble.
    def test_part_of_all_requests_is_stopped(self):
        for interval_ms in (50, 300, 700, 1_000, 1_500, 5_000):
            for seed in range(SEEDS):
                late = self.play(seed, interval_ms).count_late()
                self.assertLessEqual(late, MAX_LATE_REQUESTS, interval_ms)

    # Guards against the same if routers start anew, one after the other.
    def test_part_is_stopped_while_routers_are_replaced(self):
        def restart_one(history):
            if not history.now % 10_000:
                history.restart_one(history.now // 10_000 % 3)

        for interval_ms in (50, 1_000):
            for seed in range(SEEDS):
                history = self.play(seed, interval_ms, restart_one)
                self.assertLessEqual(history.count_late(), MAX_LATE_REQUESTS)

    # Guards against refusals of a common part for what a rare one did, at
    # routers that have just started, among losses of power.
    def test_rare_part_is_refused_and_the_common_one_is_not(self):
        for outage_ms in (None, 700, 4_000):
            for seed in range(SEEDS):
                history = self.play_rare(seed, outage_ms)
                with self.subTest(outage_ms=outage_ms, seed=seed):
                    self.assertLessEqual(
                        history.count_late(), MAX_LATE_REQUESTS
                    )
                    self.assertIn(f'part:{BAD}', history.list_culprits())
                    self.assertNotIn(f'part:{SYSTEM}', history.list_culprits())

    def play_rare(self, seed, outage_ms):
        """Send sound requests and some with BAD; all share a part.

        Targets lose power, if at all, for five seconds.
        """
        history = TrialHistory(seed)
        while history.now < 40_000:
            history.advance()
            if not history.now % 100:
                history.send(SYSTEM, f't-{history.request_count}')
            if not history.now % 1_000:
                history.send(SYSTEM, BAD)
            if outage_ms and history.now < 5_000:
                if not history.now % outage_ms:
                    history.crash_some(1)
        return history


class FleetTest(unittest.TestCase):
    """Two routers before four engines, whose requests all share a part."""

    def setUp(self):
        patch = mock.patch.object(suspect_sharing, 'PUBLISH_INTERVAL_S', 0.001)
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = crash_fleets.CrashFleet(2, 4)
        self.addCleanup(self.fleet.close)
        for number, desk in enumerate(self.fleet.desks):
            desk.detector.get_turn = lambda _, number=number: number

    def ask(self, seconds, part):
        """Ask each router once a second; return the last statuses."""
        for _ in range(seconds):
            statuses = [
                self.fleet.ask(number, (part, f'topic-{number}'))
                for number in range(2)
            ]
        return statuses

    # Guards against routers that let nothing through to be tried.
    def test_all_engines_lose_power(self):
        for round_number in range(4):
            tasks = [
                self.fleet.send(
                    number % 2, (SYSTEM, f't-{round_number}-{number}')
                )
                for number in range(8)
            ]
            base.settle()
            self.fleet.crash_all()
            for task in tasks:
                task.get()
            self.fleet.end_round()
        self.assertEqual(
            {f'part:{SYSTEM}'}, self.fleet.desks[0].detector.list_culprits()
        )
        self.assertEqual([200, 200], self.ask(4, SYSTEM))

    # Guards against trials beyond what the rule allows.
    def test_part_of_all_requests_crashes_engines(self):
        self.fleet.crashing_parts.add(BAD)
        self.assertEqual([503, 503], self.ask(60, BAD))
        late = self.fleet.count_late_arrivals(BAD, 3, STABLE_WINDOW_MS)
        self.assertLessEqual(late, MAX_LATE_REQUESTS)
        self.assertEqual([200, 200], self.ask(2, SYSTEM))


class ContrastTest(unittest.TestCase):
    """What tells a part from trouble that all targets of a service have."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.crash_count = 0
        self.router = self.make_router()

    def make_router(self):
        """Return the detector of the router that has the first turn."""
        return poison.PoisonDetector(self.clock, base.Recorder(), lambda _: 0)

    def crash(self, key=PART, pause_ms=1_000, router=None):
        """Let a target crash under a request; another survives none."""
        router = router or self.router
        self.crash_count += 1
        identity = (f'i-{self.crash_count}', 1)
        router.record_cut_off([key], identity, 'chat')
        router.record_target_down(identity)
        self.clock.advance(pause_ms)

    def count_trials(self, seconds, key=PART):
        """Return how many requests are let through, of one a second.

        Each crashes a target.
        """
        count = 0
        for _ in range(seconds):
            culprit = self.router.find_poison([key])
            if culprit is None or self.router.begin_trial(culprit):
                count += 1
                self.crash(key, pause_ms=0)
            self.clock.advance(1_000)
        return count

    # Guards against a second crash a minute of what is known to be the cause.
    def test_part_with_contrast_has_no_early_trial(self):
        for _ in range(3):
            self.crash()
            self.router.record_survived([OTHER], 'chat')
        self.assertEqual(0, self.count_trials(58))
        self.assertEqual(1, self.count_trials(2))

    def test_early_trials_become_rarer(self):
        for _ in range(3):
            self.crash()
        self.assertEqual(
            [1, 1, 0, 1],
            [self.count_trials(seconds) for seconds in (4, 8, 228, 15)],
        )

    # Guards against a proof by requests that other targets run.
    def test_requests_of_another_service_are_no_contrast(self):
        for _ in range(3):
            self.crash()
            self.router.record_survived([OTHER], 'search')
        self.assertEqual(1, self.count_trials(4))

    # Guards against a proof by requests that have the part, too.
    def test_request_with_the_part_is_no_contrast(self):
        suspects = crash_suspects.CrashSuspects()
        for number in range(2):
            suspects.add(PART, (f'i-{number}', 1), 1_000 * number, None, 's')
            suspects.record_contrast([PART.name, OTHER.name], 's')
        self.assertFalse(suspects.has_contrast(PART.name))
        suspects.record_contrast([OTHER.name], 's')
        self.assertFalse(suspects.has_contrast(PART.name))
        suspects.add(PART, ('i-9', 1), 9_000, None, 's')
        self.assertTrue(suspects.has_contrast(PART.name))

    # Guards against a proof by what targets survive once all trouble is over.
    def test_survival_after_the_last_crash_is_no_contrast(self):
        for _ in range(3):
            self.crash()
        self.router.record_survived([OTHER], 'chat')
        self.assertEqual(1, self.count_trials(4))

    # Guards against a proof by a crash that is published again.
    def test_crash_that_is_published_again_is_no_contrast(self):
        other = self.make_router()
        for _ in range(3):
            self.crash(router=other)
        test_poison.merge(self.router, other.unpublished)
        self.router.record_survived([OTHER], 'chat')
        test_poison.merge(self.router, other.unpublished)
        self.assertEqual(1, self.count_trials(4))

    # Guards against refusals for long because of trials before a success.
    def test_trials_before_a_success_do_not_count(self):
        for _ in range(3):
            self.crash()
        self.assertEqual(2, self.count_trials(13))
        self.router.record_survived([PART], 'chat')
        self.clock.advance(crash_suspects.SURVIVAL_TTL_MS)
        for _ in range(3):
            self.crash()
        self.router._trials.clear()
        self.assertEqual(1, self.count_trials(4))

    # Guards against early trials by a router that gets other requests only,
    # and by a process that has just started.
    def test_contrast_that_another_router_has_seen(self):
        other = self.make_router()
        for _ in range(3):
            self.crash(router=other)
            other.record_survived([OTHER], 'chat')
        test_poison.merge(self.router, other.unpublished)
        self.assertEqual(0, self.count_trials(58))

    # Guards against early trials by many routers before the first has shown
    # anything.
    def test_few_routers_have_an_early_turn(self):
        for _ in range(3):
            self.crash()
        for turn, count in ((None, 0), (1, 1), (2, 0)):
            self.router._trials.clear()
            self.router.get_turn = lambda _, turn=turn: turn
            culprit = self.router.find_poison([PART])
            tried = 0
            for _ in range(10):
                tried += self.router.begin_trial(culprit)
                self.clock.advance(1_000)
            self.assertEqual(count, tried, turn)
            self.crash(pause_ms=0)

    # Guards against a whole request that is let through early.
    def test_request_has_no_early_trial(self):
        for _ in range(2):
            self.crash(test_poison.BAD)
        self.assertEqual(0, self.count_trials(57, test_poison.BAD))

    def test_what_is_known_of_a_cleared_key_is_forgotten(self):
        suspects = crash_suspects.CrashSuspects()
        for number in range(2):
            suspects.add(PART, (f'i-{number}', 1), 1_000 * number, None, 's')
            suspects.record_contrast([OTHER.name], 's')
        self.assertTrue(suspects.has_contrast(PART.name))
        suspects.clear(PART.name)
        self.assertFalse(suspects.has_contrast(PART.name))
        suspects.remove_expired(0)
        self.assertFalse(suspects._uncontrasted)
        self.assertFalse(suspects._contrasted)
