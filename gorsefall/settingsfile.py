"""Reads TOML settings files into validated typed structures."""

import tomllib

import msgspec

from gorsefall import errors

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def loads(text, kind, problems, source):
    """Returns the ``kind`` that TOML ``text`` describes.

    Args:
        text: Text of the file.
        kind: A ``msgspec.Struct`` type.
        problems: Called with the decoded structure; yields a message for each
            field with a fault that its type does not exclude.
        source: Name of the text in error messages.

    Raises:
        errors.SettingsError: Invalid TOML, wrong types, unknown keys, or any
            problem; all problems are reported at once.
    """
    try:
        cfg = msgspec.convert(tomllib.loads(text), kind)
    except tomllib.TOMLDecodeError as exc:
        raise errors.SettingsError(f'{source}: not TOML: {exc}') from exc
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(f'{source}: {exc}') from exc
    found = list(problems(cfg))
    if found:
        raise errors.SettingsError(f'{source}: ' + '; '.join(found))
    return cfg


def load(path, kind, problems):
    """Reads a settings file; see ``loads``.

    Raises:
        errors.SettingsError: The file is unreadable or invalid.
    """
    try:
        with open(path, encoding='utf-8') as f:
            text = f.read()
    except OSError as exc:
        raise errors.SettingsError(f'{path}: {exc.strerror}') from exc
    return loads(text, kind, problems, str(path))


def addr_problems(addrs):
    """Yields a message for each address that is not ``host:port``.

    Args:
        addrs: ``(key, address)`` pairs.
    """
    for key, text in addrs:
        try:
            split_addr(text)
        except errors.SettingsError as exc:
            yield f'{key}: {exc}'


def split_addr(text):
    """Returns ``(host, port)`` of ``"host:port"``.

    Raises:
        errors.SettingsError: The text is not ``host:port``.
    """
    host, sep, port = text.rpartition(':')
    if (not sep or not port.isascii() or not port.isdigit() or
            len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT):
        raise errors.SettingsError(f'not host:port: {text!r}')
    return host, int(port)
