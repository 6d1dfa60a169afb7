"""Decides at which software version a stream that is taken up may go on.

What two versions of a target's software write doesn't fit together, and
targets don't check it.  So a stream goes on only at the version that began it:

- the one that this router or another one remembers, see `version_notes`;
- else the only one that the service had while the stream may have begun, if
  the store confirms that this is all of them;
- else none: the request is refused.

Example::

    refusal = resumption.resolve(context)
    context.stream_version     # 'v1', if there is no refusal
"""

from galenaspoke.core import catalog
from galenaspoke.edge import admission
from galenaspoke.edge import outcomes
from galenaspoke.edge import stream_versions


class Resumption:
    """Finds the versions of streams that callers take up.

    `target_view` is the TargetView, `streams` the StreamVersions and `notes`
    the VersionNotes.
    """

    __slots__ = ('_target_view', '_streams', '_notes', '_clock', '_journal')

    def __init__(self, target_view, streams, notes, clock, journal):
        self._target_view = target_view
        self._streams = streams
        self._notes = notes
        self._clock = clock
        self._journal = journal

    def record_begin(self, context, target):
        """Remember the version of a stream whose first event goes out."""
        if context.route.is_repeatable():
            origin = stream_versions.Origin(
                context.service, target.entry.version
            )
            self._notes.add(context.metadata.request_id, origin)

    def resolve(self, context):
        """Set the version at which a stream goes on, if it is taken up.

        Returns a Refusal if the version isn't known, else None.
        """
        if context.route.kind is not catalog.RequestKind.STREAM:
            return None
        metadata = context.metadata
        if not metadata.resumed_id and not metadata.last_event_id:
            return None
        origin, source = self._find_origin(context)
        self._journal.note(
            'stream.taken_up',
            id=metadata.request_id,
            resumed_id=metadata.resumed_id,
            version=origin and origin.version,
            source=source,
        )
        if origin is None or origin.service != context.service:
            return outcomes.Refusal(
                503,
                outcomes.Reason.VERSION_UNKNOWN,
                'the version that began the stream is unknown',
                outcomes.random_delay_ms(admission.RETRY_AFTER_MS),
            )
        if metadata.resumed_id:
            self._streams.remember(metadata.resumed_id, origin)
        context.stream_version = origin.version
        return None

    def _find_origin(self, context):
        """Return the Origin of a stream or None, and how it was found."""
        resumed_id = context.metadata.resumed_id
        origin = self._streams.find(resumed_id)
        if origin is not None:
            return origin, 'own'
        findings = self._notes.ask(resumed_id, context.service)
        if findings.origin is not None:
            return findings.origin, 'noted'
        versions = self._list_possible(context, findings)
        if versions is not None and len(versions) == 1:
            (version,) = versions
            origin = stream_versions.Origin(context.service, version)
            return origin, 'only version'
        return None, 'unknown'

    def _list_possible(self, context, findings):
        """Return the versions that may have begun a stream, None if unknown.

        A router that has not been running for long relies on the others.
        """
        if not self._target_view.confirm():
            return None
        now = self._clock.now()
        versions = self._target_view.directory.versions
        present = versions.list_present(context.service)
        lately = versions.list_since(
            context.service, now - stream_versions.MAX_STREAM_AGE_MS
        )
        if lately is None and findings.versions is None:
            return None
        return present | (lately or set()) | (findings.versions or set())
