"""Cached prompts are fetched from another replica instead of prefilled."""

import loads
import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import placement
from gorsefall.policy import prompts

PARTS = (prompts.Part('doc', 2500), prompts.Part('session', 3800))
PROFILE = knowledge.RequestProfile(zone='z',
                                   parts=PARTS,
                                   tokens=9000,
                                   tokens_out=50,
                                   queue_limit_ms=400.0)
FETCH_MS = 0.0035
"""Time to fetch a token at the engines of the valuation desk, ms: a seventh of
the time to prefill one."""


def _targets(count=3):
    return [
        knowledge.ReplicaView(name=f'r{i}', zone='z', slots=64, engine=True)
        for i in range(count)
    ]


def _choose(targets, fetch_ms=FETCH_MS, **more):
    service = placement.ServiceState(fetch_ms=fetch_ms)
    return placement.choose(targets, PROFILE, service, 0.0, **more)


def test_a_prompt_is_fetched_if_its_replica_is_busy():
    """Prompts of 6,300 cached tokens are prefilled again everywhere in a burst:
    the engine that caches one has a queue, and the engine that gets the request
    does not know where the prompt is cached."""
    affinity, *others = targets = _targets()
    affinity.prompt_cache.record_use(PARTS)
    affinity.record_sent(30000)
    choice = _choose(targets)
    assert choice.target in others
    assert choice.fetch_source is affinity
    assert choice.prefill_tokens == 9000 - 6300


def test_a_replica_does_not_fetch_its_own_prompts():
    affinity, *_ = targets = _targets()
    affinity.prompt_cache.record_use(PARTS)
    choice = _choose(targets)
    assert choice.target is affinity and choice.fetch_source is None


@pytest.mark.parametrize('fetch_ms', [0.0, 0.02])
def test_nothing_is_fetched_if_prefill_is_as_fast(fetch_ms):
    affinity, *_ = targets = _targets()
    affinity.prompt_cache.record_use(PARTS)
    affinity.record_sent(60000)
    assert _choose(targets, fetch_ms).fetch_source is None


def test_prompts_are_fetched_from_a_draining_replica():
    """Responses are late for a second whenever a replica is removed: all its
    sessions continue elsewhere, and their prompts are prefilled again."""
    *targets, leaving = _targets()
    leaving.prompt_cache.record_use(PARTS)
    assert _choose(targets, sources=[leaving]).fetch_source is leaving


def test_nothing_is_fetched_from_a_failed_replica():
    affinity, *_ = targets = _targets()
    affinity.prompt_cache.record_use(PARTS)
    affinity.record_failure(0.0)
    assert _choose(targets).fetch_source is None


def test_fetching_improves_a_burst_of_long_prompts():
    """Dossiers of 9,000 tokens arrive at 2.3 times their rate beside long
    responses: load of the valuation desk, 6 seeds, 0.89 of the worth against
    0.855 without fetching."""
    burst = loads.VALUATION.with_rates_scaled(dossier=2.3)
    fetching = loads.means(burst)
    prefilling = loads.means(burst.with_fields(fetch_ms=0.0))
    assert fetching.worth > prefilling.worth + 0.02
    assert fetching.on_time['dossier'] > prefilling.on_time['dossier']
