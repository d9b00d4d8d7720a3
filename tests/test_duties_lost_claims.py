"""Usage reports after the store has lost claims that it had confirmed."""

import collections

import duty_site
import pytest

AWAY_S = 1.0


class _Play:
    """Requests at all entries; the store comes back without its last claims.

    Attributes:
        site: The ``duty_site.Site``.
        expected: ``window -> requests``.
    """

    def __init__(self, seed, lost, *, count=3, lease_s=1.0, loss=0.0):
        self.site = duty_site.Site(count, seed, 1.0, lease_s)
        self.site.loss = loss
        self.expected = collections.Counter()
        self._lost = lost
        self.site.run(9.07)

    def serve(self, seconds):
        """Runs one request an entry and step of 0.2 s."""
        for _ in range(int(seconds * 5)):
            true_s = duty_site.EPOCH_S + self.site.loop.now
            for entry in self.site.entries.values():
                if not entry.loop.dead:
                    entry.run('a')
                    self.expected[int(true_s // self.site.window_s)] += 1
            self.site.run(0.2)

    def lose_claims(self, away_s=AWAY_S):
        """The store is away for a moment, and back without its last claims."""
        self.site.store.up = False
        self.serve(away_s)
        self.site.store.restore(self._lost)
        self.site.store.up = True

    def windows_missing(self):
        """Returns how many windows with requests were never reported."""
        # The last ones may be under way.
        due = sorted(self.expected)[:-6]
        return sum(w not in self.site.platform.usage for w in due)

    def reported_share(self):
        """Returns the part of all requests that was reported."""
        due = sorted(self.expected)[:-6]
        reported = sum(
            sum(self.site.platform.usage.get(w, {}).values()) for w in due)
        return reported / sum(self.expected[w] for w in due)


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('lost', [1, 3, 100])
@pytest.mark.parametrize('lease_s', [1.0, 3.0])
def test_windows_are_reported_by_a_successor_that_lacks_claims(
        lease_s, lost, seed):
    """Another entry takes over after lost claims and leaves out windows that
    entries which are there know all about."""
    play = _Play(seed, lost, lease_s=lease_s)
    play.serve(4.0)
    old, = play.site.holders()
    # With the longer lease its calls fail for longer than those of the others.
    old.source.up = lease_s < 3.0
    play.lose_claims()
    play.serve(2.0)
    old.source.up = True
    play.serve(24.0)
    assert not play.site.platform.violations
    assert play.site.holders()
    assert play.windows_missing() == 0
    assert play.reported_share() == 1.0
