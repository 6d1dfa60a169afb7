"""Whether a stream without a length has ended where its target closed it.

Its target lives and doesn't work on it any more.  A response may end so, by
the platform's rules, so such a stream has ended unless something speaks
against it: its target leaves and ends all that it has open, it has closed
other streams early, or nothing came in a run that was to go on.  Where the
stream may be resumed, a second run can show that it goes on.

An operator may know more: that targets close no stream early, or that some do
so in ways that nothing shows.  Then only a proof counts.

Example::

    has_most(context)                  # True: no more can come
    judge = EndJudge(cfg, history, clock)
    judge.find_doubt(context, target, check, has_events, closed_at)
"""

import gevent

# A target that leaves, and ends its streams as it does, is gone by then.  One
# that ends its last streams by themselves may be gone so soon as well.
LEAVING_MS = 500
# How often it is asked until then.  It is asked once if it still works on
# other requests, which it would have ended, too.
ASK_INTERVAL_MS = 250
# A report may be as old as this.
REPORT_AGE_MS = 400
# The least time before the deadline that is left to tell the caller.
TELL_MS = 100


class EndJudge:
    """Says whether streams that targets have closed count as ended.

    `cfg` are the EdgeSettings, and `history` is the CloseHistory.
    """

    __slots__ = ('_cfg', '_history', '_clock')

    def __init__(self, cfg, history, clock):
        self._cfg = cfg
        self._history = history
        self._clock = clock

    def find_doubt(self, context, target, check, has_events, closed_at):
        """Return what speaks against the end of a stream, '' for nothing.

        `check` is the EndCheck that has confirmed that the target lives.
        `has_events` is whether the target has brought any, and `closed_at`
        when it closed the stream.  May wait for LEAVING_MS if it leaves.
        """
        if self._cfg.doubt_closed_streams:
            return 'nothing shows that it was the end'
        target_id = target.entry.id
        if not has_events and context.closed_by_id in ('', target_id):
            return 'no event came where it was to go on'
        if has_events and context.was_closed_early:
            return 'it was closed early before'
        if self._history.closes_early(target_id):
            return 'its target has closed a stream early'
        if has_events and not self._is_known_ended(context, check):
            return 'its target may still work on it'
        if not may_leave(target, check):
            return ''
        return self._find_doubt_of_leaving(context, target, check, closed_at)

    def _is_known_ended(self, context, check):
        """Return whether a target has said so since a later run began.

        A run that goes on for others may be shorter than reports are old, and
        one that hasn't listed it may be from before it.
        """
        age_ms = self._clock.now() - context.sent_at
        if len(context.tried_ids) < 2 or age_ms >= REPORT_AGE_MS:
            return True
        gevent.sleep((REPORT_AGE_MS - age_ms) / 1000)
        return check.is_alive(context.metadata.request_id)

    def _find_doubt_of_leaving(self, context, target, check, closed_at):
        """Return why a target that leaves may have closed it early."""
        target_id = target.entry.id
        self._history.record_close(target_id, closed_at)
        if not self._outlives(context, check, closed_at):
            return 'its target leaves, and is gone'
        # That its entry is missing doesn't say that it leaves.
        leaves = target.is_leaving or target.is_removed or check.says_leaving
        has_ended_all = leaves and not check.lists_others
        if has_ended_all and self._history.was_among_others(
            target_id, closed_at
        ):
            return 'its target leaves, and closed others with it'
        return ''

    def _outlives(self, context, check, closed_at):
        """Return whether a target lives on for a while after the end.

        If the deadline comes sooner, it lives on as long as that can wait.
        """
        watch_ms = ASK_INTERVAL_MS if check.lists_others else LEAVING_MS
        until = min(closed_at + watch_ms, context.deadline - TELL_MS)
        request_id = context.metadata.request_id
        while self._clock.now() < until:
            gevent.sleep(ASK_INTERVAL_MS / 1000)
            if not check.is_alive(request_id):
                return False
        return True


def may_leave(target, check):
    """Return whether a target may leave, by its entry or by its word."""
    return target.may_leave() or check.says_leaving


def has_most(context):
    """Return whether all output that the request allows has come.

    Then nothing is left to come, whatever became of the target.  Each event
    holds at least one token; how many it holds at most says nothing of what
    came.  How many came before those of this response isn't known.
    """
    metadata = context.metadata
    if metadata.is_resumption() or not metadata.output_tokens:
        return False
    return context.output_count >= metadata.output_tokens
