"""Metrics of the relay: bounded, however many accounts and routes there are."""

from gorsefall import metrics


def test_label_sets_are_bounded():
    """Symptom: the metrics page takes seconds, in which no request is served,
    and memory grows with every account. Cause: a label set for each pair."""
    bounded = metrics._Bounded(3, 2)
    seen = {bounded(f'account-{i % 5}', 'chat') for i in range(100)}
    assert len(seen) == 4
    assert (metrics.OTHER, metrics.OTHER) in seen
    assert bounded('account-0', 'chat') == ('account-0', 'chat')


def test_histograms_of_routes_beyond_the_bound_are_put_together():
    for i in range(3 * metrics.MAX_ROUTES):
        metrics.observe_relay_times(f'many-{i}', 0.1, 0.2)
    page, _ = metrics.render()
    names = {
        line.split(b'route="')[1].split(b'"')[0]
        for line in page.splitlines()
        if line.startswith(b'gorsefall_relay_whole_seconds_count')
    }
    assert len(names) <= metrics.MAX_ROUTES + 1
    assert metrics.OTHER.encode() in names
