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
    return outcomes.Proof.ALIVE


def _has_most(context):
    """Return whether all output that the request allows has come.

    How many events came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    tokens = context.piece_count * context.event_tokens
    return tokens >= metadata.output_tokens
