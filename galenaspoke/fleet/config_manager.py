"""The configuration in force in one process.

A configuration may be read from the store, fetched from a peer or pushed by a
router.  It is installed only if its generation is higher than the one in
force, so a stale read can't revert a newer configuration.
"""

from absl import logging
import msgspec

from galenaspoke.core import schema


class ConfigManager:
    """Keeps the configuration with the highest generation seen.

    `listeners` are called with each Config that is installed.
    """

    __slots__ = ('config', 'listeners', '_metrics')

    def __init__(self, metrics):
        self.config = schema.Config()
        self.listeners = []
        self._metrics = metrics

    def update_if_newer(self, generation, raw):
        """Install a configuration if its generation is higher.

        Returns True if it was installed.
        """
        if generation <= self.config.generation:
            return False
        self.config = schema.Config(generation, bytes(raw))
        self._metrics.gauge('config.generation', generation)
        logging.info('configuration generation %d in force', generation)
        for listener in self.listeners:
            listener(self.config)
        return True

    def update_from_store(self, item):
        """Install the configuration in the store's head object, if newer."""
        if item.version == 0:
            return False
        head = msgspec.json.decode(item.value, type=schema.Head)
        return self.update_if_newer(head.generation, head.document)
