"""Small specifications of the core protocols, for a model checker.

Each module describes one protocol as a `minicheck.Protocol`, with a set of
guards: the rules that make it safe.  The tests check that it is safe with all
of them, and that removing any one gives a counterexample.
"""
