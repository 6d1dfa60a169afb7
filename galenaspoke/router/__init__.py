"""galenaspoke-router: the router that serves callers through agents.

The package `galenaspoke.edge` is the router that forwards HTTP requests to
targets itself.
"""
