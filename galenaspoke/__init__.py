"""galenaspoke: a router fleet for prepaid token budgets.

The daemons are `galenaspoke-router` and `galenaspoke-agent`; operators use
`galenaspoke-ctl`.  The decision logic is in `galenaspoke.core`, which does no
I/O and can be embedded on its own.
"""

__version__ = '0.1.0'
