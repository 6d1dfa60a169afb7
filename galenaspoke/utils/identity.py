"""Identifiers of processes."""

import uuid


def new_incarnation():
    """Return an identifier that no other process ever has."""
    return uuid.uuid4().hex[:12]
