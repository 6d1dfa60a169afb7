"""Client of the model engine beside an agent."""
