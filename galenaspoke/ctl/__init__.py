"""galenaspoke-ctl: the operators' command line."""
