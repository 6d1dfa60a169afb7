"""Which events of a target's stream come after those that the caller has.

Several targets may serve one response in turn, each of which is told the id of
the last event that the caller has.  Event ids increase, so they show what the
caller has already, and whether something is missing where a target goes on.

Example::

    order = EventOrder(last_id='')
    order.begin_run()
    order.select(events)      # all of them; the last one has the id '4'
    order.begin_run()
    order.select(events)      # those from '5' on
"""

# Longer numbers are no event ids.
MAX_ID_DIGITS = 18
# A longer event isn't kept to be compared with another target's.
MAX_COMPARED_BYTES = 4_096


class EventOrder:
    """The events that one caller has of its stream.

    `last_id` is the id of the last one, at first as stated by the caller;
    empty if it has none.  `fault` says why the present target's stream can't
    go on: what comes next of it doesn't fit what the caller has.  It is empty
    if it does; `is_unfit` is true if the target may be sound all the same, and
    `goes_on` if the fault shows that the stream has more events.

    `max_step` is the largest difference of the ids of successive events of one
    target, and `join_step` that of the first event that a target adds and the
    last one that the caller had before; 0 if there were none.
    `repeated_count` is how many events the caller had already.  `run_step` and
    `run_step_count` are the largest step of the present target's run, and the
    number of its steps.  `service_step` is the largest one of the service's
    other streams, 0 if that isn't known.
    """

    __slots__ = (
        'last_id',
        'fault',
        'is_unfit',
        'goes_on',
        'max_step',
        'join_step',
        'repeated_count',
        'run_step',
        'run_step_count',
        'service_step',
        '_has_events',
        '_is_placed',
        '_begins_earlier',
        '_has_last',
        '_has_other_text',
        '_last_raw',
    )

    def __init__(self, last_id):
        self.last_id = last_id
        self.fault = ''
        self.is_unfit = False
        self.goes_on = False
        self.max_step = 0
        self.join_step = 0
        self.repeated_count = 0
        self.run_step = 0
        self.run_step_count = 0
        self.service_step = 0
        # Whether events that have a place in the stream were selected.
        self._has_events = False
        # Whether it is known where the present target's events belong.
        self._is_placed = False
        # Whether the present target begins before the end of the last event,
        # and whether it has sent that one again.
        self._begins_earlier = False
        self._has_last = False
        # Whether it has sent that one with other bytes than the caller has.
        self._has_other_text = False
        # The bytes of the event with the last id, None if they aren't known.
        self._last_raw = None

    def begin_run(self):
        """Begin the stream of another target.

        Where the events of the first one belong is known if the caller has
        none, and not to be judged if the last one's id isn't a number.
        """
        self.fault = ''
        self.is_unfit = False
        self.goes_on = False
        self._is_placed = (
            not self._has_events and _parse_id(self.last_id) is None
        )
        self.run_step = self.run_step_count = 0
        self._begins_earlier = False
        self._has_last = False
        self._has_other_text = False

    def can_go_on(self):
        """Return whether another target's events could have a place.

        Only numbers show it once the caller has events.
        """
        return not self._has_events or _parse_id(self.last_id) is not None

    def select(self, events):
        """Return those of a target's next events that the caller lacks.

        They count as events that the caller has.  If `fault` is set then, the
        event after them can't be relayed.
        """
        selected = []
        for event in events:
            if event.has_head():
                self.fault = 'a response within a stream'
                break
            number = _parse_id(event.id)
            if number is None:
                is_wanted = self._check_unnumbered(event)
            else:
                is_wanted = self._check_numbered(number, event)
            if self.fault:
                break
            if is_wanted:
                selected.append(event)
                self._record_place(event)
        return selected

    def end_run(self):
        """End a stream whose target says that it has no more events.

        `fault` is set if it can't have ended there.
        """
        if not self._is_placed and self._lacks_last():
            self._reject_run(f'the stream ends before {self.last_id}')

    def _lacks_last(self):
        """Return whether a target begins earlier and lacks the last event."""
        return self._begins_earlier and not self._has_last

    def _reject_run(self, why):
        """Set the fault of a target that can't go on after the last event."""
        self.is_unfit = True
        self.fault = why

    def _record_place(self, event):
        """Record an event that is relayed; comments have no place."""
        if event.id:
            self.last_id = event.id
            is_short = len(event.raw) <= MAX_COMPARED_BYTES
            self._last_raw = event.raw if is_short else None
        if not self._has_events:
            self._has_events = bool(event.id) or event.has_data()

    def _check_unnumbered(self, event):
        """Return whether to relay an event whose id is no number."""
        if not self._is_placed and event.has_data():
            self.fault = 'an event without a number where a stream goes on'
        return self._is_placed

    def _check_numbered(self, number, event):
        """Return whether to relay the event with a number."""
        last = _parse_id(self.last_id)
        if last is None:
            if not self._is_placed:
                self.fault = 'a stream without numbers goes on with numbers'
            return True
        step = number - last
        if step <= 0:
            self._record_repeated(step, event)
            return False
        if self._is_placed:
            self._record_step(step)
        else:
            self._check_join(last, number)
        self._is_placed = True
        return True

    def _record_step(self, step):
        """Record how far two successive events of a target are apart."""
        self.run_step_count += 1
        self.run_step = max(self.run_step, step)
        self.max_step = max(self.max_step, step)

    def _record_repeated(self, step, event):
        """Record an event that is `step` from the last one, 0 or less."""
        self.repeated_count += 1
        if step:
            self._begins_earlier = True
            return
        self._has_last = True
        if self._last_raw is None or not event.has_data():
            return
        self._has_other_text = event.raw != self._last_raw
        if self._has_other_text and self._is_placed:
            self.fault = f'two events with the id {event.id}'

    def _check_join(self, last, number):
        """Check the first event that a target adds to those of others.

        Ids may count tokens, and targets may divide the output otherwise.  If
        one begins earlier and sends no event with the id of the last one, its
        next event holds a part of what the caller has.  If it sends that one
        with another text, what follows goes on with that text.
        """
        step = number - last
        most = max(self.max_step, self.service_step)
        self.join_step = max(self.join_step, step)
        if self._lacks_last():
            self._reject_run(f'no event ends at {last}, but at {number}')
        elif self._has_other_text:
            self._reject_run(f'another text up to {last}')
        elif most and step > most:
            self.fault = f'events are missing between {last} and {number}'
        self.goes_on = bool(self.fault)


def _parse_id(event_id):
    """Return the number that is an event's id, None if it is none."""
    is_number = event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None
