"""Operators' changes to stored objects, and what is known of them."""

import enum

from galenaspoke.store import client as store_client


class Outcome(enum.Enum):
    """What became of a change.

    After a lost response, an earlier write of the same command can't always
    be told from that of another operator: then it is `CHANGED_MEANWHILE`.
    """

    CHANGED = 'changed'
    CHANGED_MEANWHILE = 'changed meanwhile'
    UNCHANGED = 'unchanged'


def update(store, key, struct_type, change):
    """Change a stored object; return (Outcome, object as it now is).

    `change` returns False if nothing is left to change.  Raises the errors of
    `store_client.update`.
    """
    has_tried = False

    def change_if_needed(obj):
        nonlocal has_tried
        if not change(obj):
            return store_client.UNCHANGED
        has_tried = True
        return None

    result, obj = store_client.update(
        store, key, struct_type, change_if_needed
    )
    if result is not store_client.UNCHANGED:
        return Outcome.CHANGED, obj
    if has_tried:
        return Outcome.CHANGED_MEANWHILE, obj
    return Outcome.UNCHANGED, obj
