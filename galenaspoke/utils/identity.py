"""Identifiers of processes."""

import uuid


def new_incarnation():
    """Return a unique identifier for one start of a process."""
    return uuid.uuid4().hex[:12]
