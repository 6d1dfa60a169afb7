"""The decisions: money, records, placement, limits.  No I/O.

The public parts for embedders::

    from galenaspoke.core import Clock, GrantBook, Page, placement
"""

from galenaspoke.core.clock import Clock
from galenaspoke.core.clock import ManualClock
from galenaspoke.core.grants import GrantBook
from galenaspoke.core.ledger import Page
from galenaspoke.core.schema import Config
from galenaspoke.core.schema import Document
from galenaspoke.core.records import Claims
from galenaspoke.core.registry import placement
from galenaspoke.core.registry import Registry
from galenaspoke.core.runs import Runs
from galenaspoke.core.verdicts import Refusal
from galenaspoke.core.verdicts import Verdict

__all__ = (
    'Claims',
    'Clock',
    'Config',
    'Document',
    'GrantBook',
    'ManualClock',
    'Page',
    'Refusal',
    'Registry',
    'Runs',
    'Verdict',
    'placement',
)
