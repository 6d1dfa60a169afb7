"""Reads an INI file into a settings object, and says what is wrong with it.

Example::

    cfg = ini.load('router.ini', defaults.RouterConfig)
    cfg.router.listen    # '127.0.0.1:8101'
"""

import configparser
import dataclasses


class SettingsInvalid(Exception):
    """A settings file was refused; the text lists every problem."""


def load(path, program):
    """Return `program`, a class of `defaults`, filled from a file.

    Raises SettingsInvalid with a line for each problem: file, section,
    option, what was found and what is allowed.
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
    known = {field.name: field.type for field in dataclasses.fields(program)}
    for name in parser.sections():
        if name not in known:
            allowed = ', '.join(known)
            problems.append(
                f'{path}: [{name}]: unknown section; allowed:' f' {allowed}'
            )
    for name, section in known.items():
        found = dict(parser[name]) if parser.has_section(name) else {}
        where = f'{path}: [{name}]'
        sections[name] = _section(where, section, found, problems)
    if problems:
        raise SettingsInvalid('\n'.join(problems))
    return program(**sections)


def _section(where, section, found, problems):
    values = {}
    for field in dataclasses.fields(section):
        check = field.metadata['check']
        if field.name not in found:
            if field.default is dataclasses.MISSING:
                problems.append(
                    f'{where} {field.name}: missing; must be'
                    f' {check.allowed}'
                )
            continue
        text = found.pop(field.name)
        value = _convert(field.type, text)
        if value is None or not check.accepts(value):
            problems.append(
                f'{where} {field.name}: {text!r} is not' f' {check.allowed}'
            )
        values[field.name] = value
    for name in found:
        allowed = ', '.join(f.name for f in dataclasses.fields(section))
        problems.append(f'{where} {name}: unknown option; allowed: {allowed}')
    if problems:
        return None
    return section(**values)


def _convert(kind, text):
    if kind is not int:
        return text
    try:
        return int(text)
    except ValueError:
        return None


def describe(program):
    """Yield (section, option, default, allowed, help) of every setting."""
    for part in dataclasses.fields(program):
        for field in dataclasses.fields(part.type):
            check = field.metadata['check']
            required = field.default is dataclasses.MISSING
            default = 'required' if required else str(field.default)
            yield (
                part.name,
                field.name,
                default,
                check.allowed,
                field.metadata['help'],
            )
