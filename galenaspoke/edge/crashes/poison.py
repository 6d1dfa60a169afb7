"""Detection of poison requests, which crash the targets that run them.

Every request that was cut off when a target went down is a suspect of that
crash, and so is each part of its prompt that other requests share, unless the
target had got on with the response: then it has survived both, and so has one
that responds in full.  Requests with a culprit of several
crashes, see `crash_suspects`, are refused from then on, but for a rare trial,
which shows whether the culprit still crashes targets.  The first trial of a
part without contrast comes soon: all that a service is sent may have it.

Example::

    detector = PoisonDetector(clock, journal)
    detector.record_cut_off(keys, ('i-7f', 1))
    detector.record_target_down(('i-7f', 1))
    detector.find_poison(keys)               # None: one crash only
"""

import collections
import hashlib
import math
import typing

import gevent
import msgspec

from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.utils import decoding

# A request is a suspect only if its target is found down within this time
# after the request was cut off.
DOWN_WINDOW_MS = 6_000
# A target that had sent more events than this of a stream isn't crashed by it:
# what crashes targets does so when they begin to write.
MAX_SUSPECT_EVENTS = 1
# Of how many keys, the latest, it is known when a target last survived them,
# and how long the name of one may be: callers choose the ids of parts.
MAX_SURVIVED = 4_096
MAX_SURVIVED_NAME_CHARS = 200
# How long after its last crash one request with a culprit is let through, and
# the longest time between two of them; the time doubles with each.
MIN_TRIAL_INTERVAL_MS = 60_000
MAX_TRIAL_INTERVAL_MS = 900_000
# How long after its last crash a request with a part without contrast is let
# through, by how many such trials have crashed a target, by how much that is
# multiplied with each that has shown nothing, and how many routers have a
# turn.
EARLY_TRIAL_INTERVALS_MS = (2_000, 8_000)
EARLY_TRIAL_FACTOR = 4
EARLY_TRIAL_ROUTERS = 2
# A router publishes at most this many suspects, culprits and the latest.
MAX_PUBLISHED = 600
# A key is published as cleared once it was cleared of this many crashes.
MIN_PUBLISHED_CLEARED = 2
EXPIRE_INTERVAL_S = 10


Number = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INT64)]


class Suspect(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key that is a suspect of one crash of a target.

    `request` is the name of a Key and `rank` its rank, `target` the target's
    id and incarnation.  `at_ms` is the time of the crash in ms since 1970.  If
    `is_cleared`, a target survived a request with the key after it.  When one
    last did so before is `survived_at_ms`, 0 if that isn't known.  `service`
    is the target's if the key is a part, `has_contrast` states that the part
    has contrast, and `is_trial` that the crash was that of a trial.
    """

    request: str
    target: tuple[str, Number]
    at_ms: Number = 0
    rank: Number = crash_suspects.REQUEST_RANK
    is_cleared: bool = False
    survived_at_ms: Number = 0
    service: str = ''
    has_contrast: bool = False
    is_trial: bool = False


def compute_fingerprint(req, account):
    """Return a digest that stays the same when a caller retries a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), req.method, req.url, req.body):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()


class _Trials:
    """The trials of a culprit by this router."""

    __slots__ = ('tried_at', 'count', 'is_open')

    def __init__(self):
        self.tried_at = 0
        self.count = 0
        # Whether the last one hasn't crashed a target, so far.
        self.is_open = False

    def begin(self, now):
        """Record that a request is let through."""
        self.tried_at = now
        self.count += 1
        self.is_open = True


