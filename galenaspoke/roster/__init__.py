"""Access to the platform's list of instances, which lags."""
