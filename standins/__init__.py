"""Stand-ins for the systems around galenaspoke.

The demo, the system tests and the benchmarks use them.  Each stand-in runs as
a separate process.  The engine, the application and the store each write an
event log, which is independent of what galenaspoke reports.
"""
