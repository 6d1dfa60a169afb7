"""Helpers that all programs share."""
