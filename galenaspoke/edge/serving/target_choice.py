"""Which target gets the next attempt at a request.

Example::

    chooser = TargetChooser(cfg, target_view, resumption, clock, journal)
    target = chooser.choose(context, last_outcome=None)    # a Target
    chooser.record_attempt(context, target)
"""

import collections

from galenaspoke.edge import outcomes
from galenaspoke.edge.targets import long_prompts
from galenaspoke.edge.targets import placement
from galenaspoke.edge.targets import speeds

# With less time left than this no target could respond, so none is tried.
MIN_REMAINING_MS = 5


class TargetChooser:
    """Chooses targets, by what earlier attempts showed of their speeds.

    `target_view` is the TargetView and `resumption` the Resumption, which
    knows the software versions that suit a request.
    """

    __slots__ = (
        '_cfg',
        '_target_view',
        '_resumption',
        '_clock',
        '_journal',
        '_isolations',
        '_speeds',
    )

    def __init__(self, cfg, target_view, resumption, clock, journal):
        self._cfg = cfg
        self._target_view = target_view
        self._resumption = resumption
        self._clock = clock
        self._journal = journal
        # The isolation of long prompts, by service name.
        self._isolations = collections.defaultdict(
            long_prompts.LongPromptIsolation
        )
        # The speeds of targets, by service name.
        self._speeds = collections.defaultdict(speeds.ServiceSpeeds)

    def choose(self, context, last_outcome):
        """Return the target of the next attempt, None if there is none.

        A stream that was closed goes on at a target that was tried if there is
        no other, and at one that closed it there only at last.
        """
        now = self._clock.now()
        if context.remaining_ms(now) < MIN_REMAINING_MS:
            return None
        target = self._choose_among(self._list_untried(context), context, now)
        if target is None and isinstance(
            last_outcome, (outcomes.Closed, outcomes.Ended)
        ):
            accepting = self._list_accepting(context)
            others = [
                target
                for target in accepting
                if target.entry.id not in context.closer_ids
            ]
            target = self._choose_among(
                others, context, now
            ) or self._choose_among(accepting, context, now)
        return target

    def _choose_among(self, targets, context, now):
        service_speeds = self._speeds[context.service]
        differed = service_speeds.differ
        target = placement.choose_target(
            context.metadata,
            targets,
            now,
            self._cfg.domain,
            self._isolations[context.service],
            service_speeds,
        )
        if service_speeds.differ != differed:
            self._journal.note(
                'targets.speeds',
                service=context.service,
                differ=service_speeds.differ,
                relative=service_speeds.dump(),
            )
        return target

    def has_untried(self, context):
        """Return whether a target that was not tried yet is usable now."""
        return bool(
            placement.filter_usable(
                self._list_untried(context), self._clock.now()
            )
        )

    def compute_pause_ms(self, context):
        """Return how long all targets want no more requests, in ms."""
        return placement.compute_pause_ms(
            self._list_accepting(context), self._clock.now()
        )

    def record_attempt(self, context, target):
        """Learn from an attempt how fast its target is."""
        if not context.metadata.prompt_parts:
            return
        service_speeds = self._speeds[context.service]
        service_speeds.record_prompt(context.metadata.count_shared_tokens())
        target.pace.record(context.event_times)
        service_speeds.record_first_event(
            target.entry.id, context.read_tokens, context.read_ms
        )

    def _list_untried(self, context):
        """Return the accepting targets that were not tried yet."""
        return [
            target
            for target in self._list_accepting(context)
            if target.entry.id not in context.tried_ids
        ]

    def _list_accepting(self, context):
        """Return the accepting targets whose version suits a request."""
        accepting = self._target_view.directory.list_accepting(context.service)
        versions = self._resumption.list_versions(context)
        if versions is None:
            return accepting
        return [
            target for target in accepting if target.entry.version in versions
        ]
