"""Which requests, and which parts of prompts, crash the targets that run them.

A crash has suspects: the keys of the requests that the target had begun to run
when it went down.  A key stands for one request, however often it is sent, or
for one part of prompts, whatever else these hold.  A key becomes a culprit
once it is a suspect of several crashes and no target survived a request with
it in between.  A crash has one culprit: keys that are only suspects of crashes
that a culprit explains already are not suspected for these.

A culprit crashes every target that runs it.  What most requests share is a
suspect of every crash, whatever its cause, but targets survive it all the
while.  So a key that targets survived shortly before its last crash takes more
crashes, further apart: it is a culprit only if something has changed.

A part of prompts has contrast if a target of the same service survived a
request without it between two of its crashes.  Without that nothing tells the
part from trouble that all targets of the service have, so its crashes must go
on for longer.

Example::

    suspects = CrashSuspects()
    part = Key('part:5c1e', rank=1)
    for number in range(3):
        suspects.add(part, (f'i-{number}', 1), at=1_000 * number)
    suspects.find_culprit([part.name])    # 'part:5c1e'
"""

import bisect
import collections
import dataclasses

# How many crashes make a request and a part a culprit.  A part takes more,
# because sound requests share it.
REQUEST_THRESHOLD = 2
PART_THRESHOLD = 3
# How many more it takes if targets survived the key, and for how long before
# the last crash that counts.
EXTRA_CRASHES = 2
SURVIVAL_TTL_MS = 60_000
# The crashes of a culprit lie within this time.
CRASH_WINDOW_MS = 60_000
# Crashes of a part that are closer together count as one, since a common cause
# is more likely.  Those of one request, which ran at one target after the
# other, count each.
SIMULTANEOUS_MS = 500
# The same for any key that targets survived shortly before.  More than the
# clocks of routers differ by and the time over which they notice a power cut.
SURVIVED_SIMULTANEOUS_MS = 2_000
# The crashes of a part without contrast go on for this long.  It leaves half
# of the StableWindowMs after the third crash to tell other routers.
CONTRASTLESS_SPAN_MS = 1_500
# A culprit that causes no further crash is forgotten after this time.
CULPRIT_TTL_MS = 1_800_000
# The rank of requests, above those of parts.
REQUEST_RANK = 1_000

_REQUEST_PREFIX = 'request:'
_PART_PREFIX = 'part:'


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """What a request has in common with others that may crash targets.

    Of several keys that explain the same crashes, the one of the highest
    `rank` is the culprit, since fewer requests have it: a whole request before
    a part, and a part before those that precede it in the prompt.
    """

    name: str
    rank: int


def make_keys(fingerprint, shared_part_ids):
    """Return the Keys of a request."""
    return [
        Key(_REQUEST_PREFIX + fingerprint, REQUEST_RANK),
        *(
            Key(_PART_PREFIX + part_id, rank)
            for rank, part_id in enumerate(shared_part_ids)
        ),
    ]


