"""The configuration in force in one process.

Whatever the source (the store, a peer, a push), a configuration is installed
only if its generation is higher than the one in force, so that a stale read
can't turn anything back.
"""

from absl import logging
import msgspec

from galenaspoke.core import schema


class ConfigManager:
    """Holds the highest generation seen.

    `listeners` are called with the Config each time one is installed.
    """

    __slots__ = ('config', 'listeners', '_metrics')

    def __init__(self, metrics):
        self.config = schema.Config()
        self.listeners = []
        self._metrics = metrics

    def update_if_newer(self, generation, raw):
        """Install a configuration if it is newer; return True if it was."""
        if generation <= self.config.generation:
            return False
        self.config = schema.Config(generation, bytes(raw))
        self._metrics.gauge('config.generation', generation)
        logging.info('configuration generation %d in force', generation)
        for listener in self.listeners:
            listener(self.config)
        return True

    def update_from_store(self, item):
        """Install what the store's head object says, if it is newer."""
        if item.version == 0:
            return False
        head = msgspec.json.decode(item.value, type=schema.Head)
        return self.update_if_newer(head.generation, head.document)
