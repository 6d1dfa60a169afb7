"""The rows of the drill of ends: framings, router flags and events.

A row is named after its parts, such as `no-length+accept/sigterm`.

Example::

    row = find(['no-length/calm'])[0]
    row.framing.options    # {'framing': 'none'}
"""

import fnmatch
import signal

from standins import edge_modes

# How long a killed engine that isn't to come back stays away.
AWAY_S = 600
BACK_AFTER_S = 0.5
# Other than the settings that a router starts with.
RETRY_SLACK = 57
EXTRA_ROUTES = 1
LISTED_S = 3.0
EARLY_SHARE = 0.5
# Of planned work that is none.
NO_SIGN = ''
FLAGS = {
    '': (),
    '+accept': ('--accept-closed-streams',),
    '+doubt': ('--doubt-closed-streams',),
}


class Framing:
    """How all engines of a row answer; `options` are those of engines."""

    __slots__ = ('name', 'options')

    def __init__(self, name, **options):
        self.name = name
        self.options = options


class Event:
    """What happens while the answers are open.

    `happen(fleet)` is called early if `is_early`, else when half of the
    longest answer's time has passed.  Planned work, which other events of a
    fleet may follow, has a `sign`: the event in the log of the router by which
    it shows.  `options` and `early`, the share of answers that end early, are
    those of engines.
    """

    __slots__ = ('name', 'happen', 'is_early', 'sign', 'early', 'options')

    def __init__(
        self, name, happen, is_early=False, sign=None, early=0.0, **options
    ):
        self.name = name
        self.happen = happen
        self.is_early = is_early
        self.sign = sign
        self.early = early
        self.options = options

    @property
    def is_planned(self):
        """Return whether it is planned work."""
        return self.sign is not None


class Row:
    """A framing with router flags and an event."""

    __slots__ = ('framing', 'flag', 'event')

    def __init__(self, framing, flag, event):
        self.framing = framing
        self.flag = flag
        self.event = event

    @property
    def name(self):
        """Return the name by which the command line knows it."""
        return f'{self.framing.name}{self.flag}/{self.event.name}'

    @property
    def world(self):
        """Return what rows have in common that are played in one fleet."""
        if self.event.is_planned:
            return self.framing.name, self.flag
        return self.framing.name, self.flag, self.event.name


# Planned work, at the router that serves the answers.


def _stay_calm(_fleet):
    pass


def _reload(fleet):
    router = fleet.routers[0]
    fleet.write_settings(router, RETRY_SLACK)
    router.process.signal(signal.SIGHUP)


def _publish(fleet):
    fleet.publish(extra_routes=EXTRA_ROUTES)


def _stop_router(fleet):
    fleet.routers[0].end(signal.SIGTERM)


# Ends of engines: those of one model engine and of the application.


def _list_ending(fleet):
    return [fleet.models[0], fleet.applications[0]]


def _order(machine, mode):
    if not machine.set_mode(mode, 1, 1):
        raise RuntimeError(f'{machine.name} did not take the order {mode}')


def _kill(fleet):
    for machine in _list_ending(fleet):
        machine.restart_after_s = AWAY_S
        machine.end(signal.SIGKILL)


def _kill_for_a_moment(fleet):
    for machine in _list_ending(fleet):
        machine.keeps_instance = True
        machine.restart_after_s = BACK_AFTER_S
        machine.end(signal.SIGKILL)


def _exit(fleet):
    for machine in _list_ending(fleet):
        machine.restart_after_s = AWAY_S
        machine.may_end = True
        _order(machine, edge_modes.SPOT)


def _freeze(fleet):
    for machine in _list_ending(fleet):
        _order(machine, edge_modes.FREEZE)


def _leave(fleet):
    for machine in _list_ending(fleet):
        machine.restart_after_s = AWAY_S
        machine.end(signal.SIGTERM)


FRAMINGS = (
    Framing('chunks', framing='chunked'),
    Framing(
        'chunks-closed', framing='chunked', **{'keep-connections': 'false'}
    ),
    Framing('no-length', framing='none'),
    Framing('no-length-no-report', framing='none', reports='false'),
)
PLANNED = (
    Event('calm', _stay_calm, is_early=True, sign=NO_SIGN),
    Event('sighup', _reload, is_early=True, sign='reload'),
    Event('configuration', _publish, is_early=True, sign='config.installed'),
    # Last, since the router is gone after it.
    Event('sigterm', _stop_router, is_early=True, sign='stop'),
)
ENDS = (
    Event('killed', _kill),
    Event('reset', _stay_calm, early=EARLY_SHARE, ending='reset'),
    Event('closed', _stay_calm, early=EARLY_SHARE, ending='closed'),
    Event('mid-event', _stay_calm, early=EARLY_SHARE, ending='half'),
    Event(
        'listed',
        _stay_calm,
        early=EARLY_SHARE,
        ending='closed',
        **{'listed-s': LISTED_S},
    ),
    Event('leaves', _leave, is_early=True, hasty=0),
    Event('hasty', _leave, is_early=True, hasty=1, resets=0),
    Event('exits', _exit, resets=0),
    Event('frozen', _freeze, resets=0),
    Event('back', _kill_for_a_moment),
)


def list_all():
    """Return all rows, those of one world beside each other."""
    return [
        Row(framing, flag, event)
        for framing in FRAMINGS
        for flag in FLAGS
        for event in (*PLANNED, *ENDS)
    ]


def find(patterns):
    """Return the rows whose name matches one of the patterns; `*` is any."""
    return [
        row
        for row in list_all()
        if any(fnmatch.fnmatchcase(row.name, one) for one in patterns)
    ]


def make_engine_options(row, stride):
    """Return the options of a row's engines."""
    return {'stride': stride, **row.framing.options, **row.event.options}


def list_flags(row):
    """Return the arguments of a row's routers."""
    return FLAGS[row.flag]
