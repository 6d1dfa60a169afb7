"""The routers of the fleet: who they are, and how they reach each other."""
