"""Rankings of targets and routers on which all routers agree."""

from galenaspoke.utils import rendezvous


def rank_targets(key, targets):
    """Return targets in the order in which `key` prefers them.

    The order depends on the key and the target ids only, so routers need not
    communicate.  Adding or removing a target moves only the keys that prefer
    that target.
    """
    return sorted(
        targets, key=lambda target: rendezvous.weigh(key, target.entry.id)
    )


def count_preferred(key, names, name):
    """Return how many of `names` the key prefers to `name`."""
    weight = rendezvous.weigh(key, name)
    return sum(rendezvous.weigh(key, other) < weight for other in names)


def locate(name):
    """Return the position of a name on a ring, as bytes."""
    return rendezvous.weigh('', name)


def choose_name(key, names):
    """Return the name that `key` prefers."""
    return min(names, key=lambda name: rendezvous.weigh(key, name))
