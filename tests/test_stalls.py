"""Telling a link that loses packets from a replica that is busy.

Symptom: chats leave the engine that is kept for them in a burst, and come late
wherever they go (0.62 instead of 0.90 of a day, hollinbrook scale-2). Sequence:
prompts are read there too, each holding up the streams beside it for 0.2 s; the
silence is taken for losses; the other engines, which read all the time, show
few streams and look sound. Cause: any silence counted.
"""

import pytest

from gorsefall.policy import knowledge
from gorsefall.policy import stalls

ANSWER = 50
"""Events of a long answer."""


def _target():
    return knowledge.ReplicaView(name='e', zone='z', slots=64, engine=True)


def _played(gaps, answers=4):
    """Plays answers; ``gaps`` are s to the next events, and their number."""
    target = _target()
    link = target.link
    now = 0.0
    for _ in range(answers):
        pulse = stalls.StreamMonitor(target)
        for gap, events in gaps:
            now += gap
            pulse.record_events(events, now)
    return link, now


STEADY = [(0.03, 1)] * 12


@pytest.mark.parametrize(
    'gaps, lossy',
    [
        (STEADY * 4, False),
        # A prompt is read beside it; the stream goes on event by event.
        (STEADY + [(0.25, 1)] + STEADY + [(0.24, 1)] + STEADY, False),
        # What was lost comes with all that waited behind it, in one piece.
        (STEADY + [(0.25, 8)] + STEADY + [(0.24, 7)] + STEADY, True),
        # The same, in pieces right after each other.
        (STEADY + [(0.25, 1), (0.001, 7)] + STEADY + [(0.24, 1),
                                                      (0.0, 6)], True),
        # Several events at once without a silence: written so.
        ([(0.05, 3)] * 20, False),
        # The first event follows the reading of a long prompt.
        ([(2.0, 5), (0.03, 1)] * 1, False),
    ])
def test_losses_and_reading_are_told_apart(gaps, lossy):
    link, now = _played(gaps)
    assert (link.stall_probability(ANSWER, now)
            > 0.7) == lossy, link.stall_probability(ANSWER, now)


def test_a_caller_that_does_not_read_is_no_loss():
    target = _target()
    link = target.link
    pulse = stalls.StreamMonitor(target)
    now = 0.0
    for _ in range(20):
        pulse.record_events(1, now)
        pulse.record_pause()
        now += 1.0
        pulse.record_events(9, now)
        now += 0.03
    assert link.stall_probability(ANSWER, now) < 0.3


def test_one_loss_is_no_sign():
    """Links lose a packet now and then; a session that leaves its home for
    that has its prompt read again."""
    link, now = _played([*STEADY, (0.25, 8), *STEADY], answers=1)
    assert link.stall_probability(ANSWER, now) < 0.8


def test_losses_are_forgotten():
    """Symptom: a replica is left alone for good. Sequence: its link lost
    packets, nothing is sent there, so nothing shows that it is sound."""
    link, now = _played([*STEADY, (0.25, 8)] * 3)
    assert link.stall_probability(ANSWER, now) > 0.85
    assert link.stall_probability(ANSWER, now + 25.0) < 0.3


@pytest.mark.parametrize('tokens_out', [60, 300, 1500])
def test_a_replica_nobody_was_sent_to_is_no_risk(tokens_out):
    """Symptom: chats late in a burst, on one of six days alike (0.82 instead
    of 1.00, kasa scale-1). Sequence: the quiet engine crashes and a new one
    takes its place; long answers avoid it, so nothing is ever seen of it.
    Cause: what was guessed of it weighed more than what was seen of others.
    """
    assert stalls.LinkQuality().stall_probability(tokens_out, 5.0) == 0.0
