"""The platform's object API, as this project uses it."""
