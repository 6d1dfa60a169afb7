"""The model engine beside an agent."""
