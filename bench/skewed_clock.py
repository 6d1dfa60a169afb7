"""Runs a module whose wall clock is ahead of the true time, or behind it.

It is run by its path, so that it also serves a product of another folder::

    python bench/skewed_clock.py -2400 galenaspoke.edge.main --metrics-port 7

The first argument is in ms.  The monotonic clock stays as it is.
"""

import runpy
import sys
import time

_NS_PER_MS = 1_000_000
_NS_PER_S = 1_000_000_000


def set_ahead(ms):
    """Set this process's wall clock ahead by `ms`, which may be negative."""
    true_time, true_time_ns = time.time, time.time_ns
    ahead_ns = ms * _NS_PER_MS
    time.time = lambda: true_time() + ahead_ns / _NS_PER_S
    time.time_ns = lambda: true_time_ns() + ahead_ns


def main(ahead_ms, module, *args):
    """Run a module of the working directory as the main program."""
    set_ahead(int(ahead_ms))
    sys.path[0] = ''
    sys.argv = [module, *args]
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main(*sys.argv[1:])
