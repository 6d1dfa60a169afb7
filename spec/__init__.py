"""Specifications of the core protocols for the model checker minicheck.

Each module specifies one protocol as a `minicheck.Protocol` with a set of
guards, which are the rules that make the protocol safe.  The tests check that
the protocol is safe with all guards, and that removing any single guard
yields a counterexample.
"""
