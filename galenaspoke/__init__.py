"""galenaspoke: a router fleet for prepaid token budgets.

The daemons are `galenaspoke-router`, `galenaspoke-agent` and the operators'
tool `galenaspoke-ctl`.  The decisions they make are in `galenaspoke.core`,
which does no I/O and can be embedded on its own.
"""

__version__ = '0.1.0'
