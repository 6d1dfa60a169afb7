"""Reading the settings, at the start of a program and while it runs."""

import dataclasses
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


def check_settings(path, cfg, journal):
    """Log whether the settings file at `path` differs from `cfg`.

    `path` is None for the platform's default.  Changes take effect when the
    process is restarted.  What the command line states isn't compared.
    """
    try:
        new_cfg = platform_settings.load(path)
    except platform_settings.SettingsInvalid as exc:
        journal.note('reload.refused', why=str(exc))
        return
    new_cfg = dataclasses.replace(
        new_cfg,
        accept_closed_streams=cfg.accept_closed_streams,
        doubt_closed_streams=cfg.doubt_closed_streams,
    )
    journal.note('reload', changed=new_cfg != cfg)
