"""Routers share the suspects of crashes through the store.

Each router has one object, which it writes anew after each crash.  A process
takes over what the object of its instance says, so a restart of all routers
loses nothing.

Example::

    gevent.spawn(
        run_publisher, 'front-a-1', store, eras, detector, journal, clock
    )
    merge_suspects(detector, item)
"""

import random

import gevent
import msgspec

from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.edge.crashes import poison
from galenaspoke.store import base
from galenaspoke.utils import decoding

# The kind of the store objects in which routers publish their suspects.
KIND = 'suspects'
PUBLISH_INTERVAL_S = 0.05
# After a failed write.
RETRY_INTERVAL_S = (0.5, 1.0)
# In how many earlier eras a process looks for the object of its instance.
MAX_ERAS_SEARCHED = 2


def run_publisher(name, store, eras, poison_detector, journal, clock):
    """Publish new suspects in this router's store object; never returns.

    `name` is the router's name; `store` holds the object, which is written
    again in each era of the store; `eras` are its Eras.
    """
    # By key and crash, the latest last.
    published = _take_over(name, store, eras, poison_detector, journal)
    # The era in which all of `published` was published, None if it was not.
    published_era = None
    while True:
        gevent.sleep(PUBLISH_INTERVAL_S)
        if poison_detector.unpublished:
            _add(published, poison_detector.unpublished)
            poison_detector.unpublished.clear()
            published_era = None
        if not published or published_era == store.era:
            continue
        era = store.era
        try:
            key = f'{store.scope(KIND)}/{name}'
            culprits = poison_detector.list_culprits()
            _publish(key, store, published, culprits, clock)
            published_era = era
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('suspects.unpublished', why=str(exc))
            gevent.sleep(random.uniform(*RETRY_INTERVAL_S))


def _take_over(name, store, eras, poison_detector, journal):
    """Return what the instance published in earlier eras, by key and crash.

    The detector learns it, too.
    """
    while True:
        try:
            # The response tells the present era.
            store.list(base.ERAS_KIND)
            items = _read_earlier(name, store, eras) if store.has_eras else []
            break
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('suspects.unread', why=str(exc))
            gevent.sleep(random.uniform(*RETRY_INTERVAL_S))
    published = {}
    for item in items:
        merge_suspects(poison_detector, item)
        _add(published, _decode(item))
    return published


def _read_earlier(name, store, eras):
    """Return the instance's objects of earlier eras, the earliest first."""
    earlier = eras.list_earlier()[:MAX_ERAS_SEARCHED]
    return [
        store.get(f'{store.scope(KIND, era)}/{name}')
        for era in reversed(earlier)
    ]


def _publish(key, store, published, culprits, clock):
    """Write the object, with what it says already and `published`.

    `published` then holds all of that.  Suspects that are among `culprits`
    are kept longest.
    """
    item = store.get(key)
    added = dict(published)
    published.clear()
    _add(published, _decode(item))
    _add(published, added.values())
    _remove_expired(published, clock.wall())
    _remove_excess(published, culprits)
    value = msgspec.json.encode(list(published.values()))
    store.put(item.key, item.version, value)


def _add(published, suspects):
    for suspect in suspects:
        published.pop((suspect.request, suspect.target), None)
        published[suspect.request, suspect.target] = suspect


def _remove_expired(published, wall_ms):
    for key, suspect in list(published.items()):
        if wall_ms - suspect.at_ms >= crash_suspects.CULPRIT_TTL_MS:
            del published[key]


def _remove_excess(published, culprits):
    excess = max(0, len(published) - poison.MAX_PUBLISHED)
    # Sorting keeps the order of the others, the oldest first.
    keys = sorted(published, key=lambda key: key[0] in culprits)
    for key in keys[:excess]:
        del published[key]


def merge_suspects(poison_detector, item):
    """Add the suspects that a router published in `item`.

    An item that can't be decoded is ignored.  Returns whether it can.
    """
    suspects = _decode(item, None)
    for suspect in suspects or ():
        poison_detector.add_published(suspect)
    return suspects is not None


def _decode(item, default=()):
    """Return the suspects in an item, `default` if they can't be decoded."""
    if not item.value:
        return []
    try:
        return decoding.decode_json(item.value, list[poison.Suspect])
    except decoding.Unreadable:
        return default
