"""Helpers shared by all programs."""
