"""Prompts that are fetched from where they are kept, not read anew."""

import loads
import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import placement
from gorsefall.policy import prompts

PARTS = (prompts.Part('doc', 2500), prompts.Part('session', 3800))
WANT = knowledge.RequestProfile(zone='z',
                                parts=PARTS,
                                tokens=9000,
                                tokens_out=50,
                                queue_limit_ms=400.0)
FETCH_MS = 0.0035
"""Time to fetch a token, from the valuation desk's engines: a seventh of the
time to read one."""


def _targets(count=3):
    return [
        knowledge.ReplicaView(name=f'r{i}', zone='z', slots=64, engine=True)
        for i in range(count)
    ]


def _choose(targets, fetch_ms=FETCH_MS, **more):
    service = placement.ServiceState(fetch_ms=fetch_ms)
    return placement.choose(targets, WANT, service, 0.0, **more)


def test_a_prompt_is_fetched_where_its_keeper_is_busy():
    """Symptom: prompts of 6,300 tokens read anew all over in a burst. Sequence:
    the engine that keeps one has a queue, the request goes to another, which
    reads it all. Cause: nothing told that one where the prompt lies."""
    keeper, *others = targets = _targets()
    keeper.prompt_cache.record_use(PARTS)
    keeper.record_sent(30000)
    choice = _choose(targets)
    assert choice.target in others
    assert choice.fetch_source is keeper
    assert choice.prefill_tokens == 9000 - 6300


def test_nothing_is_fetched_by_the_keeper_itself():
    keeper, *_ = targets = _targets()
    keeper.prompt_cache.record_use(PARTS)
    choice = _choose(targets)
    assert choice.target is keeper and choice.fetch_source is None


@pytest.mark.parametrize('fetch_ms', [0.0, 0.02])
def test_nothing_is_fetched_where_that_is_no_quicker(fetch_ms):
    keeper, *_ = targets = _targets()
    keeper.prompt_cache.record_use(PARTS)
    keeper.record_sent(60000)
    assert _choose(targets, fetch_ms).fetch_source is None


def test_a_replica_that_leaves_still_lends_its_prompts():
    """Symptom: a second of late answers each time a replica is taken away.
    Sequence: all its sessions go on elsewhere and are read anew there."""
    *targets, leaving = _targets()
    leaving.prompt_cache.record_use(PARTS)
    assert _choose(targets, sources=[leaving]).fetch_source is leaving


def test_a_replica_that_failed_lends_nothing():
    keeper, *_ = targets = _targets()
    keeper.prompt_cache.record_use(PARTS)
    keeper.record_failure(0.0)
    assert _choose(targets).fetch_source is None


def test_a_burst_of_long_prompts_with_prompts_fetched():
    """Pattern: dossiers of 9,000 tokens at 2.3 times their rate beside long
    answers. Grounds: the valuation desk's load sheet; 6 seeds, 0.89 of the
    worth earned against 0.855 where nothing is fetched."""
    burst = loads.VALUATION.with_rates_scaled(dossier=2.3)
    fetching = loads.means(burst)
    reading = loads.means(burst.with_fields(fetch_ms=0.0))
    assert fetching.worth > reading.worth + 0.02
    assert fetching.on_time['dossier'] > reading.on_time['dossier']
