"""What routers and agents share about the fleet: configuration, registry."""
