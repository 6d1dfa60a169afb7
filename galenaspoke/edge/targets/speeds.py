"""Relative speeds of the targets of one service, and what they are good for.

If the targets of a service differ much in speed, large prompts prefer the fast
ones: a prompt that is read on a slow target takes long, and pauses the streams
that run there for as long.

Example::

    speeds = ServiceSpeeds()
    speeds.update(targets, now)
    speeds.get_relative('i-7f')      # 2.0: twice as fast as most
    speeds.rank('5c1e', shared_tokens=5382, targets=targets)
"""

import collections
import math

from galenaspoke.utils import rendezvous

# Targets differ in speed once those at the quartiles do by the first factor,
# and until they do by less than the second: load makes like targets look
# different for a while.  A few slow targets among many have a fault and are no
# reason to place otherwise.
MIN_RATIO = 2.0
KEEP_RATIO = 1.5
# A service with fewer targets of known pace is taken to be uniform.
MIN_TARGETS = 4
UPDATE_INTERVAL_MS = 1_000
# Relative speeds are rounded to this factor, so that routers agree on them.
STEP_FACTOR = math.sqrt(2)
# Bounds of a relative speed: a target whose pace is far off is not known well.
RELATIVE_BOUNDS = (0.25, 4.0)
# Bounds of the exponent of the relative speed in the weight of a target.  With
# 1 for all prompts all targets would be equally busy.
EXPONENT_BOUNDS = (1, 3)
# The weight of the latest prompt in the mean size of shared prompts.
LATEST_WEIGHT = 0.02
# How many reading speeds are remembered, and which of them, in order, counts:
# most prompts wait before they are read, or are read beside others.
SAMPLE_COUNT = 64
SAMPLE_QUANTILE = 0.75
MIN_SAMPLES = 8
# Prompts with fewer tokens to read say little about the speed.
MIN_SAMPLE_TOKENS = 1_000

# A digest has 64 bits, of which a float holds 53.
_POINT_RANGE = 2**53


class ServiceSpeeds:
    """What one router has learned of the targets of a service.

    Times are in ms of the clock.
    """

    __slots__ = (
        '_relative',
        '_fastest',
        '_updated_at',
        '_mean_shared_tokens',
        '_reading_speeds',
        '_tokens_per_ms',
    )

    def __init__(self):
        # Relative speed by target id, empty while the targets are alike.
        self._relative = {}
        # The highest of them.
        self._fastest = 1.0
        self._updated_at = None
        # Mean size of the shared part of prompts.
        self._mean_shared_tokens = None
        # Tokens a ms that a target of relative speed 1 seemed to read.
        self._reading_speeds = collections.deque(maxlen=SAMPLE_COUNT)
        self._tokens_per_ms = None

    @property
    def differ(self):
        """Whether the targets differ much in speed."""
        return bool(self._relative)

    def dump(self):
        """Return the relative speeds by target id, rounded."""
        return {
            target_id: round(relative, 2)
            for target_id, relative in self._relative.items()
        }

    def get_relative(self, target_id):
        """Return a target's speed, relative to the median target's."""
        return self._relative.get(target_id, 1.0)

    def get_tokens_per_ms(self, target_id):
        """Return how fast a target reads prompts, None if not known."""
        if not self._relative or self._tokens_per_ms is None:
            return None
        return self._tokens_per_ms * self.get_relative(target_id)

    def is_fast(self, target_id):
        """Return whether a target is about as fast as the fastest."""
        return self.get_relative(target_id) * STEP_FACTOR >= self._fastest

    def record_prompt(self, shared_tokens):
        """Record the size of the shared part of a new request's prompt."""
        if self._mean_shared_tokens is None:
            self._mean_shared_tokens = float(shared_tokens)
        else:
            difference = shared_tokens - self._mean_shared_tokens
            self._mean_shared_tokens += LATEST_WEIGHT * difference

    def record_first_event(self, target_id, read_tokens, took_ms):
        """Record that a first event came after so many tokens were read."""
        if read_tokens < MIN_SAMPLE_TOKENS or took_ms <= 0:
            return
        speed = read_tokens / took_ms / self.get_relative(target_id)
        self._reading_speeds.append(speed)
        if len(self._reading_speeds) >= MIN_SAMPLES:
            ordered = sorted(self._reading_speeds)
            position = int(SAMPLE_QUANTILE * len(ordered))
            self._tokens_per_ms = ordered[position]

    def update(self, targets, now):
        """Compute the relative speeds anew, if it is time."""
        if (
            self._updated_at is not None
            and now - self._updated_at < UPDATE_INTERVAL_MS
        ):
            return
        self._updated_at = now
        relative = compute_relative_speeds(
            {target.entry.id: target.pace.event_ms for target in targets},
            KEEP_RATIO if self.differ else MIN_RATIO,
        )
        if bool(relative) != bool(self._relative):
            # The samples were of another measure.
            self._reading_speeds.clear()
            self._tokens_per_ms = None
            for target in targets:
                target.wait_estimator.forget_speed()
        self._relative = relative
        self._fastest = max(relative.values(), default=1.0)

    def rank(self, key, shared_tokens, targets):
        """Return targets in the order in which `key` prefers them.

        The larger the shared prompt of a key, the more it prefers fast
        targets.
        """
        exponent = self._compute_exponent(shared_tokens)

        def sort_key(target):
            target_id = target.entry.id
            digest = rendezvous.weigh(key, target_id)
            # At most 1 - 2**-53, whose logarithm is finite below.
            point = (int.from_bytes(digest) >> 11) / _POINT_RANGE
            weight = self.get_relative(target_id) ** exponent
            # The least of these falls to each target as often as its weight
            # says.
            return -math.log(1 - point) / weight

        return sorted(targets, key=sort_key)

    def _compute_exponent(self, shared_tokens):
        """Return the exponent for keys with so large a shared prompt."""
        low, high = EXPONENT_BOUNDS
        if not shared_tokens or not self._mean_shared_tokens:
            return low
        doublings = math.log2(shared_tokens / self._mean_shared_tokens)
        return max(low, min(high, round(low + doublings)))


def compute_relative_speeds(paces, min_ratio=MIN_RATIO):
    """Return the relative speed by name, for paces in ms by name.

    A pace is None if it isn't known.  Returns {} unless the quartiles differ
    by `min_ratio`.
    """
    known = sorted(pace for pace in paces.values() if pace)
    if len(known) < max(MIN_TARGETS, len(paces) / 2):
        return {}
    quarter = len(known) // 4
    fast_ms, slow_ms = known[quarter], known[-1 - quarter]
    if slow_ms < min_ratio * fast_ms:
        return {}
    median_ms = known[len(known) // 2]
    return {
        name: _round_speed(median_ms / pace)
        for name, pace in paces.items()
        if pace
    }


def _round_speed(relative):
    steps = round(math.log(relative, STEP_FACTOR))
    low, high = RELATIVE_BOUNDS
    return max(low, min(high, STEP_FACTOR**steps))
