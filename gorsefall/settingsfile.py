"""Settings files: TOML read into a typed structure."""

import tomllib

import msgspec

from gorsefall import errors


def parse(text, kind, source):
    """Returns the ``kind`` that TOML ``text`` describes.

    Args:
        text: The file's text.
        kind: A ``msgspec.Struct`` type.
        source: What errors name the text by.

    Raises:
        errors.SettingsError: Bad TOML, wrong types, unknown keys.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.SettingsError(f'{source}: not TOML: {exc}') from exc
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(f'{source}: {exc}') from exc


def read(path):
    """Returns the text of a settings file.

    Raises:
        errors.SettingsError: It cannot be read.
    """
    try:
        with open(path, encoding='utf-8') as f:
            return f.read()
    except OSError as exc:
        raise errors.SettingsError(f'{path}: {exc.strerror}') from exc
