"""Proofs that a stream without a length has ended.

A target that lives may close such a stream early, as one that is emptied or
reaches the end of its grace does.  That it lives and doesn't work on the
request any more is no proof then.

Example::

    run = stream_ends.Run()
    run.record(events, undelivered)
    stream_ends.find_proof(cfg, context, target, run)    # Proof.MOST
"""

from galenaspoke.edge import outcomes


class Run:
    """What one target has sent of a stream.

    `has_events` is true once a whole event has come, `has_pieces` once one
    has that clients see, `has_new_pieces` once the caller lacked such a one.
    """

    __slots__ = ('has_events', 'has_pieces', 'has_new_pieces')

    def __init__(self):
        self.has_events = False
        self.has_pieces = False
        self.has_new_pieces = False

    def record(self, events, undelivered):
        """Record the next events, and which of them the caller lacked."""
        self.has_events = self.has_events or bool(events)
        self.has_pieces = self.has_pieces or _have_data(events)
        self.has_new_pieces = self.has_new_pieces or _have_data(undelivered)

    def is_at_end(self):
        """Return whether its end is that of what the caller has.

        A run that sent only earlier events may have ended among those.
        """
        return self.has_new_pieces or not self.has_pieces


def _have_data(events):
    return any(event.has_data() for event in events)


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

    Another target has to have closed the stream there as well: one that was
    cut off doesn't say that the stream has ended.  A target that leaves may
    close streams early.  One that sends events again may have stopped among
    those, and so may one that wasn't told where to go on.
    """
    if not context.last_event_id or not context.event_order.can_go_on():
        return False
    is_second = bool(context.closer_ids - {target.entry.id})
    return is_second and not target.may_leave() and not run.has_pieces


def _has_most(context):
    """Return whether all output that the request allows has come.

    Each event holds at least one token; how many it holds at most says nothing
    of what came.  How many came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    return context.output_count >= metadata.output_tokens
