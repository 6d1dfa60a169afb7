"""Access to the platform's list of instances, which may be outdated."""
