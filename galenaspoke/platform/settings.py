"""Reads the settings file that the platform provides for a process.

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
    """The settings file is invalid; the message lists every problem."""


class _Reader:
    """Reads values from nested mappings and collects all problems."""

    __slots__ = ('path', 'document', 'problems')

    def __init__(self, path, document):
        self.path = path
        self.document = document
        self.problems = []

    def read(self, name, is_valid, expected, default=_MISSING):
        """Return the value with a dotted name, or the default.

        If `is_valid` rejects the value, records a problem that names what is
        `expected`.
        """
        value = self.document
        for part in name.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not _MISSING:
            return default
        if value is None or not is_valid(value):
            self.problems.append(
                f'{self.path}: {name}: got {value!r}, expected {expected}'
            )
        return value

    def read_text(self, name, default=_MISSING):
        return self.read(name, _is_text, 'a non-empty string', default)

    def read_address(self, name, default=_MISSING):
        return self.read(name, _is_address, 'IP:PORT', default)

    def read_number(self, name, default=_MISSING):
        return self.read(name, _is_number, 'a number >= 0', default)


def _is_text(value):
    return isinstance(value, str) and bool(value)


def _is_address(value):
    return isinstance(value, str) and bool(_ADDRESS.match(value))


def _is_number(value):
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value >= 0


def get_settings_path(environ):
    """Return the path of the settings file."""
    return environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(path=None, serves_callers=True):
    """Return the validated EdgeSettings; raise SettingsInvalid.

    With `serves_callers=False` the addresses for callers are optional.
    """
    path = path or get_settings_path(os.environ)
    try:
        with open(path, encoding='utf-8') as settings_file:
            document = yaml.safe_load(settings_file)
    except OSError as exc:
        raise SettingsInvalid(f'{path}: {exc.strerror}') from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        raise SettingsInvalid(f'{path}: not YAML: {exc}') from exc
    if not isinstance(document, dict):
        raise SettingsInvalid(f'{path}: expected a mapping of settings')
    reader = _Reader(path, document)
    cfg = _build_settings(reader, serves_callers)
    if reader.problems:
        raise SettingsInvalid('\n'.join(reader.problems))
    return cfg


def _build_settings(reader, serves_callers):
    address_default = _MISSING if serves_callers else ''
    read_ms = _make_ms_reader(reader)
    return edge_settings.EdgeSettings(
        name=reader.read_text('Node'),
        domain=reader.read_text('Zone'),
        listen=reader.read_address('Listen.Front', address_default),
        ready_listen=reader.read_address('Listen.Ready', address_default),
        store=reader.read_address('Platform.Addr'),
        grace_ms=read_ms('Bounds.GraceS', 8),
        retry_ratio=reader.read_number('Bounds.RetryRatio', 0.2),
        retry_window_ms=read_ms('Bounds.RetryWindowS', 10),
        retry_slack=reader.read_number('Bounds.RetrySlack', 0),
        peer_listen=_read_peer_address(reader),
        evacuation_ms=reader.read_number('Bounds.EvacuateMs', 0),
        memory_mb=reader.read_number('Limits.MemoryMb', 0),
        store_writes_per_s=reader.read_number('Platform.WritesPerS', 0),
    )


def _read_peer_address(reader):
    """Return the address for other processes, '' if there is none.

    The first port of the range is used.
    """
    ports = reader.read(
        'PortRange', _is_port_range, 'a list of two ports', None
    )
    host = reader.document.get('BindIp')
    return f'{host}:{ports[0]}' if ports and host else ''


def _is_port_range(value):
    is_pair = isinstance(value, list) and len(value) == 2
    return is_pair and all(isinstance(port, int) for port in value)


def _make_ms_reader(reader):
    """Return a function that reads a number of seconds as milliseconds."""

    def read_ms(name, default):
        value = reader.read_number(name, default)
        return int(value * 1000) if _is_number(value) else 0

    return read_ms
