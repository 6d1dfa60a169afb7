"""Settings: what they are (`defaults`) and how INI files are read (`ini`)."""
