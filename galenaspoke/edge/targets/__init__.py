"""The targets: their health and load, and which of them gets a request."""
