"""Runs of the real processes against the stand-ins: demo, soak, measure."""
