"""Settings: their definitions (`defaults`) and INI files (`ini`)."""
