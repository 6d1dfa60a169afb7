"""galenaspoke: a router fleet for prepaid token budgets.

The daemons are `galenaspoke-router`, `galenaspoke-agent`, `galenaspoke-edge`
and `galenaspoke-relay`; operators use `galenaspoke-ctl`.  The decision logic
is in `galenaspoke.core`, which does no I/O and can be embedded on its own.
"""

__version__ = '0.1.0'
