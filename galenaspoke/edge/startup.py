"""What the programs of this package do alike at their start."""

import gc
import sys

from galenaspoke.platform import settings as platform_settings

EXIT_SETTINGS = 2


def settings_or_end(path, serves_callers=True):
    """Return the checked settings, or end the process with what is wrong."""
    try:
        found = platform_settings.load(path, serves_callers=serves_callers)
    except platform_settings.SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    gc.freeze()
    return found
