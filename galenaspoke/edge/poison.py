"""Detection of poison requests, which crash the targets that run them.

Every request that was cut off when a target went down is a suspect of that
crash.  A request that is a suspect of several crashes, and never ran to its
end in between, is refused from then on.  Routers share their suspects through
the store: each router publishes one object, replaced with every crash.

Example::

    detector = PoisonDetector(clock, journal)
    detector.record_cut_off('3f9a', ('i-7f', 1))
    detector.record_target_down(('i-7f', 1))     # {'3f9a'}: new suspects
    detector.is_poison('3f9a')                   # False: one crash only
"""

import collections
import hashlib
import random

import gevent
import msgspec

from galenaspoke.store import base

# The kind of the store objects in which routers publish their suspects.
KIND = 'suspects'
# A request that is a suspect of this many crashes is refused.
CRASH_THRESHOLD = 2
# A request is a suspect only if its target is found down within this time
# after the request was cut off.
DOWN_WINDOW_MS = 6_000
# A crash no longer counts after this time.
CRASH_TTL_MS = 60_000
# A router publishes at most this many suspects, the latest.
MAX_PUBLISHED = 200
PUBLISH_INTERVAL_S = 0.05
EXPIRE_INTERVAL_S = 10


class Suspect(msgspec.Struct, frozen=True):
    """A request that was cut off by one crash of a target.

    `request` is its fingerprint, `target` the target's id and incarnation.
    """

    request: str
    target: tuple[str, int]


def compute_fingerprint(req, account):
    """Return a digest that stays the same when a caller retries a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), req.method, req.url, bytes(req.body)):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()


class PoisonDetector:
    """Records the crashes of targets and the suspects of each crash.

    `fingerprint` identifies a request, `identity` a target by its id and
    incarnation.
    """

    __slots__ = ('unpublished', '_clock', '_journal', '_cut_off', '_crashes')

    def __init__(self, clock, journal):
        # Suspects that this router found and has not yet published.
        self.unpublished = collections.deque(maxlen=MAX_PUBLISHED)
        self._clock = clock
        self._journal = journal
        # Target to the fingerprints of the requests that it cut off, each with
        # the time.
        self._cut_off = collections.defaultdict(dict)
        # Fingerprint to the targets that the request may have crashed, each
        # with the time.
        self._crashes = collections.defaultdict(dict)

    def record_cut_off(self, fingerprint, identity):
        """Record that a target broke off a request."""
        self._cut_off[identity][fingerprint] = self._clock.now()

    def record_target_down(self, identity):
        """Record that a target went down; return the new suspects."""
        now = self._clock.now()
        cut_off = self._cut_off.pop(identity, {})
        suspects = {
            fingerprint
            for fingerprint, at in cut_off.items()
            if now - at < DOWN_WINDOW_MS
        }
        for fingerprint in suspects:
            self._crashes[fingerprint][identity] = now
            self.unpublished.append(Suspect(fingerprint, identity))
        if suspects:
            self._journal.note(
                'target.crashed',
                target=identity[0],
                born=identity[1],
                suspects=len(suspects),
            )
        return suspects

    def add_published(self, suspect):
        """Add a suspect that another router published."""
        now = self._clock.now()
        self._crashes[suspect.request][tuple(suspect.target)] = now

    def has_suspects(self):
        """Return whether any request is a suspect.

        If not, a request's fingerprint need not be computed.
        """
        return bool(self._crashes)

    def record_completed(self, fingerprint):
        """Clear a request that ran to its end: it is no suspect."""
        self._crashes.pop(fingerprint, None)

    def is_poison(self, fingerprint):
        """Return whether a request must not be sent to any more targets."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return False
        now = self._clock.now()
        recent = sum(now - at < CRASH_TTL_MS for at in crashes.values())
        return recent >= CRASH_THRESHOLD

    def remove_expired(self):
        """Remove entries that are too old to count."""
        now = self._clock.now()
        for entries, ttl_ms in (
            (self._cut_off, DOWN_WINDOW_MS),
            (self._crashes, CRASH_TTL_MS),
        ):
            for key in list(entries):
                if all(now - at >= ttl_ms for at in entries[key].values()):
                    del entries[key]


def run_publisher(name, store, poison_detector, journal):
    """Publish new suspects in this router's store object; never returns.

    `name` is the router's name; `store` holds the object, which is written
    again in each era of the store.
    """
    recent = collections.deque(maxlen=MAX_PUBLISHED)
    # The era in which all of `recent` was published, None if it was not.
    published_era = store.era
    while True:
        gevent.sleep(PUBLISH_INTERVAL_S)
        if poison_detector.unpublished:
            recent.extend(poison_detector.unpublished)
            poison_detector.unpublished.clear()
            published_era = None
        if not recent or published_era == store.era:
            continue
        era = store.era
        try:
            item = store.get(f'{store.scope(KIND)}/{name}')
            store.put(
                item.key, item.version, msgspec.json.encode(list(recent))
            )
            published_era = era
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('suspects.unpublished', why=str(exc))
            gevent.sleep(random.uniform(0.5, 1.0))


def run_expiry(poison_detector):
    """Remove expired entries at intervals; never returns."""
    while True:
        gevent.sleep(EXPIRE_INTERVAL_S)
        poison_detector.remove_expired()


def merge_suspects(poison_detector, item):
    """Add the suspects that another router published in `item`.

    An item that can't be decoded is ignored.
    """
    try:
        suspects = msgspec.json.decode(item.value, type=list[Suspect])
    except msgspec.DecodeError:
        return
    for suspect in suspects:
        poison_detector.add_published(suspect)