class PoisonDetector:
    """Records the crashes of targets and the suspects of each crash.

    Requests are identified by their Keys, a target by its id and incarnation.
    `get_turn` is called with a culprit's name and returns how many routers
    have to try it before this one, None if that isn't known.
    """

    __slots__ = (
        'unpublished',
        'get_turn',
        '_clock',
        '_journal',
        '_cut_off',
        '_down',
        '_suspects',
        '_survived_at',
        '_failed_trials',
        '_trials',
    )

    def __init__(self, clock, journal, get_turn=lambda _: None):
        # What this router found out and has not yet published.
        self.unpublished = collections.deque(maxlen=MAX_PUBLISHED)
        self.get_turn = get_turn
        self._clock = clock
        self._journal = journal
        # Target to the Keys of the requests that it cut off, each with the
        # time and the service.
        self._cut_off = collections.defaultdict(dict)
        # Targets that went down lately, each with the time.
        self._down = {}
        self._suspects = crash_suspects.CrashSuspects()
        # Name of a key to when a target last survived it, the earliest first.
        self._survived_at = collections.OrderedDict()
        # Culprit to the targets that crashed in its trials at all routers.
        self._failed_trials = collections.defaultdict(set)
        # Culprit to its _Trials here.
        self._trials = {}

    def record_cut_off(self, keys, identity, service=''):
        """Record that a target of a service broke off a request."""
        now = self._clock.now()
        for key in keys:
            self._cut_off[identity].setdefault(key, (now, service))
        if identity in self._down:
            self._add_suspects(identity)

    def record_target_down(self, identity):
        """Record that a target went down."""
        self._down.setdefault(identity, self._clock.now())
        self._add_suspects(identity)

    def _add_suspects(self, identity):
        """Make the requests that a target cut off suspects of its crash."""
        now = self._clock.now()
        cut_off = self._cut_off.pop(identity, {})
        suspects = {
            key: (at, service)
            for key, (at, service) in cut_off.items()
            if now - at < DOWN_WINDOW_MS
        }
        for key, (at, service) in suspects.items():
            survived_at = self._survived_at.get(key.name)
            self._suspects.add(key, identity, at, survived_at, service)
            self._publish(
                key,
                identity,
                at,
                survived_at=survived_at,
                service=service if crash_suspects.is_part(key.name) else '',
                is_trial=self._end_trial(key.name, identity),
            )
        if suspects:
            self._journal.note(
                'target.crashed',
                target=identity[0],
                born=identity[1],
                suspects=len(suspects),
                culprits=list(self._suspects.list_culprits()),
            )

    def _end_trial(self, name, identity):
        """Return whether it was a trial of a key that crashed a target."""
        trials = self._trials.get(name)
        if trials is None or not trials.is_open:
            return False
        trials.is_open = False
        self._failed_trials[name].add(identity)
        return True

    def _publish(
        self,
        key,
        identity,
        at,
        is_cleared=False,
        survived_at=None,
        service='',
        is_trial=False,
    ):
        started_at_ms = self._clock.wall() - self._clock.now()
        self.unpublished.append(
            Suspect(
                key.name,
                identity,
                started_at_ms + at,
                key.rank,
                is_cleared,
                0 if survived_at is None else started_at_ms + survived_at,
                service,
                not is_cleared and self._suspects.has_contrast(key.name),
                is_trial,
            )
        )

    def add_published(self, suspect):
        """Add what another router, or an earlier process, published."""
        age_ms = max(0, self._clock.wall() - suspect.at_ms)
        if age_ms >= crash_suspects.CULPRIT_TTL_MS:
            return
        at = self._clock.now() - age_ms
        identity = tuple(suspect.target)
        key = crash_suspects.Key(suspect.request, suspect.rank)
        if suspect.is_cleared:
            self._suspects.clear_crash(key.name, identity, at)
        else:
            if suspect.is_trial:
                self._failed_trials[key.name].add(identity)
            self._suspects.add(
                key,
                identity,
                at,
                self._find_survival(suspect, at),
                suspect.service,
                suspect.has_contrast,
            )

    def _find_survival(self, suspect, at):
        """Return when targets last survived a published suspect.

        None if neither its router nor this one knows.  `at` is the time of the
        crash; what its router knew was from before.
        """
        known_at = self._survived_at.get(suspect.request)
        if not suspect.survived_at_ms:
            return known_at
        before_ms = max(0, suspect.at_ms - suspect.survived_at_ms)
        return max(at - before_ms, -math.inf if known_at is None else known_at)

    def has_suspects(self):
        """Return whether any request is a suspect."""
        return bool(self._suspects)

    def list_culprits(self):
        """Return the names of what crashes targets."""
        return set(self._suspects.list_culprits())

    def has_culprits(self):
        """Return whether any request may be refused."""
        return bool(self._suspects.list_culprits())

    def record_survived(self, keys, service=''):
        """Clear a request that a target survived of all crashes so far.

        `service` is the target's.  Other routers are told once that matters:
        before a key has been a suspect of as many crashes as make it a
        culprit.
        """
        now = self._clock.now()
        if self._suspects:
            self._suspects.record_contrast([key.name for key in keys], service)
        for key in keys:
            self._remember_survival(key.name, now)
            cleared = self._suspects.clear(key.name)
            known = self._suspects.list_cleared(key.name)
            if cleared:
                self._failed_trials.pop(key.name, None)
            if not cleared or len(known) < MIN_PUBLISHED_CLEARED:
                continue
            if len(known) - len(cleared) < MIN_PUBLISHED_CLEARED:
                # Those before have not been published yet.
                cleared = known
            for identity in cleared:
                self._publish(key, identity, now, is_cleared=True)

    def _remember_survival(self, name, now):
        if len(name) > MAX_SURVIVED_NAME_CHARS:
            return
        self._survived_at[name] = now
        self._survived_at.move_to_end(name)
        if len(self._survived_at) > MAX_SURVIVED:
            self._survived_at.popitem(last=False)

    def find_poison(self, keys):
        """Return the culprit because of which a request must not be sent.

        Returns None if it may be sent.
        """
        return self._suspects.find_culprit([key.name for key in keys])

    def begin_trial(self, culprit):
        """Return whether one request with a culprit is let through now.

        If the first router makes no trial, because it is down or gets no such
        requests, each of the others has its turn.  A crash lets all wait anew.
        """
        now = self._clock.now()
        crashed_at = self._suspects.list_culprits()[culprit]
        trials = self._trials.get(culprit, _Trials())
        quiet_ms = now - max(crashed_at, trials.tried_at)
        turn = self.get_turn(culprit)
        intervals_ms = [self._trial_interval_ms(culprit, trials.count)]
        if turn is not None and turn < EARLY_TRIAL_ROUTERS:
            intervals_ms += self._list_early_intervals_ms(culprit, trials)
        if not any(_is_due(quiet_ms, ms, turn) for ms in intervals_ms):
            return False
        trials.begin(now)
        self._trials[culprit] = trials
        self._journal.note('poison.trial', culprit=culprit)
        return True

    def _list_early_intervals_ms(self, culprit, trials):
        """Return the time to the next early trial, if there is one.

        `trials` are this router's.  Those that didn't crash a target have
        shown nothing, perhaps since the request was refused.
        """
        if not crash_suspects.is_part(culprit):
            return []
        if self._suspects.has_contrast(culprit):
            return []
        failed = len(self._failed_trials.get(culprit, ()))
        unclear = max(0, trials.count - failed)
        return [
            ms * EARLY_TRIAL_FACTOR**unclear
            for ms in EARLY_TRIAL_INTERVALS_MS[failed : failed + 1]
        ]

    def _trial_interval_ms(self, culprit, count):
        """Return the time to the next trial, after `count` by this router.

        The crashes tell of those by other routers, and by earlier processes.
        """
        crash_count = self._suspects.count_pauses(
            culprit, MIN_TRIAL_INTERVAL_MS
        )
        doublings = max(count, crash_count)
        return min(MAX_TRIAL_INTERVAL_MS, MIN_TRIAL_INTERVAL_MS * 2**doublings)

    def remove_expired(self):
        """Remove entries that are too old to count."""
        now = self._clock.now()
        for identity, cut_off in list(self._cut_off.items()):
            if all(now - at >= DOWN_WINDOW_MS for at, _ in cut_off.values()):
                del self._cut_off[identity]
        self._down = {
            identity: at
            for identity, at in self._down.items()
            if now - at < DOWN_WINDOW_MS
        }
        for name, at in list(self._survived_at.items()):
            if now - at < crash_suspects.SURVIVAL_TTL_MS:
                break
            del self._survived_at[name]
        self._suspects.remove_expired(now)
        culprits = self._suspects.list_culprits()
        for known in (self._trials, self._failed_trials):
            for name in known.keys() - culprits.keys():
                del known[name]

    def dump(self):
        """Return the culprits and how long ago each last crashed a target."""
        now = self._clock.now()
        return {
            culprit: {'crashed_ms_ago': now - crashed_at}
            for culprit, crashed_at in self._suspects.list_culprits().items()
        }


def _is_due(quiet_ms, interval_ms, turn):
    """Return whether a trial is due at a router that has this turn.

    The first router tries whenever it is time, each other one only while it
    has its turn: else all would try after a long time without trials.
    """
    turns_past = quiet_ms // interval_ms - 1
    return turns_past >= 0 and turn in (0, turns_past)


def run_expiry(poison_detector):
    """Remove expired entries at intervals; never returns."""
    while True:
        gevent.sleep(EXPIRE_INTERVAL_S)
        poison_detector.remove_expired()
