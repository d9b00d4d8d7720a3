"""Placement by many entries that receive each other's reports late."""

import collections
import random

import loads

from gorsefall.emulator import simulation
from gorsefall.emulator import policies
from gorsefall.policy import entrystatus
from gorsefall.policy import knowledge
from gorsefall.policy import partition
from gorsefall.policy import placement
from gorsefall.policy import unreported

FLEET = loads.AUTHORITY.with_rates_scaled(
    digest=6.0, advice=6.0, chat=6.0).with_fields(count=40,
                                                  slots=32,
                                                  entries=60,
                                                  exchange_ms=2400.0)
"""Six times the authority's load at 40 small engines."""

MIN_ON_TIME_SHARE = 0.95
"""Required share of long responses that are on time."""


def test_long_responses_find_slots_despite_late_reports():
    """At the usual load of a fleet, chats wait beside idle engines."""
    found = simulation.simulate(FLEET, policy=policies.placed, seed=0)
    assert found.on_time['chat'] > MIN_ON_TIME_SHARE
    assert found.on_time['digest'] > MIN_ON_TIME_SHARE


def test_a_burst_of_long_responses_is_spread(monkeypatch):
    """Chats arrive at 2.5 times their rate, all entries see the same engine
    idle, and it is full beside ten idle ones."""
    burst = FLEET.with_rates_scaled(chat=2.5)
    spread = simulation.simulate(burst, policy=policies.placed, seed=0)
    monkeypatch.setattr(unreported, 'MAX_SIMULATED', 0)
    herded = simulation.simulate(burst, policy=policies.placed, seed=0)
    assert spread.on_time['chat'] > herded.on_time['chat']


def _engines(count, each):
    targets = [
        knowledge.ReplicaView(f'r{i}', 'z', slots=32, engine=True)
        for i in range(count)
    ]
    for i, target in enumerate(targets):
        target.record_others(entrystatus.InFlight(each(i), 0, each(i)), 0.0)
    return targets


PROFILE = knowledge.RequestProfile(zone='z', tokens=600, tokens_out=300)


def _picked(targets, service, times=400):
    rng = random.Random(1)
    names = partition.select_engines(targets, len(targets) // 2)
    picked = collections.Counter()
    for _ in range(times):
        picked[placement.choose(targets, PROFILE, service, 0.0,
                                rng).target.name] += 1
    assert set(picked) <= names
    return [picked[name] for name in names]


def _service(per_s, age_s):
    service = placement.ServiceState()
    service.unreported.arrivals = unreported.Arrivals(per_s, age_s)
    for _ in range(100):
        service.unreported.record_request(True)
    return service


def test_late_reports_spread_requests():
    """One engine is full because all entries saw it idle."""
    targets = _engines(20, lambda i: 10 + i)
    counts = _picked(targets, _service(per_s=50.0, age_s=1.2))
    assert max(counts) < 3 * sum(counts) / len(counts)


def test_current_reports_are_used_as_they_are():
    targets = _engines(20, lambda i: 10 + i)
    counts = _picked(targets, _service(per_s=50.0, age_s=0.0))
    assert sum(1 for c in counts if c) == 1


def test_the_partition_has_slots_for_unreported_requests():
    """Requests wait for a slot although most engines have some available."""
    targets = _engines(20, lambda i: 4)
    names = partition.DecodePartition().decode_engines(targets,
                                                       requests=80,
                                                       now=0.0,
                                                       unreported=40.0)
    assert len(names) * 32 >= 80 + 40
    assert len(partition.DecodePartition().decode_engines(targets,
                                                          requests=80,
                                                          now=0.0)) < len(names)
