"""This router's views of the store: the configuration and the targets."""
