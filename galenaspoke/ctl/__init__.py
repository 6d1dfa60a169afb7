"""galenaspoke-ctl: the operators' tool."""
