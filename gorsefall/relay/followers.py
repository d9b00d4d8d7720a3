"""Follows the topics of the store that the settings name."""

from gorsefall import ids
from gorsefall import settingsfile
from gorsefall.policy import readers
from gorsefall.relay import configurationlistener
from gorsefall.relay import messages
from gorsefall.relay import pacing
from gorsefall.relay import sharing
from gorsefall.relay import topic
from gorsefall.relay import topicfollower
from gorsefall.relay import topiclisteners

CONFIGURATION = 'configuration'
REPLICAS = 'replicas'
"""Names of the topics in messages between entries."""

MAX_CONFIG_READ_KB = 64
"""Most data of one read of the configuration, KB: several small ones, but no
large one next to another, as only the newest is used."""


class Followers:
    """The followers of both topics; other entries may share their reads."""

    def __init__(self, node, adapter):
        """Creates the followers of a store; ``start`` begins.

        Args:
            node: The ``node.Node``.
            adapter: See ``node.Node``.
        """
        self._node = node
        self._adapter = adapter
        self._sharing = None
        self._topics = {}

    def start(self, peers):
        """Begins to read, and to share reads if there are ``peers``."""
        if peers is not None:
            host, _ = settingsfile.split_addr(self._node.cfg.peers)
            own = readers.Candidate(self._node.cfg.name, host,
                                    ids.ZoneName(self._node.cfg.zone))
            self._sharing = sharing.SharedReads(self._node.loop,
                                                own,
                                                self._candidates,
                                                peers.send,
                                                known_hosts=self._known_hosts)
            for kind in (messages.Ask, messages.Told, messages.Hint):
                peers.register_handler(kind, self._sharing.handle_message)
        self._start_followers()
        if self._sharing is not None:
            self._sharing.start()

    def handle_status(self, status, host):
        """Handles the ``entrystatus.Status`` of another entry."""
        if self._sharing is not None:
            self._sharing.handle_versions(
                {CONFIGURATION: status.configuration_version}, host)

    @property
    def can_read_for_others(self):
        """Whether other entries can rely on this one to read the store."""
        return self._sharing is not None and self._sharing.reaches_store()

    @property
    def source_host(self):
        """Host that last sent changes of the store; None after own reads."""
        return self._sharing.source_host if self._sharing is not None else None

    @property
    def is_reader(self):
        """Whether this entry reads the store itself."""
        return self._sharing is None or self._sharing.is_reader

    def read_replicas(self):
        """Reads the records of the replicas now."""
        followed = self._topics.get(REPLICAS)
        if followed is not None:
            followed.follower.read_early()

    def apply_settings(self, before):
        """Restarts the followers if new settings require it."""
        cfg = self._node.cfg
        if (cfg.store != before.store or
                pacing.config_wait_s(cfg) < pacing.config_wait_s(before) or
                pacing.max_config_age_s(cfg) < pacing.max_config_age_s(before)
                or cfg.leave_s < before.leave_s):
            # Shorter bounds require shorter waits at the store.
            self._start_followers()

    def _known_hosts(self):
        return self._node.work.peer_view.members.addresses(self._node.loop.now)

    def _candidates(self):
        """Returns the candidates among the other live entries, a list."""
        members = self._node.work.peer_view.members.live_statuses(
            self._node.loop.now)
        return [
            readers.Candidate(status.name, host, status.zone,
                              status.can_read_store) for host, status in members
        ]

    def _start_followers(self):
        for followed in self._topics.values():
            followed.follower.stop()
        cfg, records = self._node.cfg, self._adapter.records
        self._topics = {
            CONFIGURATION:
                self._create_topic(
                    self._adapter.configuration_topic,
                    configurationlistener.ConfigurationListener(
                        self._node, records),
                    alone=topic.ReadPace(wait_s=pacing.config_wait_s(cfg)),
                    shared=topic.ReadPace(wait_s=pacing.shared_wait_s(cfg)),
                    bound_s=pacing.max_config_age_s(cfg),
                    max_kb=MAX_CONFIG_READ_KB),
            REPLICAS:
                self._create_topic(
                    self._adapter.replicas_topic,
                    topiclisteners.ReplicasListener(self._node, records),
                    alone=topic.ReadPace(pause_s=pacing.replicas_pause_s(cfg)),
                    shared=topic.ReadPace(pause_s=pacing.shared_pause_s(cfg)),
                    bound_s=pacing.max_replicas_age_s(cfg),
                    max_kb=topic.MAX_READ_KB)
        }
        if self._sharing is not None:
            self._sharing.set_followers(self._topics, cfg.store,
                                        pacing.query_pause_s(cfg))
        for followed in self._topics.values():
            followed.follower.start()

    def _create_topic(self, name, listener, *, alone, shared, bound_s, max_kb):
        source = self._adapter.source(
            self._node.loop, settingsfile.split_addr(self._node.cfg.store),
            name)
        follower = topicfollower.Follower(self._node.loop,
                                          source,
                                          listener,
                                          name=name,
                                          pace=alone,
                                          max_kb=max_kb,
                                          on_change=self._on_change)
        return sharing.FollowedTopic(follower, alone, shared, bound_s)

    def _on_change(self):
        if self._sharing is not None:
            self._sharing.send_hints()
