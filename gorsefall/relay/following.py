"""Keeps an entry's beliefs up to date with the store of its settings."""

from gorsefall import ids
from gorsefall import settingsfile
from gorsefall.policy import readers
from gorsefall.relay import beliefs
from gorsefall.relay import messages
from gorsefall.relay import pacing
from gorsefall.relay import sharing
from gorsefall.relay import topic

CONFIG_MOST_KB = 64
"""Most data of one read of the configuration, KB: several small ones, but no
large one beside another, as only the newest counts."""


class Following:
    """The followers of both topics, alone or shared with other entries."""

    def __init__(self, node, adapter):
        """Creates the following of a store; ``start`` begins.

        Args:
            node: The ``node.Node``.
            adapter: See ``node.Node``.
        """
        self._node = node
        self._adapter = adapter
        self._sharing = None
        self._topics = {}

    def start(self, peers):
        """Begins to read, and to share reads where there are ``peers``."""
        if peers is not None:
            host, _ = settingsfile.split_addr(self._node.cfg.peers)
            own = readers.Candidate(self._node.cfg.name, host,
                                    ids.ZoneName(self._node.cfg.zone))
            self._sharing = sharing.Sharing(self._node.loop, own,
                                            self._candidates, peers.send)
            for kind in (messages.Ask, messages.Told, messages.Hint):
                peers.read(kind, self._sharing.received)
        self._follow()
        if self._sharing is not None:
            self._sharing.start()

    @property
    def able(self):
        """Whether the store can be read for others."""
        return self._sharing is not None and self._sharing.able()

    @property
    def told_by(self):
        """Host that told last what the store holds; None after own reads."""
        return self._sharing.told_by if self._sharing is not None else None

    @property
    def reads(self):
        """Whether this entry reads the store by itself."""
        return self._sharing is None or self._sharing.leads

    def settings_changed(self, before):
        """Follows anew where new settings ask for it."""
        cfg = self._node.cfg
        if (cfg.store != before.store or
                pacing.config_wait_s(cfg) < pacing.config_wait_s(before) or
                cfg.leave_s < before.leave_s):
            # Shorter bounds also need shorter waits at the store.
            self._follow()

    def _candidates(self):
        """Returns the other entries that are heard."""
        heard = self._node.work.view.members.live_statuses(self._node.loop.now)
        return [
            readers.Candidate(status.name, host, status.zone,
                              status.can_read_store) for host, status in heard
        ]

    def _follow(self):
        for followed in self._topics.values():
            followed.follower.stop()
        cfg, records = self._node.cfg, self._adapter.records
        self._topics = {
            'configuration':
                self._topic(self._adapter.configuration_topic,
                            beliefs.Configuration(self._node, records),
                            alone=topic.Pace(wait_s=pacing.config_wait_s(cfg)),
                            shared=topic.Pace(wait_s=pacing.shared_wait_s(cfg)),
                            most_kb=CONFIG_MOST_KB),
            'replicas':
                self._topic(
                    self._adapter.replicas_topic,
                    beliefs.Replicas(self._node, records),
                    alone=topic.Pace(pause_s=pacing.replicas_pause_s(cfg)),
                    shared=topic.Pace(pause_s=pacing.shared_pause_s(cfg)),
                    most_kb=topic.MOST_KB)
        }
        if self._sharing is not None:
            self._sharing.follow(self._topics, cfg.store, pacing.ask_s(cfg))
        for followed in self._topics.values():
            followed.follower.start()

    def _topic(self, name, listener, *, alone, shared, most_kb):
        source = self._adapter.source(
            self._node.loop, settingsfile.split_addr(self._node.cfg.store),
            name)
        follower = topic.Follower(self._node.loop,
                                  source,
                                  listener,
                                  name=name,
                                  pace=alone,
                                  most_kb=most_kb,
                                  on_news=self._news)
        return sharing.Topic(follower, alone, shared)

    def _news(self):
        if self._sharing is not None:
            self._sharing.changed()
