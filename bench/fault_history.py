"""What was done to a fleet, and when, as faults.log has it.

Lines of the log, each with the Unix time `at` in milliseconds:

- `fault`: what was done to the machine `name`; it lasts for `s` seconds if it
  has that field.
- `span`: a fault as it is drawn, once it is over; `began` is its beginning.
- `ended` and `started`: a process ended, `after_grace` if it was killed since
  it took too long to stop, and was started again.
- `published`: a configuration was sent, with the time-out of its routes.

Example::

    history = fault_history.read(directory / 'faults.log')
    history.stops['router-0']               # the times of its SIGTERMs
    history.is_disturbed(began_ms, ended_ms)
"""

import collections
import json
import math
import signal

from standins import platform_documents

# Faults that send a router SIGTERM or SIGHUP, as `fault` lines name them.
STOPS = ('stop_router', 'roll_term')
RELOADS = ('reload_router', 'hup')
# Work that is planned at routers and in configurations.
PLANNED = (
    *STOPS,
    *RELOADS,
    'publish',
    'publish_many',
    'config_storm',
    'top_up',
    'revoke',
)
# Work that is planned at engines: what it ends by force is read from how
# their processes end.
PLANNED_AT_ENGINES = (
    'drain_engine',
    'roll_release',
    'scale_in',
    'scale_out',
)
MS_PER_S = 1_000
# How long before its line in the log a process may have ended.
NOTICED_MS = 200


class Span:
    """A time in Unix milliseconds, and what went on then."""

    __slots__ = ('name', 'began_ms', 'ended_ms')

    def __init__(self, name, began_ms, ended_ms):
        self.name = name
        self.began_ms = began_ms
        self.ended_ms = ended_ms


class History:
    """Planned work and unplanned disruptions of a run, in Unix milliseconds.

    `stops` and `reloads` have the times of SIGTERM and SIGHUP by a router's
    name, `publications` pairs of the time and the time-out of a configuration,
    and `disruptions` Spans.
    """

    __slots__ = ('stops', 'reloads', 'publications', 'disruptions', '_down')

    def __init__(self):
        self.stops = collections.defaultdict(list)
        self.reloads = collections.defaultdict(list)
        self.publications = []
        self.disruptions = []
        # The Span for which a machine has no process, by its name.
        self._down = {}

    def take(self, entry):
        """Take a line of the log; they come in order."""
        take = _TAKERS.get(entry['what'])
        if take is not None:
            take(self, entry)

    def is_disturbed(self, began_ms, ended_ms):
        """Return whether there was an unplanned disruption near a request.

        That is, from the platform's StableWindowMs before it to its end.
        """
        since_ms = began_ms - platform_documents.STABLE_WINDOW_MS
        return any(
            span.began_ms <= ended_ms and span.ended_ms >= since_ms
            for span in self.disruptions
        )

    def find_shortest_timeout_ms(self, until_ms):
        """Return the shortest time-out published by a time, None for none."""
        timeouts = [ms for at, ms in self.publications if at <= until_ms]
        return min(timeouts, default=None)

    def _take_fault(self, entry):
        at, name = entry['at'], entry['name']
        # A process that has ended gets no signal.
        if name not in self._down:
            if entry['fault'] in STOPS:
                self.stops[name].append(at)
            elif entry['fault'] in RELOADS:
                self.reloads[name].append(at)
        if 's' in entry:
            ended_ms = at + entry['s'] * MS_PER_S
            self.disruptions.append(Span(entry['fault'], at, ended_ms))

    def _take_span(self, entry):
        if entry['fault'] not in (*PLANNED, *PLANNED_AT_ENGINES):
            self.disruptions.append(
                Span(entry['fault'], entry['began'], entry['at'])
            )

    def _take_end(self, entry):
        name = entry['name']
        span = Span(f'{name} ended', entry['at'] - NOTICED_MS, math.inf)
        self._down[name] = span
        if _is_disruption(entry):
            self.disruptions.append(span)

    def _take_start(self, entry):
        span = self._down.pop(entry['name'], None)
        if span is not None:
            span.ended_ms = entry['at']

    def _take_publication(self, entry):
        self.publications.append((entry['at'], entry['timeout_ms']))


_TAKERS = {
    'fault': History._take_fault,
    'span': History._take_span,
    'ended': History._take_end,
    'started': History._take_start,
    'published': History._take_publication,
}


def read(path):
    """Return the History that a log has."""
    history = History()
    for line in path.read_text().splitlines():
        history.take(json.loads(line))
    return history


def _is_disruption(entry):
    """Return whether the end of a process disturbs others.

    A router's own end is no excuse, nor is it one that it didn't stop within
    its grace period.  An engine that leaves in order ends with 0.
    """
    if entry.get('handed_over'):
        return True
    if entry['name'].startswith(('router-', 'relay-')):
        is_killed = entry['code'] == -signal.SIGKILL
        return is_killed and not entry.get('after_grace')
    return entry['code'] != 0
