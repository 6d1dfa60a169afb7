"""Start-up steps that the programs of this package share."""

import gc
import sys

from galenaspoke.platform import settings as platform_settings

EXIT_INVALID_SETTINGS = 2


def load_settings_or_exit(path, serves_callers=True):
    """Return the settings; if they are invalid, report it and exit.

    Also exempts all objects made so far from garbage collection.
    """
    try:
        cfg = platform_settings.load(path, serves_callers=serves_callers)
    except platform_settings.SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    gc.freeze()
    return cfg
