"""Requests that crash the targets that run them.

All requests that were cut off when a target went down are suspects of that
crash.  One that is a suspect of several crashes, and was never answered in
between, is refused from then on.  Routers tell each other of their suspects
through the store, in one object each that is replaced with every crash.

Example::

    poison = Containment(clock)
    poison.cut_off('3f9a', ('i-7f', 1))
    poison.went_down(('i-7f', 1))     # {'3f9a'}: new suspects
    poison.refused('3f9a')            # False: one crash only
"""

import collections
import hashlib
import random

import gevent
import msgspec

from galenaspoke.store import base

KIND = 'suspects'
# A suspect of so many crashes is refused.
MOST_CRASHES = 2
# So long after a request was cut off its target must be found down.
DOWN_WITHIN_MS = 6_000
# Crashes are forgotten after this time.
MEMORY_MS = 60_000
MOST_PUBLISHED = 200
PUBLISH_S = 0.05
FORGET_S = 10


class Suspicion(msgspec.Struct, frozen=True):
    """One request that was cut off by one crash."""

    request: str
    target: tuple[str, int]


def compute_fingerprint(req, account):
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), req.method, req.url, bytes(req.body)):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return digest.hexdigest()


class PoisonDetector:
    """Suspects, and the crashes that they are suspects of."""

    __slots__ = ('fresh', '_clock', '_cut_off', '_crashes')

    def __init__(self, clock):
        # What this router found and hasn't published.
        self.fresh = collections.deque(maxlen=MOST_PUBLISHED)
        self._clock = clock
        # By target, the requests that it cut off, and when.
        self._cut_off = collections.defaultdict(dict)
        # By request, the targets that went down with it, and when.
        self._crashes = collections.defaultdict(dict)

    def record_cut_off(self, request, target):
        """Note that a target broke off a request."""
        self._cut_off[target][request] = self._clock.now()

    def record_target_down(self, target):
        """Note that a target went down; return its new suspects."""
        now = self._clock.now()
        cut_off = self._cut_off.pop(target, {})
        suspects = {
            request
            for request, at in cut_off.items()
            if now - at < DOWN_WITHIN_MS
        }
        for request in suspects:
            self._crashes[request][target] = now
            self.fresh.append(Suspicion(request, target))
        return suspects

    def heard(self, suspicion):
        """Take what another router found."""
        now = self._clock.now()
        self._crashes[suspicion.request][tuple(suspicion.target)] = now

    def has_suspects(self):
        """Tell whether there is any suspect to compare a request with."""
        return bool(self._crashes)

    def record_completed(self, request):
        """Note that a request was run to its end: it is no suspect."""
        self._crashes.pop(request, None)

    def refused(self, request):
        """Tell whether a request may reach no further target."""
        crashes = self._crashes.get(request)
        if crashes is None:
            return False
        now = self._clock.now()
        recent = sum(now - at < MEMORY_MS for at in crashes.values())
        return recent >= MOST_CRASHES

    def forget_old(self):
        """Drop what is too old to matter."""
        now = self._clock.now()
        for known, life_ms in (
            (self._cut_off, DOWN_WITHIN_MS),
            (self._crashes, MEMORY_MS),
        ):
            for name in list(known):
                if all(now - at >= life_ms for at in known[name].values()):
                    del known[name]


def run_publisher(name, client, poison_detector, journal):
    """Write what is fresh into this router's object, for good."""
    key = f'{KIND}/{name}'
    recent = collections.deque(maxlen=MOST_PUBLISHED)
    while True:
        gevent.sleep(PUBLISH_S)
        if not poison_detector.fresh:
            continue
        recent.extend(poison_detector.fresh)
        poison_detector.fresh.clear()
        try:
            item = client.get(key)
            client.put(key, item.version, msgspec.json.encode(list(recent)))
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('suspects.unpublished', why=str(exc))
            poison_detector.fresh.extend(recent)
            gevent.sleep(random.uniform(0.5, 1.0))


def run_expiry(poison_detector):
    """Drop what is too old now and then, for good."""
    while True:
        gevent.sleep(FORGET_S)
        poison_detector.forget_old()


def merge_suspects(poison_detector, item):
    """Take what another router published."""
    try:
        found = msgspec.json.decode(item.value, type=list[Suspicion])
    except msgspec.DecodeError:
        return
    for suspicion in found:
        poison_detector.heard(suspicion)
