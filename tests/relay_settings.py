"""Settings of an entry, as far as a test needs them."""

from gorsefall.relay import settings


def relay(**fields):
    """Returns a ``settings.Relay`` with these fields."""
    return settings.Relay(
        **{
            'name': 'e',
            'zone': 'z',
            'callers': 'h:1',
            'readiness': 'h:2',
            'store': 'h:3'
        } | fields)
