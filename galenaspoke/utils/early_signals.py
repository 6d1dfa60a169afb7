"""Keeps SIGHUP from ending a process that has just started.

Operators send it to tell a process that its settings have changed, and a
process that has just started reads them anyway.  A program imports this module
before all others, since loading those takes longer than anything else.  Unlike
a signal that is ignored, one with a handler is not ignored by processes that
this one starts, such as those of tests.

Example::

    from galenaspoke.utils import early_signals  # noqa: F401, H306
"""

import signal

signal.signal(signal.SIGHUP, lambda number, frame: None)
