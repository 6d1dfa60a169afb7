"""Reads the settings file that the platform lays beside a process.

Example::

    cfg = settings.load('/etc/galenaspoke/local.yaml')
    cfg.listen    # '10.1.0.40:8227'
"""

import os
import re

import yaml

from galenaspoke.edge import settings as edge_settings

PATH_VARIABLE = 'GALENASPOKE_BOOT'
DEFAULT_PATH = '/etc/galenaspoke/local.yaml'

_ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z')
_MISSING = object()


class SettingsInvalid(Exception):
    """The settings file was refused; the text lists every problem."""


class _Reader:
    """Takes values out of nested tables and collects what is wrong."""

    __slots__ = ('path', 'document', 'problems')

    def __init__(self, path, document):
        self.path = path
        self.document = document
        self.problems = []

    def take(self, where, check, allowed, default=_MISSING):
        """Return the value at the dotted name `where`, or its default."""
        value = self.document
        for name in where.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None and default is not _MISSING:
            return default
        if value is None or not check(value):
            self.problems.append(
                f'{self.path}: {where}: {value!r} is not {allowed}'
            )
        return value

    def text(self, where, default=_MISSING):
        return self.take(where, _is_text, 'a text that is not empty', default)

    def address(self, where, default=_MISSING):
        return self.take(where, _is_address, 'IP:PORT', default)

    def number(self, where, default=_MISSING):
        return self.take(where, _is_number, 'a number of 0 or more', default)


def _is_text(value):
    return isinstance(value, str) and bool(value)


def _is_address(value):
    return isinstance(value, str) and bool(_ADDRESS.match(value))


def _is_number(value):
    plain = isinstance(value, int | float) and not isinstance(value, bool)
    return plain and value >= 0


def path_from(environ):
    """Return where the settings file lies."""
    return environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(path=None, serves_callers=True):
    """Return the checked EdgeSettings; raise SettingsInvalid.

    A process that doesn't serve callers needs no addresses for that.
    """
    path = path or path_from(os.environ)
    try:
        with open(path, encoding='utf-8') as settings_file:
            document = yaml.safe_load(settings_file)
    except OSError as exc:
        raise SettingsInvalid(f'{path}: {exc.strerror}') from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        raise SettingsInvalid(f'{path}: not YAML: {exc}') from exc
    if not isinstance(document, dict):
        raise SettingsInvalid(f'{path}: not a table of settings')
    reader = _Reader(path, document)
    cfg = _build_settings(reader, serves_callers)
    if reader.problems:
        raise SettingsInvalid('\n'.join(reader.problems))
    return cfg


def _build_settings(reader, serves_callers):
    optional = _MISSING if serves_callers else ''
    seconds = _to_ms(reader)
    return edge_settings.EdgeSettings(
        name=reader.text('Node'),
        domain=reader.text('Zone'),
        listen=reader.address('Listen.Front', optional),
        ready_listen=reader.address('Listen.Ready', optional),
        store=reader.address('Platform.Addr'),
        grace_ms=seconds('Bounds.GraceS', 8),
        retry_ratio=reader.number('Bounds.RetryRatio', 0.2),
        retry_window_ms=seconds('Bounds.RetryWindowS', 10),
        retry_slack=reader.number('Bounds.RetrySlack', 0),
        peer_listen=_peer_listen(reader),
    )


def _peer_listen(reader):
    """Return the first address for talk between processes, '' for none."""
    ports = reader.take('PortRange', _is_port_range, 'two ports', None)
    host = reader.document.get('BindIp')
    return f'{host}:{ports[0]}' if ports and host else ''


def _is_port_range(value):
    whole = isinstance(value, list) and len(value) == 2
    return whole and all(isinstance(port, int) for port in value)


def _to_ms(reader):
    def take(where, default):
        value = reader.number(where, default)
        return int(value * 1000) if _is_number(value) else 0

    return take
