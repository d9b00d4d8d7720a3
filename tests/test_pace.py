"""Speeds learned from answers, whatever the data sheet says."""

import random

import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import pace
from gorsefall.policy import placement


@pytest.mark.parametrize('ms_per_token', [0.004, 0.0176, 0.0235, 0.2])
def test_the_reading_speed_is_found_through_waits(ms_per_token):
    """Half of the answers waited behind work that nobody told of."""
    rng = random.Random(1)
    known = pace.ServiceSpeed()
    for _ in range(200):
        tokens = rng.randint(1000, 12000)
        unknown = rng.choice([0, 0, rng.randint(0, 9000)])
        known.record_start((tokens + unknown) * ms_per_token, tokens, 1.0)
    assert known.prefill_ms_per_token == pytest.approx(ms_per_token, rel=0.25)


def test_short_prompts_tell_nothing():
    """The way there and back, 3 ms, is no reading of 20 tokens."""
    known = pace.ServiceSpeed()
    for _ in range(100):
        known.record_start(3.0, 20, 1.0)
    assert known.prefill_ms_per_token == pace.INITIAL_PREFILL_MS_PER_TOKEN


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


def test_a_slow_replica_is_told_from_the_others():
    """Two usual long answers show an engine that turned five times slower."""
    targets = _targets([20, 20, 100, 0])
    usual = pace.usual_pause_ms(targets)
    assert pace.slowness(targets[0], usual) == pytest.approx(1.0, abs=0.2)
    assert pace.slowness(targets[2], usual) == pytest.approx(5.0, rel=0.2)
    # Nothing is known of the last one: nobody was sent there.
    assert pace.slowness(targets[3], usual) == 1.0


def test_one_replica_alone_is_the_usual():
    targets = _targets([100])
    assert pace.slowness(targets[0], pace.usual_pause_ms(targets)) == 1.0


def test_prompts_leave_a_replica_that_turned_slow():
    """Pattern: one of five engines takes five times as long for everything.

    Symptom: its sessions' answers come late for as long. Cause: their home was
    kept whatever it took. Grounds: at 0.0235 ms a token 9,000 tokens take
    0.2 s, five times as long is over any target of the load sheets.
    """
    targets = _targets([20, 20, 20, 20, 100])
    service = placement.ServiceState()
    slow = targets[-1]
    for i in range(50):
        want = knowledge.RequestProfile(zone='z',
                                        tokens=9000 + i,
                                        tokens_out=50)
        choice = placement.choose(targets, want, service, 0.0)
        assert choice.target is not slow
