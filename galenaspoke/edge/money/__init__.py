"""Prepaid tokens: the ledger, loans and reservations."""
