"""Small stand-ins for what galenaspoke meets, for demo, tests and benches.

Each is a process of its own with its own log of what really happened.
"""
