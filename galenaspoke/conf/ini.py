"""Loading and validation of settings from INI files.

Example::

    cfg = ini.load('router.ini', definitions.RouterConfig)
    cfg.router.listen    # '127.0.0.1:8101'
"""

import configparser
import dataclasses


class SettingsInvalid(Exception):
    """A settings file is invalid; the message lists every problem."""


def load(path, config_class):
    """Return an instance of `config_class`, filled from a file.

    `config_class` is a value of `definitions.CONFIG_CLASSES`.  Raises
    SettingsInvalid with one line per problem: file, section, option, the
    value found and what is allowed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as ini_file:
            parser.read_file(ini_file)
    except OSError as exc:
        raise SettingsInvalid(f'{path}: {exc.strerror}') from exc
    except UnicodeDecodeError as exc:
        raise SettingsInvalid(f'{path}: not UTF-8 text: {exc}') from exc
    except configparser.Error as exc:
        raise SettingsInvalid(f'{path}: {exc.message}') from exc
    problems = []
    sections = {}
    section_classes = {
        field.name: field.type for field in dataclasses.fields(config_class)
    }
    for name in parser.sections():
        if name not in section_classes:
            allowed = ', '.join(section_classes)
            problems.append(
                f'{path}: [{name}]: unknown section; allowed: {allowed}'
            )
    for name, section_class in section_classes.items():
        raw_values = dict(parser[name]) if parser.has_section(name) else {}
        location = f'{path}: [{name}]'
        sections[name] = _read_section(
            location, section_class, raw_values, problems
        )
    if problems:
        raise SettingsInvalid('\n'.join(problems))
    return config_class(**sections)


def _read_section(location, section_class, raw_values, problems):
    """Return one section's settings; add what is wrong to `problems`.

    Returns None if `problems` is not empty.
    """
    values = {}
    for field in dataclasses.fields(section_class):
        check = field.metadata['check']
        if field.name not in raw_values:
            if field.default is dataclasses.MISSING:
                problems.append(
                    f'{location} {field.name}: missing; must be'
                    f' {check.allowed}'
                )
            continue
        raw_value = raw_values.pop(field.name)
        value = _convert(field.type, raw_value)
        if value is None or not check.accepts(value):
            problems.append(
                f'{location} {field.name}: {raw_value!r} is not'
                f' {check.allowed}'
            )
        values[field.name] = value
    for name in raw_values:
        allowed = ', '.join(f.name for f in dataclasses.fields(section_class))
        problems.append(
            f'{location} {name}: unknown option; allowed: {allowed}'
        )
    if problems:
        return None
    return section_class(**values)


def _convert(field_type, raw_value):
    """Return the converted value, or None if it is not a `field_type`."""
    if field_type is not int:
        return raw_value
    try:
        return int(raw_value)
    except ValueError:
        return None


def describe(config_class):
    """Yield (section, option, default, allowed, help) for every setting."""
    for section in dataclasses.fields(config_class):
        for field in dataclasses.fields(section.type):
            check = field.metadata['check']
            is_required = field.default is dataclasses.MISSING
            default = 'required' if is_required else str(field.default)
            yield (
                section.name,
                field.name,
                default,
                check.allowed,
                field.metadata['help'],
            )
