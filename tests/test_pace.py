"""Speeds of replicas, estimated from their responses."""

import random

import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import pace
from gorsefall.policy import placement


@pytest.mark.parametrize('ms_per_token', [0.004, 0.0176, 0.0235, 0.2])
def test_the_prefill_speed_is_estimated_despite_waits(ms_per_token):
    """Half of the responses waited behind work that was not reported."""
    rng = random.Random(1)
    speed = pace.ServiceSpeed()
    for _ in range(200):
        tokens = rng.randint(1000, 12000)
        unknown = rng.choice([0, 0, rng.randint(0, 9000)])
        speed.record_start((tokens + unknown) * ms_per_token, tokens, 1.0)
    assert speed.prefill_ms_per_token == pytest.approx(ms_per_token, rel=0.25)


def test_short_prompts_are_no_samples():
    """A round trip of 3 ms counts as the prefill of 20 tokens."""
    speed = pace.ServiceSpeed()
    for _ in range(100):
        speed.record_start(3.0, 20, 1.0)
    assert speed.prefill_ms_per_token == pace.INITIAL_PREFILL_MS_PER_TOKEN


def _targets(pauses):
    targets = []
    for i, pause in enumerate(pauses):
        target = knowledge.ReplicaView(name=f'r{i}',
                                       zone='z',
                                       slots=8,
                                       engine=True)
        for _ in range(200 if pause else 0):
            target.pause.record(pause)
        targets.append(target)
    return targets


def test_a_slow_replica_is_detected():
    """Two long responses reveal an engine that became five times slower."""
    targets = _targets([20, 20, 100, 0])
    usual = pace.usual_pause_ms(targets)
    assert pace.slowness(targets[0], usual) == pytest.approx(1.0, abs=0.2)
    assert pace.slowness(targets[2], usual) == pytest.approx(5.0, rel=0.2)
    # The last one has no samples.
    assert pace.slowness(targets[3], usual) == 1.0


def test_a_single_replica_is_never_slow():
    targets = _targets([100])
    assert pace.slowness(targets[0], pace.usual_pause_ms(targets)) == 1.0


def test_prompts_leave_a_replica_that_became_slow():
    """One of five engines becomes five times slower, and the responses of its
    sessions are late because they keep their affinity replica.

    At 0.0235 ms per token the prefill of 9,000 tokens takes 0.2 s; five times
    that exceeds every latency target.
    """
    targets = _targets([20, 20, 20, 20, 100])
    service = placement.ServiceState()
    slow = targets[-1]
    for i in range(50):
        profile = knowledge.RequestProfile(zone='z',
                                           tokens=9000 + i,
                                           tokens_out=50)
        choice = placement.choose(targets, profile, service, 0.0)
        assert choice.target is not slow
