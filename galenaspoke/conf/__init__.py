"""Settings: their `definitions` and loading from INI files (`ini`)."""
