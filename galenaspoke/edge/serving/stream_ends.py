"""Proofs that a stream without a length has ended.

A target that lives may close such a stream early, as one that is emptied or
reaches the end of its grace does.  That it lives and doesn't work on the
request any more is no proof then.

Example::

    run = stream_ends.Run()
    run.record(events)
    stream_ends.find_proof(cfg, context, target, run)    # Proof.MOST
"""

from galenaspoke.edge import outcomes


class Run:
    """What one target has sent of a stream.

    `has_events` is true once a whole event has come, `has_pieces` once one
    has that clients see.
    """

    __slots__ = ('has_events', 'has_pieces')

    def __init__(self):
        self.has_events = False
        self.has_pieces = False

    def record(self, events):
        """Record the next events."""
        self.has_events = self.has_events or bool(events)
        self.has_pieces = self.has_pieces or any(
            event.has_data() for event in events
        )


def find_proof(cfg, context, target, run):
    """Return the Proof that a stream has ended, None if there is none.

    `target` has closed it, lives and doesn't work on the request any more.
    """
    if _has_most(context):
        return outcomes.Proof.MOST
    if _is_confirmation(context, target, run):
        return outcomes.Proof.SECOND_RUN
    if cfg.accept_closed_streams:
        return outcomes.Proof.ALIVE
    return None


def _is_confirmation(context, target, run):
    """Return whether a run shows that nothing comes after the last event.

    A target that leaves closes streams early, and none confirms its own end.
    One that sends events again may have stopped among those.
    """
    source_id = context.last_source_id
    is_other = bool(source_id) and source_id != target.entry.id
    is_leaving = target.entry.leaving or target.is_removed
    return is_other and not is_leaving and not run.has_pieces


def _has_most(context):
    """Return whether all output that the request allows has come.

    How many events came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    tokens = context.piece_count * context.event_tokens
    return tokens >= metadata.output_tokens
