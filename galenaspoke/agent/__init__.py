"""galenaspoke-agent: the process beside a target."""
