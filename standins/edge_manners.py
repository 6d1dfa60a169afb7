"""What an engine behind the edge fleet does alike with all its requests.

A fixed manner takes the place of what `edge_plans` would draw.

Example::

    manner = Manner(framing='none', ending=edge_plans.HALF, has_reports=False)
    manner.change(plan)
"""

import click

from standins import edge_plans

# Endings that may be fixed.
ENDINGS = (
    edge_plans.RESET,
    edge_plans.CLOSED,
    edge_plans.HALF,
    edge_plans.EXIT,
)
# The share of streams that an engine resets when it ends them all.
RESET_SHARE = 0.5


class Manner:
    """What is fixed for all responses of an engine.

    `framing` is one of edge_plans.FRAMINGS and `ending` one of ENDINGS, for
    those that end early; both are drawn if they are None.  The connection is
    closed after each response unless the engine `keeps_connections`.

    Its report lists a run that ended early for `listed_s` after that.
    `hasty_share` is how often it ends its streams early when it leaves, None
    for the engine's default, and `reset_share` the share of those that it
    resets then.
    """

    __slots__ = (
        'framing',
        'ending',
        'keeps_connections',
        'has_reports',
        'listed_s',
        'hasty_share',
        'reset_share',
    )

    def __init__(
        self,
        framing=None,
        ending=None,
        keeps_connections=True,
        has_reports=True,
        listed_s=0.0,
        hasty_share=None,
        reset_share=RESET_SHARE,
    ):
        self.framing = framing
        self.ending = ending
        self.keeps_connections = keeps_connections
        self.has_reports = has_reports
        self.listed_s = listed_s
        self.hasty_share = hasty_share
        self.reset_share = reset_share

    def change(self, plan):
        """Put what is fixed in the place of what was drawn."""
        if self.framing:
            plan.framing = self.framing
        if self.ending and plan.ending in edge_plans.ENDINGS:
            plan.ending = self.ending


_OPTIONS = (
    click.option(
        '--framing',
        type=click.Choice(edge_plans.FRAMINGS),
        help='Of all responses; drawn if not given.',
    ),
    click.option(
        '--ending',
        type=click.Choice(ENDINGS),
        help='Of all that end early; drawn if not given.',
    ),
    click.option(
        '--keep-connections',
        'keeps_connections',
        default=True,
        help='Whether a connection may carry several responses.',
    ),
    click.option(
        '--reports',
        'has_reports',
        default=True,
        help='Whether GET /report is answered.',
    ),
    click.option(
        '--listed-s',
        default=0.0,
        help='How long reports list a run after its early end.',
    ),
    click.option(
        '--hasty',
        'hasty_share',
        type=float,
        help='How often streams end early when the engine leaves.',
    ),
    click.option(
        '--resets',
        'reset_share',
        default=RESET_SHARE,
        help='The share of streams that it resets when it ends all.',
    ),
)


def add_options(command):
    """Add an option for each part of a Manner to a click command."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def take(options):
    """Remove those options from a dict of options; return their Manner."""
    return Manner(**{name: options.pop(name) for name in Manner.__slots__})
