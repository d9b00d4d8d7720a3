"""Entries at the pace of the settings, and how old their lists become."""

import contextlib
import types
import typing
from unittest import mock

import entries
import relay_settings
import stores

from gorsefall import errors
from gorsefall.policy import freshness
from gorsefall.relay import pacing
from gorsefall.relay import sharing
from gorsefall.relay import topic
from gorsefall.relay import topicfollower

ZONES = 'abcdefg'
REFUSAL_S = 0.004

SETTLED_S = 10.0
"""Time until entries that have started know each other, s."""


class Paces(typing.NamedTuple):
    """How often a topic is read; see ``sharing.FollowedTopic``."""
    alone: topic.ReadPace
    shared: topic.ReadPace
    bound_s: float


class SilentClient(entries.StoreClient):
    """The store over a path that can be lost without any sign.

    Attributes:
        refusing: Whether calls fail at once.
    """

    refusing = False

    def _call(self, call, done, *args, on_large=None):
        if not (self.unreachable or self.refusing):
            super()._call(call, done, *args, on_large=on_large)
            return
        self.calls += 1
        self._loop.call_later(
            REFUSAL_S if self.refusing else topic.SILENCE_TIMEOUT_S,
            lambda: done(None, errors.StoreError('unreachable')))


class AgeingList(stores.ObservedState):
    """A listener's state, and how old it has become.

    Attributes:
        oldest_s: Greatest age of a confirmation since ``restart``, s.
    """

    def __init__(self, site):
        super().__init__(site.store)
        self._loop = site.loop
        self._confirmed_at = site.loop.now
        self.oldest_s = 0.0

    def restart(self):
        """Forgets how old the list was before."""
        self.oldest_s = 0.0

    def age(self):
        """Records the age as it is now."""
        self.oldest_s = max(self.oldest_s, self._loop.now - self._confirmed_at)

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self.age()
        self._confirmed_at = max(self._confirmed_at, sent_at)
        super().on_confirmed(sent_at)


class Entry(entries.Entry):
    """An entry that follows the replicas at the pace of its settings."""

    def follow(self):
        """See ``entries.Entry``."""
        cfg = self.site.cfg
        self.client = SilentClient(self.loop, self.site.store)
        self.observed = self.site.new_listener(self)
        paces = self.site.paces()
        self.follower = topicfollower.Follower(
            self.loop,
            self.client,
            self.observed,
            name='t',
            pace=paces.alone,
            on_change=self.sharing.send_hints,
            rng=self.site.rng)
        self.sharing.set_followers(
            {'t': sharing.FollowedTopic(self.follower, *paces)}, 'store',
            pacing.query_pause_s(cfg))
        self.follower.start()


class Site(entries.Site):
    """Entries in simulated time."""

    entry_type = Entry

    def __init__(self,
                 per_zone,
                 zones=ZONES,
                 *,
                 seed=1,
                 leave_s=2.0,
                 **options):
        self.cfg = relay_settings.relay(leave_s=leave_s, apply_s=leave_s)
        self.statuses_at = {}
        super().__init__(per_zone,
                         zones,
                         seed=seed,
                         new_listener=lambda entry: AgeingList(self),
                         **options)

    def paces(self):
        """Returns the ``Paces`` of the topic."""
        return Paces(topic.ReadPace(pause_s=pacing.replicas_pause_s(self.cfg)),
                     topic.ReadPace(pause_s=pacing.shared_pause_s(self.cfg)),
                     pacing.max_replicas_age_s(self.cfg))

    def others(self, entry):
        """See ``entries.Site``; a status arrives after a second at most."""
        found = self.statuses_at.get(entry.own.host)
        if found is None or self.loop.now - found.at > 1.0:
            found = types.SimpleNamespace(at=self.loop.now,
                                          others=super().others(entry))
            self.statuses_at[entry.own.host] = found
        return found.others

    def oldest_s(self, watched, for_s):
        """Returns the greatest age of the lists of entries meanwhile, s."""
        for entry in watched:
            entry.observed.restart()
        self.run(for_s)
        for entry in watched:
            entry.observed.age()
        return max(e.observed.oldest_s for e in watched)


class ConfigurationSite(Site):
    """Entries that follow the configuration."""

    def paces(self):
        """See ``Site``."""
        return Paces(topic.ReadPace(wait_s=pacing.config_wait_s(self.cfg)),
                     topic.ReadPace(wait_s=pacing.shared_wait_s(self.cfg)),
                     pacing.max_config_age_s(self.cfg))


@contextlib.contextmanager
def settled(site_type, per_zone, **options):
    """Yields a site whose entries know each other, in simulated time.

    Args:
        site_type: ``Site`` or a subclass.
        per_zone: Entries of each zone.
        **options: See ``Site``.
    """
    loop = stores.Loop()
    with (mock.patch('gorsefall.logs.get', lambda name: mock.MagicMock()),
          mock.patch.object(stores, 'Loop', lambda: loop),
          mock.patch.object(freshness, 'clock', lambda: loop.now)):
        site = site_type(per_zone, **options)
        site.run(SETTLED_S)
        yield site
