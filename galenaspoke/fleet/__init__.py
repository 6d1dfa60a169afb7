"""Configuration and registry code that routers and agents share."""
