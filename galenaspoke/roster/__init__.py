"""The platform's lagging list of instances."""
