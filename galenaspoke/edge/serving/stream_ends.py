"""Proofs that a stream without a length has ended.

A target that lives may close such a stream early, as one that is emptied or
reaches the end of its grace does.  That it lives and doesn't work on the
request any more is no proof then, and neither is that another target closes
it as well: only what targets send tells.

Example::

    run = stream_ends.Run()
    run.record(events)
    stream_ends.find_proof(cfg, context, target, run)    # Proof.MOST
"""

from galenaspoke.edge import outcomes


class Run:
    """What one target has sent of a stream.

    `has_events` is true once a whole event has come.  `piece_count` is the
    number of events that clients see, and `last_id` the last one's id, empty
    if it has none.
    """

    __slots__ = ('has_events', 'piece_count', 'last_id')

    def __init__(self):
        self.has_events = False
        self.piece_count = 0
        self.last_id = ''

    def record(self, events):
        """Record the next events, whether the caller lacked them or not."""
        self.has_events = self.has_events or bool(events)
        for event in events:
            if event.has_data():
                self.piece_count += 1
                self.last_id = event.id

    def is_at_end(self, order):
        """Return whether it ended with the last event that the caller has.

        A run that sent nothing, or only earlier events, may have ended
        anywhere.  `order` is the EventOrder.
        """
        return bool(self.last_id) and self.last_id == order.last_id


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


def find_resumption_id(context):
    """Return the id after which the next target is to go on, '' for none.

    Once a target has closed the stream, the next one is asked for the last
    event again: what it sends shows that it works on the request at all.
    """
    order = context.event_order
    if context.closer_ids and order.previous_id is not None:
        return order.previous_id
    return order.last_id


def _is_confirmation(context, target, run):
    """Return whether a run shows that nothing comes after the last event.

    Another target has to have closed the stream there as well: one that was
    cut off doesn't say that the stream has ended.  This one has to have sent
    the last event, and nothing else.  A target that leaves may close streams
    early.
    """
    is_second = bool(context.closer_ids - {target.entry.id})
    if not is_second or target.may_leave():
        return False
    return run.piece_count == 1 and run.is_at_end(context.event_order)


def _has_most(context):
    """Return whether all output that the request allows has come.

    Each event holds at least one token; how many it holds at most says nothing
    of what came.  How many came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    return context.output_count >= metadata.output_tokens
