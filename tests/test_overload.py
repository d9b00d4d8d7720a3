"""Who is refused under overload, on the emulator, and the parts of it."""

import collections
import random
import statistics

import hypothesis
from hypothesis import strategies as st

from gorsefall import emulator
from gorsefall.policy import overload
from gorsefall.policy import placement

SEEDS = range(6)
FLIGHT_BANK = [
    emulator.burst(emulator.DIGEST, 2.3), emulator.ADVICE, emulator.CHAT
]


def _means(kinds, policy, engines):
    runs = [
        emulator.emulate(kinds, policy=policy, engines=engines, seed=seed)
        for seed in SEEDS
    ]
    names = runs[0].on_time
    return emulator.Result(
        {n: statistics.mean(r.on_time[n] for r in runs) for n in names},
        statistics.mean(r.worth for r in runs))


def test_a_flight_bank_beside_a_lost_engine():
    """Pattern: a bank of flights lands and one of five engines is lost, so
    that more prompts come than can be read.

    Symptom: hardly any digest or chat is on time and callers give up on half
    of the work. Sequence: the queue grows until every prompt waits as long as
    callers do; what spills over makes the chats late as well. Cause: requests
    that can only come late were queued. Figures: the authority's load sheet,
    6 seeds; worth earned 0.75 with refusals against 0.40 without.
    """
    refusing = _means(FLIGHT_BANK, emulator.placed, 4)
    queueing = _means(FLIGHT_BANK, emulator.unrefused, 4)
    assert refusing.worth > queueing.worth + 0.25
    for name in ('digest', 'chat'):
        assert refusing.on_time[name] > queueing.on_time[name] + 0.25


def test_two_engines_lost():
    """Pattern: the same with two of five engines lost; 0.60 against 0.28."""
    refusing = _means(FLIGHT_BANK, emulator.placed, 3)
    queueing = _means(FLIGHT_BANK, emulator.unrefused, 3)
    assert refusing.worth > queueing.worth + 0.2


def test_the_more_urgent_earn_no_smaller_share():
    """Pattern: the same flight bank. A kind that is more urgent must not be
    refused to make room for a less urgent one: limits grow with the rank."""
    for engines in (3, 4, 5):
        got = _means(FLIGHT_BANK, emulator.placed, engines).on_time
        assert got['chat'] > got['digest']
        assert got['advice'] > got['digest']


def test_nobody_is_refused_on_a_calm_day():
    """Refusals that no overload asks for cost callers for nothing."""
    kinds = [emulator.DIGEST, emulator.ADVICE, emulator.CHAT]
    refusing = _means(kinds, emulator.placed, 5)
    queueing = _means(kinds, emulator.unrefused, 5)
    assert refusing.worth > queueing.worth - 0.01


def _target(**fields):
    return placement.Target(name='e1',
                            zone='z',
                            slots=64,
                            engine=True,
                            **fields)


def _want(**fields):
    return placement.Want(zone='z', target_ms=1000.0, **fields)


def test_a_large_prompt_alone_is_not_refused():
    """Symptom: the largest prompts never served though nothing waits. Cause:
    its own reading, 700 ms here, taken for a queue."""
    want = _want(tokens=39600)
    choice = placement.choose([_target()], want, 0.0)
    assert overload.refuse_for_s(choice, want) is None


def test_what_others_let_wait_counts():
    """Symptom: entries go on sending to a replica where prompts of others
    wait. Cause: only their number was weighed, not what is to be read."""
    target = _target()
    target.report(running=5, waiting=0, now=0.0)
    quick = placement.queue_ms(target, 0.1)
    target.report(running=0, waiting=5, now=0.0)
    assert placement.queue_ms(target, 0.1) > 10 * quick


def test_own_waiting_prompts_count_once():
    target = _target()
    target.sent(5000)
    alone = placement.queue_ms(target, 0.0)
    target.report(running=0, waiting=1, now=0.0)
    assert placement.queue_ms(target, 0.0) == alone
    target.began(5000)
    target.ended()
    assert (target.outstanding, target.pending, target.pending_tokens) == (0, 0,
                                                                           0)


def test_the_time_to_return_grows_with_the_queue_and_is_spread():
    """Callers refused together that return together are refused again."""
    rng = random.Random(1)
    target = _target()
    target.sent(57000)
    want = _want(tokens=100)
    choice = placement.choose([target], want, 0.0, rng)
    times = [overload.refuse_for_s(choice, want, rng) for _ in range(50)]
    assert min(times) >= 1.0 and max(times) - min(times) > 0.5


@hypothesis.given(st.lists(st.integers(0, 9), max_size=300), st.integers(0, 9))
def test_ranks_against_a_plain_count(asked, rank):
    ranks = overload.Ranks()
    for one in asked:
        ranks.asked(one)
    counts = collections.Counter(asked)
    expected = sum(1 for r, n in counts.items()
                   if r > rank and n >= overload.RANK_SHARE * len(asked))
    assert ranks.below(rank) == expected


def test_ranks_follow_the_traffic():
    """A rank that is no longer asked for must not keep limits high."""
    ranks = overload.Ranks()
    for _ in range(1000):
        ranks.asked(5)
    for _ in range(10 * overload.RANK_MEMORY):
        ranks.asked(2)
    assert ranks.below(2) == 0
