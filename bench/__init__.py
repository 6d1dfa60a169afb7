"""Programs that run the real processes against the stand-ins.

These are the demo, the soak test, the policy measurements and the cost
measurements for capacity planning.
"""
