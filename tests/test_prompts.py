"""What is believed to be kept at a replica."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import prompts

DOC = prompts.Part('doc', 2500)
SESSION = prompts.Part('session', 3800)


def test_a_part_counts_only_behind_all_before_it():
    kept = prompts.PromptCache(100_000)
    kept.record_use((SESSION,))
    assert kept.cached_tokens((DOC, SESSION)) == 0
    kept.record_use((DOC,))
    assert kept.cached_tokens((DOC, SESSION)) == 6300
    assert kept.cached_tokens((DOC, prompts.Part('other', 900))) == 2500


def test_the_longest_unused_count_as_gone():
    """Symptom: requests sent to a home that reads their prompt anew each time
    while it is taken for kept. Cause: memory taken for endless."""
    kept = prompts.PromptCache(10_000)
    for i in range(10):
        kept.record_use((prompts.Part(f'p{i}', 1500),))
    held = [
        i for i in range(10)
        if kept.cached_tokens((prompts.Part(f'p{i}', 1500),))
    ]
    assert held == [6, 7, 8, 9]


@given(
    st.lists(st.lists(st.tuples(st.sampled_from('abcdefgh'),
                                st.integers(0, 5000)),
                      max_size=4),
             max_size=60))
def test_what_is_kept_fits_the_memory(uses):
    kept = prompts.PromptCache(10_000)
    for parts in uses:
        kept.record_use(tuple(prompts.Part(*p) for p in parts))
        assert sum(kept._parts.values()) == kept._size
        assert kept._size <= prompts.CACHE_SHARE * 10_000
