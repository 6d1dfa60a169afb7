"""Clients of the platform's object API (the store)."""
