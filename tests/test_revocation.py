"""API keys while the configuration can't be confirmed."""

import types

import pytest
import relay_settings

from gorsefall import errors
from gorsefall.net import headers
from gorsefall.policy import freshness
from gorsefall.relay import grant
from gorsefall.relay import model
from gorsefall.relay import pacing
from gorsefall.relay import routes
from gorsefall.relay import topic

ROUTE = model.Route(name='r',
                    host='h',
                    prefix='/',
                    kind=model.RouteKind.IDEMPOTENT,
                    timeout_s=1.0,
                    target_s=0.2,
                    priority=0,
                    services=(('s', 1.0),))


def _table(version, *keys):
    account = model.Account(name='a')
    return routes.Table(version=version,
                        routes=[ROUTE],
                        services={},
                        limits=model.CallerLimits(),
                        accounts=dict.fromkeys(keys, account),
                        requires_key=True)


def _grant(table, key, *, strict):
    entry = types.SimpleNamespace(
        table=table,
        confirmation=freshness.Confirmation(1.0),
        cfg=relay_settings.relay(strict_revocation=strict))
    req = model.CallerRequest(id='1',
                              method=b'GET',
                              target=b'/x',
                              host='h',
                              headers=headers.from_items([]),
                              key=key)
    return grant.Grant(entry, req)


def test_known_keys_stay_valid_unless_revocation_is_strict():
    """Requests must not be refused needlessly while the store is away."""
    found = _grant(_table(1, 'k'), 'k', strict=False)
    found.renew()
    assert found.account.name == 'a'
    with pytest.raises(errors.UnconfirmedError):
        _grant(_table(1, 'k'), 'k', strict=True).renew()


@pytest.mark.parametrize('strict', [True, False])
def test_a_key_known_to_be_revoked_is_denied_at_once(strict):
    with pytest.raises(errors.UnknownKeyError):
        _grant(_table(2), 'k', strict=strict).renew()


def test_a_lost_response_is_detected_before_the_configuration_is_overdue():
    """A lost response to a read must not delay a change past its bound."""
    for apply_s, settle_s in ((2.0, 3.0), (3.0, 4.0), (1.0, 0.5)):
        cfg = relay_settings.relay(strict_revocation=False,
                                   apply_s=apply_s,
                                   settle_s=settle_s)
        wait_s = pacing.config_wait_s(cfg)
        noticed_s = wait_s + topic.SILENCE_TIMEOUT_S
        assert (noticed_s < max(apply_s, settle_s) or
                wait_s == pacing.MIN_CONFIG_WAIT_S)


def test_waits_are_short_if_revocation_is_strict():
    cfg = relay_settings.relay(strict_revocation=True)
    assert pacing.config_wait_s(cfg) <= pacing.MAX_CONFIG_WAIT_S


@pytest.mark.parametrize('strict', [True, False])
def test_own_reads_come_before_an_unconfirmed_configuration_is_refused(strict):
    """Guards against refusals by an entry that only lost the other entries."""
    cfg = relay_settings.relay(strict_revocation=strict,
                               revoke_s=2.4,
                               apply_s=5.0)
    refused_s = cfg.revoke_s - pacing.CONFIRMATION_MARGIN_S
    assert (pacing.max_config_age_s(cfg) <= refused_s) == strict
