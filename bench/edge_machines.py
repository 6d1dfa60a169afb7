"""The machines of an edge fleet, and what runs on them."""

import json
import sys
import time
import urllib.request

from standins import edge_engine
from standins import platform_documents
from standins import raw_http

ENGINE_PORT = 8300
PROXY_PORT = 8301
SLOTS = 8
FLOODING_OPTIONS = (
    '--early',
    '0',
    '--slots',
    str(platform_documents.FAULTY_SLOTS),
    '--connections',
    str(platform_documents.FAULTY_CONNECTIONS),
)


class Machine:
    """A machine and its process.

    `may_end` says that a fault is about to end the process; `ended_alone`
    lists the exit codes of a process that ended though no fault did that.
    """

    __slots__ = (
        'name',
        'ip',
        'zone',
        'link',
        'process',
        'is_down',
        'may_end',
        'kill_at',
        'ended_alone',
        'service',
        'next_service',
        'restart_after_s',
        'keeps_instance',
        'version',
        'clock_ms',
        'floods',
        'prepare',
    )

    def __init__(self, name, ip, zone, link, service='', clock_ms=0):
        self.name = name
        self.ip = ip
        self.zone = zone
        # The link in front of the engine, or between a router and the store.
        self.link = link
        self.process = None
        # Whether the process has ended and is about to be started again.
        self.is_down = False
        self.may_end = False
        # When a process that was asked to stop is killed, None for never.
        self.kill_at = None
        self.ended_alone = []
        # An engine's service, and the one of the engine that takes its
        # address, None while none does.
        self.service = service
        self.next_service = None
        # How long the machine stays without a process, None if drawn.
        self.restart_after_s = None
        # Whether an engine has the same id after each start.
        self.keeps_instance = False
        # The version of an engine's software from its next start on.
        self.version = 'v1'
        # How far the machine's wall clock is ahead.
        self.clock_ms = clock_ms
        # Whether it is an engine that answers only to flood.
        self.floods = False
        # Called before each start.
        self.prepare = lambda: None

    def end(self, number, grace_s=None):
        """Send the process a signal that ends it, killing it after a grace."""
        self.may_end = True
        if grace_s is not None:
            self.kill_at = time.monotonic() + grace_s
        self.process.signal(number)

    def hand_over(self, service, after_s, number, grace_s):
        """End the engine; one of another service takes its address then."""
        self.next_service = service
        self.restart_after_s = after_s
        self.end(number, grace_s)

    def has_overrun(self):
        """Return whether its process should have stopped by now."""
        return bool(self.kill_at) and time.monotonic() > self.kill_at

    def is_steady(self):
        """Return whether its process runs and is to go on."""
        return not (self.is_down or self.may_end)

    def flood(self, case, seconds):
        """Have the engine answer without end; return whether it heard it."""
        order = {'case': case, 'seconds': seconds}
        return self._order(edge_engine.FLOOD_PATH, order)

    def set_mode(self, mode, seconds, share):
        """Have the engine fail a share of requests in one of edge_modes.MODES.

        Returns whether it heard it.
        """
        order = {'mode': mode, 'seconds': seconds, 'share': share}
        return self._order(edge_engine.MODE_PATH, order)

    def _order(self, path, order):
        address = f'{self.ip}:{ENGINE_PORT}'
        try:
            raw_http.call(address, 'POST', path, order)
        except (OSError, raw_http.Disconnected, json.JSONDecodeError):
            return False
        return True


def make_engine_argv(machine, store, log, options):
    """Return the start of an engine's command, without what each start draws.

    `options` are the fleet's.
    """
    port = PROXY_PORT if machine.link else ENGINE_PORT
    argv = [sys.executable, '-m', 'standins', 'edge-engine']
    argv += ['--listen', f'{machine.ip}:{ENGINE_PORT}']
    argv += ['--announce', f'{machine.ip}:{port}', '--store', store]
    argv += ['--zone', machine.zone, '--log', str(log)]
    argv += ['--clock-ms', str(machine.clock_ms)]
    if machine.floods:
        return [*argv, *FLOODING_OPTIONS]
    argv += ['--slots', str(options.slots), '--early', str(options.early)]
    argv += ['--garbled', str(options.garbled)]
    for name, value in options.list_engine_options().items():
        argv += [f'--{name}', str(value)]
    return argv


def is_ready(machine):
    """Return whether a router says that callers may be sent to it."""
    url = f'http://{machine.ip}:{platform_documents.READY_PORT}/ready'
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except OSError:
        return False
