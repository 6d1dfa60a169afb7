"""Plans by which streams begin at one of several software versions.

Plans replace each other in the store's record, each for one key: the first and
the last name version 1, the one between version 2.  A router begins a stream
by the plan that it knows, which may have been replaced, and loses its memory.
A caller resumes the stream at another router, which knows the record alone,
and what the first router may have written of the stream before that.  The
record may be lost: the store comes back from a copy.

Safety: the stream goes on at the version that began it.
"""

import collections

from spec import protocols

GUARDS = (
    # A stream begins at the version that the plan names.
    'by_plan',
    # It goes on only if all plans that may have been in force agree.
    'agree',
    # A plan counts until the router has said that it follows a later one.
    'followed',
    # It counts until the streams that began by it have ended.
    'lasting',
    # What began before the record's history is uncertain.
    'complete',
    # A page states the version at which the stream began.
    'as_begun',
)
# The version that each plan names for the key.
VERSIONS = (1, 2, 1)

# `current` is the plan in force and `known` the one that the first router
# knows.  Plans from `oldest` on may have begun a stream that can be resumed,
# those from `first` on are on record.  `began_by` is the plan by which the
# stream began, -1 for none; `began`, `stated` and `taken` are its versions, 0
# for none.
State = collections.namedtuple(
    'State', 'current known oldest first began_by began stated taken'
)
INITIAL = State(0, 0, 0, 0, -1, 0, 0, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""

    def steps_from(s):
        return [
            *_plan_steps(s, guards),
            *_begin_steps(s, guards),
            *_resume_steps(s, guards),
        ]

    return protocols.build(
        'plans',
        INITIAL,
        steps_from,
        {'one_version': lambda s: s['taken'] in (0, s['began'])},
    )


def _plan_steps(s, guards):
    """A plan is replaced, read, or too old to count; the record is lost."""
    steps = []
    if s.current + 1 < len(VERSIONS):
        new = s._replace(current=s.current + 1)
        steps.append(('a plan is replaced', new))
    steps.append(('the first router reads', s._replace(known=s.current)))
    is_followed = s.known > s.oldest or 'followed' not in guards
    has_streams = 0 <= s.began_by <= s.oldest and 'lasting' in guards
    if s.oldest < s.current and is_followed and not has_streams:
        new = s._replace(oldest=s.oldest + 1)
        steps.append(('the oldest plan ends', new))
    if s.first < s.current:
        steps.append(('the record is lost', s._replace(first=s.current)))
    return steps


def _begin_steps(s, guards):
    """The first router begins the stream, and writes it to its page."""
    if s.began:
        return _write_steps(s, guards)
    allowed = {VERSIONS[s.known]} if 'by_plan' in guards else {1, 2}
    return [
        (
            f'the stream begins at {version}',
            s._replace(began=version, began_by=s.known),
        )
        for version in sorted(allowed)
    ]


def _write_steps(s, guards):
    """The first router states what began the stream, at any time."""
    if s.stated:
        return []
    version = s.began if 'as_begun' in guards else VERSIONS[s.current]
    return [(f'a page states {version}', s._replace(stated=version))]


def _resume_steps(s, guards):
    """The stream is resumed by what the record or the page says."""
    if not s.began or s.taken:
        return []
    by_record = _resume_by_record(s, guards)
    if by_record or not s.stated:
        return by_record
    return [(f'the page names {s.stated}', s._replace(taken=s.stated))]


def _resume_by_record(s, guards):
    """Return the steps that the plans on record allow."""
    if 'complete' in guards and s.first > s.oldest:
        return []
    numbers = range(max(s.oldest, s.first), s.current + 1)
    named = {VERSIONS[number] for number in numbers}
    if 'agree' not in guards:
        named = {VERSIONS[s.current]}
    if len(named) != 1:
        return []
    (version,) = named
    return [(f'it goes on at {version}', s._replace(taken=version))]
