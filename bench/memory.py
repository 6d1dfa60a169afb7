"""The memory of a process, as the kernel states it.

Example::

    read(os.getpid()).resident_mb    # 38.2
"""

import pathlib

BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_000_000


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
