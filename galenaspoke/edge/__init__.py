"""The edge router: the data path between callers and targets."""
