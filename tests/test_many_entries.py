"""Placement by many entries, each of which hears the others late."""

import collections
import random

import loads

from gorsefall.emulator import simulation
from gorsefall.emulator import policies
from gorsefall.policy import knowledge
from gorsefall.policy import membership
from gorsefall.policy import placement
from gorsefall.policy import partition
from gorsefall.policy import unreported

FLEET = loads.AUTHORITY.with_rates_scaled(
    digest=6.0, advice=6.0, chat=6.0).with_fields(count=40,
                                                  slots=32,
                                                  entries=60,
                                                  exchange_ms=2400.0)
"""Six times the authority's load at 40 small engines."""

IN_TIME = 0.95
"""Share of long answers that the users want on time."""


def test_long_answers_find_slots_though_entries_hear_late():
    """Pattern: the usual load of a fleet; chats wait for slots beside idle
    engines."""
    found = simulation.simulate(FLEET, policy=policies.placed, seed=0)
    assert found.on_time['chat'] > IN_TIME
    assert found.on_time['digest'] > IN_TIME


def test_a_burst_of_long_answers_is_spread(monkeypatch):
    """Pattern: chats come at 2.5 times their rate; all entries see the same
    engine idle, and one stands full beside ten empty ones."""
    burst = FLEET.with_rates_scaled(chat=2.5)
    spread = simulation.simulate(burst, policy=policies.placed, seed=0)
    monkeypatch.setattr(unreported, 'MAX_SIMULATED', 0)
    herded = simulation.simulate(burst, policy=policies.placed, seed=0)
    assert spread.on_time['chat'] > herded.on_time['chat']


def _writing(count, each):
    targets = [
        knowledge.ReplicaView(f'r{i}', 'z', slots=32, engine=True)
        for i in range(count)
    ]
    for i, target in enumerate(targets):
        target.record_others(membership.InFlight(each(i), 0, each(i)), 0.0)
    return targets


WANT = knowledge.RequestProfile(zone='z', tokens=600, tokens_out=300)


def _picked(targets, service, times=400):
    rng = random.Random(1)
    kept = partition.select_engines(targets, len(targets) // 2)
    picked = collections.Counter()
    for _ in range(times):
        picked[placement.choose(targets, WANT, service, 0.0,
                                rng).target.name] += 1
    assert set(picked) <= kept
    return [picked[name] for name in kept]


def _service(per_s, age_s):
    service = placement.ServiceState()
    service.unreported.arrivals = unreported.Arrivals(per_s, age_s)
    for _ in range(100):
        service.unreported.record_request(True)
    return service


def test_what_is_told_late_spreads_requests():
    """Symptom: one engine stands full; cause: all entries saw it idle."""
    targets = _writing(20, lambda i: 10 + i)
    counts = _picked(targets, _service(per_s=50.0, age_s=1.2))
    assert max(counts) < 3 * sum(counts) / len(counts)


def test_what_is_told_at_once_is_believed():
    targets = _writing(20, lambda i: 10 + i)
    counts = _picked(targets, _service(per_s=50.0, age_s=0.0))
    assert sum(1 for c in counts if c) == 1


def test_slots_are_kept_for_requests_that_are_unseen():
    """Requests that wait for a slot though most engines have some."""
    targets = _writing(20, lambda i: 4)
    kept = partition.DecodePartition().decode_engines(targets,
                                                      writing=80,
                                                      now=0.0,
                                                      unseen=40.0)
    assert len(kept) * 32 >= 80 + 40
    assert len(partition.DecodePartition().decode_engines(targets,
                                                          writing=80,
                                                          now=0.0)) < len(kept)
