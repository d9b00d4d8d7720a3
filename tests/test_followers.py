"""Followers of the store after a change of the settings."""

import types
from unittest import mock

import pytest
import relay_settings

from gorsefall.relay import followers


@pytest.mark.parametrize(('fields', 'anew'), [
    ({}, False),
    ({
        'grace_s': 1.0
    }, False),
    ({
        'store': 'h:4'
    }, True),
    ({
        'revoke_s': 2.0
    }, True),
    ({
        'leave_s': 1.0
    }, True),
    ({
        'apply_s': 1.0
    }, True),
])
def test_shorter_bounds_hold_as_soon_as_they_are_set(fields, anew):
    """Guards against followers that go on at the pace of longer bounds."""
    node = types.SimpleNamespace(cfg=relay_settings.relay(**fields))
    found = followers.Followers(node, None)
    with mock.patch.object(found, '_start_followers') as start:
        found.apply_settings(relay_settings.relay())
    assert start.called == anew
