"""The memory of processes, as the kernel states it.

Example::

    read(os.getpid()).resident_mb    # 38.2
"""

import pathlib

import gevent

BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_000_000
POLL_INTERVAL_S = 0.1


class MemoryUsage:
    """What is resident now, and the most that was."""

    __slots__ = ('resident_mb', 'peak_mb')

    def __init__(self, resident_mb, peak_mb):
        self.resident_mb = resident_mb
        self.peak_mb = peak_mb


def read(pid):
    """Return the MemoryUsage of a process; raise OSError if there is none."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return parse(text)


def parse(text):
    """Return the MemoryUsage that a status file of /proc states.

    A process that has exited and wasn't waited for states none, so 0.
    """
    fields = dict(line.split(':', 1) for line in text.splitlines())
    return MemoryUsage(
        _read_mb(fields.get('VmRSS')), _read_mb(fields.get('VmHWM'))
    )


def _read_mb(value):
    if value is None:
        return 0.0
    return int(value.split()[0]) * BYTES_PER_KB / BYTES_PER_MB


class MemoryWatch:
    """The most memory that each process of some machines has taken.

    `peaks_mb` has it by the machine's name and the process's id.
    """

    __slots__ = ('peaks_mb', '_machines')

    def __init__(self, machines):
        self.peaks_mb = {}
        self._machines = machines

    def run(self):
        """Read it again and again; never returns."""
        while True:
            self.read()
            gevent.sleep(POLL_INTERVAL_S)

    def read(self):
        """Read it once.  A process that has just ended is passed over."""
        for machine in self._machines:
            pid = machine.process.popen.pid
            try:
                peak_mb = read(pid).peak_mb
            except OSError:
                continue
            key = (machine.name, pid)
            self.peaks_mb[key] = max(peak_mb, self.peaks_mb.get(key, 0.0))
