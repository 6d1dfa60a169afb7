"""Translates between the platform's interfaces and the project's own types.

The package contains only names, formats and calls: it makes no decisions, and
no code outside of it knows the platform's names.
"""
