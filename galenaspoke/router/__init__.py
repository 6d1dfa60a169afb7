"""galenaspoke-router: the entry instance's process."""
