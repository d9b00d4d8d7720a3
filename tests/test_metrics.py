"""The number of label sets of the relay's metrics is bounded."""

from gorsefall import metrics


def test_label_sets_are_bounded():
    """Label sets must not grow with the number of accounts and routes.

    Otherwise memory grows with every account, and rendering the metrics page
    blocks all requests for seconds.
    """
    limiter = metrics._LabelLimiter(3, 2)
    seen = {limiter(f'account-{i % 5}', 'chat') for i in range(100)}
    assert len(seen) == 4
    assert (metrics.OTHER, metrics.OTHER) in seen
    assert limiter('account-0', 'chat') == ('account-0', 'chat')


def test_histograms_of_routes_beyond_the_limit_are_merged():
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
