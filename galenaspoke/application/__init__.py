"""The application service beside an agent."""
