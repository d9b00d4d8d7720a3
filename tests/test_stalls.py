"""Distinguishes a link that loses packets from a busy replica.

Guards against chats that leave the decode partition in a burst and are late at
any other engine (on time 0.62 instead of 0.90, hollinbrook scale-2). Prefill in
the partition silences the streams there for 0.2 s; if every silence counted as
a loss, the other engines, which have few streams, would look better.
"""

import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import stalls

RESPONSE_EVENTS = 50
"""Events of a long response."""


def _target():
    return knowledge.ReplicaView(name='e', zone='z', slots=64, engine=True)


def _play(gaps, responses=4):
    """Plays responses; ``gaps`` are pairs ``(time in s, events)``."""
    target = _target()
    link = target.link
    now = 0.0
    for _ in range(responses):
        monitor = stalls.StreamMonitor(target)
        for gap, events in gaps:
            now += gap
            monitor.record_events(events, now)
    return link, now


STEADY = [(0.03, 1)] * 12


@pytest.mark.parametrize(
    'gaps, lossy',
    [
        (STEADY * 4, False),
        # A prefill beside the stream, which continues event by event.
        (STEADY + [(0.25, 1)] + STEADY + [(0.24, 1)] + STEADY, False),
        # A lost packet arrives together with everything that waited behind it.
        (STEADY + [(0.25, 8)] + STEADY + [(0.24, 7)] + STEADY, True),
        # The same, in several parts in quick succession.
        (STEADY + [(0.25, 1), (0.001, 7)] + STEADY + [(0.24, 1),
                                                      (0.0, 6)], True),
        # Several events at once without a silence: sent that way.
        ([(0.05, 3)] * 20, False),
        # The first event follows the prefill of a long prompt.
        ([(2.0, 5), (0.03, 1)] * 1, False),
    ])
def test_losses_and_prefill_are_distinguished(gaps, lossy):
    link, now = _play(gaps)
    assert (link.stall_probability(RESPONSE_EVENTS, now)
            > 0.7) == lossy, link.stall_probability(RESPONSE_EVENTS, now)


def test_a_caller_that_does_not_read_is_no_packet_loss():
    target = _target()
    link = target.link
    monitor = stalls.StreamMonitor(target)
    now = 0.0
    for _ in range(20):
        monitor.record_events(1, now)
        monitor.record_pause()
        now += 1.0
        monitor.record_events(9, now)
        now += 0.03
    assert link.stall_probability(RESPONSE_EVENTS, now) < 0.3


def test_a_single_loss_has_little_effect():
    """A session leaves its affinity replica after a single lost packet, and its
    prompt is prefilled again."""
    link, now = _play([*STEADY, (0.25, 8), *STEADY], responses=1)
    assert link.stall_probability(RESPONSE_EVENTS, now) < 0.8


def test_losses_decay():
    """A replica is avoided for good: its link lost packets, nothing is sent
    there any more, and so no sample shows that the link has recovered."""
    link, now = _play([*STEADY, (0.25, 8)] * 3)
    assert link.stall_probability(RESPONSE_EVENTS, now) > 0.85
    assert link.stall_probability(RESPONSE_EVENTS, now + 25.0) < 0.3


@pytest.mark.parametrize('tokens_out', [60, 300, 1500])
def test_a_link_without_samples_counts_as_good(tokens_out):
    """Chats are late in a burst on one of six days (on time 0.82 instead of
    1.00, kasa scale-1). The engine of the decode partition crashes, a new one
    replaces it, and long responses avoid it, so that it never gets a sample. An
    assumed loss must not weigh more than the observed loss of others.
    """
    assert stalls.LinkQuality().stall_probability(tokens_out, 5.0) == 0.0
