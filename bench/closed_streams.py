"""What routers take streams for that only the end of a connection ends.

Engines that end them early and live on can't be told from engines that have
sent all of them, so that a world has one or the other: where responses end
early, routers want a proof.
"""

import subprocess
import sys

# Whole unless something speaks against it.
JUDGE = 'judge'
# Whole if the target lives.
ACCEPT = 'accept'
# Whole only if that is proven.
DOUBT = 'doubt'
MODES = (JUDGE, ACCEPT, DOUBT)
FLAGS = {
    ACCEPT: '--accept-closed-streams',
    DOUBT: '--doubt-closed-streams',
}
HELP_TIMEOUT_S = 60


def choose(mode, early):
    """Return the mode, if it is None that for a share that ends early."""
    if mode is not None:
        return mode
    return DOUBT if early else JUDGE


def list_flags(mode, product):
    """Return the flags of a router for a mode, if its code knows them.

    `product` is the folder that holds its galenaspoke package.
    """
    flag = FLAGS.get(mode)
    if flag is None or flag not in _read_help(product):
        return []
    return [flag]


def _read_help(product):
    done = subprocess.run(
        [sys.executable, '-m', 'galenaspoke.edge.main', '--help'],
        cwd=product,
        capture_output=True,
        text=True,
        timeout=HELP_TIMEOUT_S,
        check=True,
    )
    return done.stdout
