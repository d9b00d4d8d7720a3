"""The estimated prompt cache of a replica."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import prompts

DOC = prompts.Part('doc', 2500)
SESSION = prompts.Part('session', 3800)


def test_a_part_counts_only_if_all_before_it_are_cached():
    cache = prompts.PromptCache(100_000)
    cache.record_use((SESSION,))
    assert cache.cached_tokens((DOC, SESSION)) == 0
    cache.record_use((DOC,))
    assert cache.cached_tokens((DOC, SESSION)) == 6300
    assert cache.cached_tokens((DOC, prompts.Part('other', 900))) == 2500


def test_the_least_recently_used_parts_count_as_evicted():
    """Requests are sent to an affinity replica that prefills their prompt again
    each time, because its memory is assumed to be unlimited."""
    cache = prompts.PromptCache(10_000)
    for i in range(10):
        cache.record_use((prompts.Part(f'p{i}', 1500),))
    remaining = [
        i for i in range(10)
        if cache.cached_tokens((prompts.Part(f'p{i}', 1500),))
    ]
    assert remaining == [6, 7, 8, 9]


@given(
    st.lists(st.lists(st.tuples(st.sampled_from('abcdefgh'),
                                st.integers(0, 5000)),
                      max_size=4),
             max_size=60))
def test_cached_parts_fit_into_the_memory(uses):
    cache = prompts.PromptCache(10_000)
    for parts in uses:
        cache.record_use(tuple(prompts.Part(*p) for p in parts))
        assert sum(cache._parts.values()) == cache._size
        assert cache._size <= prompts.CACHE_SHARE * 10_000
