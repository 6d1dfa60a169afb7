"""The entries by which operators evacuate a zone, named after it."""

KIND = 'evacuations'
