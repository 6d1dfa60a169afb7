"""Decides at which software version a stream that is resumed may go on.

What two versions of a target's software write doesn't fit together, and
targets don't check it.  So a stream goes on only at the version that began it:

- the one that this router or another one remembers, see `version_notes`;
- else the only one that the store has on record for the service, unless an
  earlier record was lost;
- else the one at which streams with its key have begun by all plans that the
  store still has, see `version_plans`;
- else the one that a page in the store states, see `origin_pages`;
- else none: the request is refused.

A caller may not name the request that it resumes.  Then its stream is one of
those with the same content, and their origins must agree.  A router that is
cut off may know of some of them only.  So what is remembered of the content
counts alone if a router has answered that knows of all, and with what the
record and the pages state if any has; else the record decides.  A router that
is cut off may also have begun the stream by a plan that others have left, and
nobody knows of it.

Example::

    refusal = resumption.resolve(context)
    context.stream_version     # 'v1', if there is no refusal
"""

import dataclasses
import uuid

import gevent

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_plans

# How long a new stream waits for a plan with targets: a version's last targets
# may have begun to leave a moment ago.
PLAN_WAIT_MS = 500
PLAN_POLL_INTERVAL_S = 0.05
# How much later than this router others may learn of a configuration.
CONFIG_LAG_MS = 120_000


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """The Origin of a stream and where it was found.

    `origin` is None if it isn't certain; then `source` says why not.
    """

    origin: stream_versions.Origin | None
    source: str


class Resumption:
    """Finds the versions of streams that callers resume.

    `record` is the VersionRecord, `streams` the StreamVersions, `notes` the
    VersionNotes, `pages` the OriginPages and `directory` the Directory of the
    targets.
    """

    __slots__ = (
        '_record',
        '_streams',
        '_notes',
        '_pages',
        '_directory',
        '_clock',
        '_journal',
    )

    def __init__(
        self, record, streams, notes, pages, directory, clock, journal
    ):
        self._record = record
        self._streams = streams
        self._notes = notes
        self._pages = pages
        self._directory = directory
        self._clock = clock
        self._journal = journal

    def record_begin(self, context, target):
        """Remember the version of a stream whose first event goes out."""
        if _is_resumable(context):
            origin = stream_versions.Origin(
                context.service, target.entry.version
            )
            # A request without an id is found by its content alone.
            request_id = context.metadata.request_id or uuid.uuid4().hex
            key = stream_versions.make_key(context, request_id)
            self._notes.add_begun(key, origin)

    def resolve(self, context):
        """Set the version at which a stream goes on, if it is resumed.

        Returns a Refusal if the version isn't known, else None.  A new stream
        waits a moment if there are no targets at which it may begin.
        """
        if context.route.kind is not catalog.RequestKind.STREAM:
            return None
        if not context.metadata.is_resumption():
            self._await_targets(context)
            return None
        key = stream_versions.make_key(context, context.metadata.resumed_id)
        found = self._find_origin(context, key)
        origin = found.origin
        self._journal.note(
            'stream.resumed',
            id=context.metadata.request_id,
            resumed_id=context.metadata.resumed_id,
            version=origin and origin.version,
            source=found.source,
        )
        if origin is None or origin.service != context.service:
            return outcomes.Refusal(
                503,
                outcomes.Reason.VERSION_UNKNOWN,
                'the version that began the stream is unknown',
                outcomes.random_delay_ms(outcomes.RETRY_AFTER_MS),
            )
        if key.request and found.source != 'own':
            self._notes.add(key, origin)
        context.stream_version = origin.version
        return None

    def _await_targets(self, context):
        """Wait while the plan names a version whose targets have just left."""
        until = self._clock.now() + PLAN_WAIT_MS
        while self._has_outdated_plan(context) and self._clock.now() < until:
            gevent.sleep(PLAN_POLL_INTERVAL_S)

    def _has_outdated_plan(self, context):
        """Return whether there are targets, but none that the plan names."""
        versions = self.list_versions(context)
        if versions is None:
            return False
        accepting = self._directory.list_accepting(context.service)
        return bool(accepting) and not any(
            target.entry.version in versions for target in accepting
        )

    def list_versions(self, context):
        """Return the versions at which a request may run, None for all.

        A stream that has begun goes on at the version that began it, and one
        that may be resumed begins only at a version that is on record.
        """
        if context.stream_version is not None:
            return {context.stream_version}
        if not _is_resumable(context):
            return None
        usable = self._record.list_usable(context.service)
        plan = self._record.get_plan(context.service)
        if plan is None:
            return usable
        return usable & {
            version_plans.choose_version(plan, _plan_key(context))
        }

    def _find_origin(self, context, key):
        """Return what is Found of the stream with a StreamKey."""
        if not key.request:
            return self._find_by_content(context, key)
        origins = self._streams.find(key)
        if origins:
            return _choose(origins, 'own')
        origins = self._notes.ask(key).origins
        if origins:
            return _choose(origins, 'noted')
        found = self._find_recorded(context)
        if found.origin is not None:
            return found
        origins = self._pages.find(key)
        return _choose(origins, 'page') if origins else found

    def _find_by_content(self, context, key):
        """Return what is Found of a stream whose request isn't named."""
        origins = self._streams.find(key)
        source = 'own' if origins else 'noted'
        told = self._notes.ask(key)
        origins |= told.origins
        if origins:
            origins |= self._list_untold(context)
        if origins and told.is_complete:
            return _choose(origins, source)
        found = self._find_recorded(context)
        if found.origin is not None:
            return _choose(origins | {found.origin}, found.source)
        if not told.is_heard:
            return Found(None, f'{found.source}, and no answer')
        stated = self._pages.find(key)
        if stated:
            return _choose(origins | stated, 'page')
        return _choose(origins, source) if origins else found

    def _list_untold(self, context):
        """Return at which Origins an unheard router may begin a stream."""
        versions = self._record.list_open_versions(
            context.service, _plan_key(context)
        )
        return {
            stream_versions.Origin(context.service, version)
            for version in versions
        }

    def _find_recorded(self, context):
        """Return what is Found by the record of the service's versions."""
        record = self._record.read(context.service)
        if record is None:
            return Found(None, 'unknown: no record')
        if self._may_have_moved(context):
            return Found(None, 'unknown: the route may have moved')
        version = self._record.find_version(record, _plan_key(context))
        if version is None:
            return Found(None, f'unknown: {len(record.plans)} plans')
        is_only = len(record.appearances) == 1
        return Found(
            stream_versions.Origin(context.service, version),
            'only version' if is_only else 'plan',
        )

    def _may_have_moved(self, context):
        """Return whether a stream may have begun at another service."""
        began_at = context.arrived_at - stream_versions.MAX_STREAM_AGE_MS
        return any(
            service != context.service and until + CONFIG_LAG_MS >= began_at
            for service, until in context.earlier_services
        )


def _choose(origins, source):
    """Return what is Found if a stream has one of these Origins."""
    if len(origins) > 1:
        return Found(None, 'unknown: several streams have its content')
    return Found(next(iter(origins)), source)


def _plan_key(context):
    """Return the key by which plans choose a stream's version."""
    return version_plans.make_key(
        context.service, context.metadata, context.req
    )


def _is_resumable(context):
    """Return whether the caller may resume the response as a stream."""
    is_stream = context.route.kind is catalog.RequestKind.STREAM
    return is_stream and context.route.resumable


def is_bound_to_version(context):
    """Return whether the version that serves a request must be certain.

    That is so for a stream that goes on, and for one that may be resumed.
    """
    return context.stream_version is not None or _is_resumable(context)
