"""galenaspoke-agent: the daemon beside a target."""
