"""Client of the application service beside an agent."""