class CrashSuspects:
    """The suspects of recent crashes, and the culprits among them.

    A crash is named by the identity of the target's incarnation.  Times are in
    ms of the process's monotonic clock.
    """

    __slots__ = (
        '_crashes',
        '_cleared',
        '_ranks',
        '_survived',
        '_uncontrasted',
        '_contrasted',
        '_candidates',
        '_culprits',
    )

    def __init__(self):
        # Name of a key to the crashes of which it is a suspect, each with the
        # time.
        self._crashes = collections.defaultdict(dict)
        # Name of a key to the crashes of which it was cleared.
        self._cleared = collections.defaultdict(dict)
        self._ranks = {}
        # Name of a key to when targets last survived it, as far as it was
        # known when one of these crashes was added.
        self._survived = {}
        # Service to the names of the parts without which no request has
        # survived there since their first crash.
        self._uncontrasted = collections.defaultdict(set)
        # The names of the parts that have contrast.
        self._contrasted = set()
        # The names of the keys that are suspects of enough crashes.  All
        # others, after a crash of many targets almost all, can't be culprits.
        self._candidates = set()
        # The names of the culprits, None if they have to be found again.
        self._culprits = None

    def __bool__(self):
        return bool(self._crashes)

    def add(
        self,
        key,
        identity,
        at,
        survived_at=None,
        service='',
        has_contrast=False,
    ):
        """Add a suspect, unless it was cleared of that crash.

        `survived_at` is when targets last survived the key, None if unknown.
        `service` is the target's, and `has_contrast` says whether another
        router has found that the part has contrast.
        """
        if identity in self._cleared.get(key.name, ()):
            return
        crashes = self._crashes[key.name]
        is_news = self._record_survival(key.name, survived_at)
        if self._record_crash(key.name, identity, service, has_contrast):
            is_news = True
        if crashes.get(identity, at + 1) <= at and not is_news:
            return
        crashes[identity] = min(at, crashes.get(identity, at))
        self._ranks[key.name] = key.rank
        if is_news:
            self._drop_candidate(key.name)
        if len(crashes) >= self._threshold(key.name):
            self._candidates.add(key.name)
            self._culprits = None

    def _record_survival(self, name, at):
        """Return whether that a key was survived at a time is news."""
        known_at = self._survived.get(name)
        if at is None or (known_at is not None and known_at >= at):
            return False
        self._survived[name] = at
        return True

    def _record_crash(self, name, identity, service, has_contrast):
        """Return whether that a part has contrast is news."""
        if not is_part(name):
            return False
        crashes = self._crashes[name]
        if not crashes:
            self._uncontrasted[service].add(name)
        elif identity not in crashes and not self._lacks_contrast(name):
            has_contrast = True
        if not has_contrast or name in self._contrasted:
            return False
        self._contrasted.add(name)
        return True

    def _lacks_contrast(self, name):
        """Return whether all that survived since its crash had a part."""
        return any(name in names for names in self._uncontrasted.values())

    def record_contrast(self, names, service):
        """Record that a target of a service survived a request.

        It had the keys with these names alone.
        """
        uncontrasted = self._uncontrasted.get(service)
        if uncontrasted:
            uncontrasted.intersection_update(names)

    def has_contrast(self, name):
        """Return whether a part has contrast, False for a request."""
        return name in self._contrasted

    def clear(self, name):
        """Clear a key of all its crashes; return these.

        A target has survived a request with it.
        """
        crashes = self._crashes.pop(name, None)
        if not crashes:
            return []
        self._cleared[name].update(crashes)
        self._forget(name)
        self._drop_candidate(name)
        return list(crashes)

    def list_cleared(self, name):
        """Return the crashes of which a key was cleared."""
        return list(self._cleared.get(name, ()))

    def clear_crash(self, name, identity, at):
        """Clear a key of one crash."""
        self._cleared[name][identity] = at
        crashes = self._crashes.get(name, {})
        if crashes.pop(identity, None) is None:
            return
        if name in self._candidates:
            self._culprits = None
        if len(crashes) < self._threshold(name):
            self._drop_candidate(name)
        if not crashes:
            del self._crashes[name]
            self._forget(name)

    def _forget(self, name):
        """Forget what was known of a key beside its crashes."""
        self._survived.pop(name, None)
        self._contrasted.discard(name)
        for names in self._uncontrasted.values():
            names.discard(name)

    def _drop_candidate(self, name):
        if name in self._candidates:
            self._candidates.remove(name)
            self._culprits = None

    def find_culprit(self, names):
        """Return the first of the keys with these names that is a culprit.

        Returns None if there is none.
        """
        culprits = self.list_culprits()
        return next((name for name in names if name in culprits), None)

    def list_culprits(self):
        """Return the culprits' names, each with the time of its last crash."""
        if self._culprits is None:
            self._culprits = self._find_culprits()
        return self._culprits

    def count_pauses(self, name, min_ms):
        """Return how many crashes of a key came `min_ms` after the one before.

        Of a culprit each of them was a trial.
        """
        times = sorted(self._crashes[name].values())
        return sum(
            at - before >= min_ms
            for before, at in zip(times, times[1:], strict=False)
        )

    def _find_culprits(self):
        """Choose the key that explains most crashes, until none is left."""
        culprits = {}
        unexplained = {
            name: dict(self._crashes[name]) for name in self._candidates
        }
        while True:
            counts = {
                name: _count_crashes(
                    crashes, self._min_gap_ms(name), self._min_span_ms(name)
                )
                for name, crashes in unexplained.items()
            }
            candidates = [
                name
                for name, count in counts.items()
                if count >= self._threshold(name)
            ]
            if not candidates:
                return culprits
            culprit = max(
                candidates,
                key=lambda name: (counts[name], self._ranks[name], name),
            )
            explained = unexplained.pop(culprit)
            culprits[culprit] = max(explained.values())
            for crashes in unexplained.values():
                for identity in explained:
                    crashes.pop(identity, None)

    def remove_expired(self, now):
        """Remove crashes that are too long ago to count."""
        culprits = self.list_culprits()
        for name, crashes in list(self._crashes.items()):
            ttl_ms = CULPRIT_TTL_MS if name in culprits else CRASH_WINDOW_MS
            if now - max(crashes.values()) >= ttl_ms:
                del self._crashes[name]
                self._forget(name)
                self._drop_candidate(name)
        for name, crashes in list(self._cleared.items()):
            if now - max(crashes.values()) >= CULPRIT_TTL_MS:
                del self._cleared[name]
        self._ranks = {name: self._ranks[name] for name in self._crashes}
        for service, names in list(self._uncontrasted.items()):
            if not names:
                del self._uncontrasted[service]

    def _threshold(self, name):
        """Return how many crashes make a key a culprit."""
        threshold = PART_THRESHOLD if is_part(name) else REQUEST_THRESHOLD
        return threshold + (EXTRA_CRASHES if self._is_survived(name) else 0)

    def _is_survived(self, name):
        """Return whether targets survived a key before its last crash.

        That counts if it was shortly before.
        """
        survived_at = self._survived.get(name)
        crashes = self._crashes.get(name)
        if survived_at is None or not crashes:
            return False
        return max(crashes.values()) - survived_at < SURVIVAL_TTL_MS

    def _min_gap_ms(self, name):
        """Return how far apart crashes of a key are that count each."""
        if self._is_survived(name):
            return SURVIVED_SIMULTANEOUS_MS
        return SIMULTANEOUS_MS if is_part(name) else 0

    def _min_span_ms(self, name):
        """Return for how long the crashes of a culprit go on."""
        if is_part(name) and not self.has_contrast(name):
            return CONTRASTLESS_SPAN_MS
        return 0


def is_part(name):
    """Return whether a key stands for a part of prompts."""
    return name.startswith(_PART_PREFIX)


def _count_crashes(crashes, min_gap_ms, min_span_ms):
    """Return the most separate crashes of a key within CRASH_WINDOW_MS.

    `crashes` gives the time of each.  From the first to the last of them it
    takes `min_span_ms`.
    """
    times = []
    for at in sorted(crashes.values()):
        if not times or at - times[-1] >= min_gap_ms:
            times.append(at)
    counts = [0]
    for index, at in enumerate(times):
        end = bisect.bisect_left(times, at + CRASH_WINDOW_MS)
        if times[end - 1] - at >= min_span_ms:
            counts.append(end - index)
    return max(counts)
