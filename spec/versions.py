"""The record of the software versions at which streams may have begun.

One router begins a stream and dies.  A caller resumes it at another router,
which nobody told of it and which therefore goes by the record in the store:
if that holds a single version, the stream goes on there.  Meanwhile version 1
ends and may come back, version 2 appears, and a third router removes version 1
from the record once it has been gone for long.

Safety: the stream goes on at the version that began it.
"""

import collections

from spec import protocols

GUARDS = (
    # A version is used only once it is in the record.
    'record_first',
    # A version that has come back is recorded again before it is used.
    'record_again',
    # A version is removed only if it has not come back since it was missed.
    'count',
    # The record is read after the request has come.
    'fresh_read',
)
MAX_COUNT = 3

# `present1` and `present2` say whether a version has targets, `record1` and
# `record2` how often it has appeared by the record (0: it isn't in it).
# `usable1` and `usable2` say whether the first router begins streams at it,
# and `missed` what `record1` was when that router noticed that version 1 had
# ended.  `noticed` is the same for the third router, 0 if it hasn't, and
# `waited` says that it has waited for long.  `cached1` and `cached2` are what
# the second router has read.  `began` and `taken` are the versions at which
# the stream began and was resumed, 0 for none.
State = collections.namedtuple(
    'State',
    'present1 present2 record1 record2 usable1 usable2 missed noticed waited '
    'cached1 cached2 began taken',
)
INITIAL = State(1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""

    def steps_from(s):
        return [
            *_target_steps(s),
            *_first_router_steps(s, guards),
            *_third_router_steps(s, guards),
            *_stream_steps(s, guards),
        ]

    return protocols.build(
        'versions',
        INITIAL,
        steps_from,
        {'one_version': lambda s: s['taken'] in (0, s['began'])},
    )


def _target_steps(s):
    """Version 2 appears; version 1 ends and comes back."""
    steps = []
    if not s.present2:
        steps.append(('version 2 appears', s._replace(present2=1)))
    if s.present1:
        steps.append(('version 1 ends', s._replace(present1=0)))
    elif s.record1 < MAX_COUNT:
        steps.append(('version 1 comes back', s._replace(present1=1)))
    return steps


def _first_router_steps(s, guards):
    """The first router notices what comes and ends, and records it."""
    steps = []
    if s.present2 and not s.usable2:
        new = s._replace(usable2=1, record2=1)
        steps.append(('version 2 is recorded', new))
        if 'record_first' not in guards:
            steps.append(('version 2 is used', s._replace(usable2=1)))
    if not s.present1 and s.usable1:
        new = s._replace(usable1=0, missed=s.record1)
        steps.append(('the first router misses 1', new))
    if s.present1 and not s.usable1:
        count = max(s.record1, min(MAX_COUNT, s.missed + 1))
        new = s._replace(usable1=1, record1=count)
        steps.append(('version 1 is recorded again', new))
        if 'record_again' not in guards:
            steps.append(('version 1 is used again', s._replace(usable1=1)))
    return steps


def _third_router_steps(s, guards):
    """The third router removes version 1; its view may lag behind."""
    steps = []
    if not s.present1 and s.record1 and not s.noticed:
        new = s._replace(noticed=s.record1)
        steps.append(('the third router misses 1', new))
    # The wait outlasts streams of version 1, and routers slow to notice.
    is_over = s.began != 1 and not s.usable1
    if s.noticed and not s.waited and is_over:
        steps.append(('the third router has waited', s._replace(waited=1)))
    is_allowed = 'count' not in guards or s.record1 == s.noticed
    if s.waited and is_allowed:
        new = s._replace(record1=0, noticed=0, waited=0)
        steps.append(('version 1 is removed', new))
    return steps


def _stream_steps(s, guards):
    """The stream begins, and is resumed by what the record says."""
    steps = []
    if not s.began:
        for version in (1, 2):
            if getattr(s, f'usable{version}'):
                new = s._replace(began=version)
                steps.append((f'the stream begins at {version}', new))
    new = s._replace(cached1=min(1, s.record1), cached2=min(1, s.record2))
    steps.append(('the second router reads', new))
    if s.began and not s.taken:
        read = new if 'fresh_read' in guards else s
        for version, other in ((1, 2), (2, 1)):
            is_recorded = getattr(read, f'cached{version}')
            if is_recorded and not getattr(read, f'cached{other}'):
                steps.append(
                    (f'it goes on at {version}', s._replace(taken=version))
                )
    return steps
