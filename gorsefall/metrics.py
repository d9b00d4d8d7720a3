"""Prometheus metrics of an entry, labelled by customer and class."""

import prometheus_client as prom

# The *_created series double the size of the page; the start time of the
# process is in its log.
prom.disable_created_metrics()

REGISTRY = prom.CollectorRegistry()
_LABELS = ('customer', 'klass', 'tier')
_BUCKETS_S = (.005, .01, .025, .05, .1, .25, .5, 1, 1.8, 2.5, 5, 10, 30, 60)

TTFT = prom.Histogram('gorsefall_ttft_seconds',
                      'Time to first token, s.',
                      _LABELS,
                      buckets=_BUCKETS_S,
                      registry=REGISTRY)
TBT = prom.Histogram('gorsefall_tbt_seconds',
                     'Time between tokens, s.',
                     _LABELS,
                     buckets=(.001, .005, .01, .025, .05, .069, .1, .25, 1),
                     registry=REGISTRY)
E2E = prom.Histogram('gorsefall_e2e_seconds',
                     'Whole-answer latency, s.',
                     _LABELS,
                     buckets=_BUCKETS_S,
                     registry=REGISTRY)
OUTCOMES = prom.Counter('gorsefall_requests_total',
                        'Finished requests by outcome.', (*_LABELS, 'outcome'),
                        registry=REGISTRY)
ATTAINED = prom.Counter('gorsefall_attained_total',
                        'Requests that met their class latency targets.',
                        _LABELS,
                        registry=REGISTRY)
GOODPUT = prom.Counter('gorsefall_goodput_tokens_total',
                       'Tokens of answers that met their targets.',
                       _LABELS,
                       registry=REGISTRY)
WASTED = prom.Counter('gorsefall_wasted_tokens_total',
                      'Tokens generated then thrown away or repeated.',
                      _LABELS,
                      registry=REGISTRY)
SHED = prom.Counter('gorsefall_shed_total',
                    'Requests refused, by reason.', (*_LABELS, 'reason'),
                    registry=REGISTRY)
PROMOTED = prom.Counter('gorsefall_promoted_total',
                        'Starved requests moved ahead of their tier.',
                        _LABELS,
                        registry=REGISTRY)
CATALOGUE_VERSION = prom.Gauge('gorsefall_catalogue_version',
                               'Catalogue version in force here.',
                               registry=REGISTRY)
LINK_BYTES = prom.Counter('gorsefall_link_bytes_total',
                          'Bytes of calls to other processes, by first part '
                          'of the path.', ('route', 'direction'),
                          registry=REGISTRY)
READS_STORE = prom.Gauge('gorsefall_reads_store',
                         'Whether this entry reads the store by itself.',
                         registry=REGISTRY)
STORE_ERA = prom.Gauge('gorsefall_store_era',
                       'Number of the history that the store serves; it rises '
                       'when the store comes back from an older copy.',
                       registry=REGISTRY)
PEER_READS = prom.Counter('gorsefall_reads_asked_total',
                          'Questions to other entries of what the store '
                          'holds, by outcome; read: nobody knew.', ('outcome',),
                          registry=REGISTRY)
QUEUED = prom.Gauge('gorsefall_queued',
                    'Requests waiting, by pool.', ('pool',),
                    registry=REGISTRY)

REPLICA_CONNECTS = prom.Counter('gorsefall_replica_connects_total',
                                'New connections to replicas, by service and '
                                'outcome (established, failed).',
                                ('service', 'outcome'),
                                registry=REGISTRY)

PATHS_LOST = prom.Gauge('gorsefall_paths_lost',
                        'Whether this entry has lost its paths to the '
                        'replicas, by service.', ('service',),
                        registry=REGISTRY)
FORWARDED = prom.Counter('gorsefall_forwarded_total',
                         'Requests passed on to another entry (out) or taken '
                         'from one (in), by outcome.', ('direction', 'outcome'),
                         registry=REGISTRY)

MAX_ACCOUNT_ROUTES = 6000
MAX_ROUTES = 100
"""Maximum number of label sets; further ones are counted under ``OTHER``.

``MAX_ACCOUNT_ROUTES`` allows 1,200 client accounts with five classes each;
``MAX_ROUTES`` is a few times the number of classes in use. A label set
takes 1 KB as a counter and 9 KB with its histograms. Rendering the histograms
of 2,000 account and route pairs blocks the event loop for 1.8 s, so
histograms have the route as their only label."""

OTHER = 'other'


class _LabelLimiter:
    """Limits the number of distinct label sets of a metric."""

    def __init__(self, max_sets, label_count):
        self._max_sets = max_sets
        self._other = (OTHER,) * label_count
        self._sets = set()

    def __call__(self, *labels):
        """Returns ``labels``, or ``OTHER`` for each if the limit is reached."""
        if labels in self._sets:
            return labels
        if len(self._sets) >= self._max_sets:
            return self._other
        self._sets.add(labels)
        return labels


_account_route_labels = _LabelLimiter(MAX_ACCOUNT_ROUTES, 2)
_route_labels = _LabelLimiter(MAX_ROUTES, 1)

RELAYED = prom.Counter('gorsefall_relayed_total',
                       'Forwarded requests by outcome.',
                       ('account', 'route', 'outcome'),
                       registry=REGISTRY)
RESPONSES_BROKEN = prom.Counter('gorsefall_responses_broken_total',
                                'Responses broken off after they had begun, '
                                'by the code of the error that did it.',
                                ('cause',),
                                registry=REGISTRY)
STREAM_ENDS = prom.Counter('gorsefall_stream_ends_total',
                           'Streams of replicas that ended, by what marked the '
                           'end and what it shows.', ('ending', 'verdict'),
                           registry=REGISTRY)
STREAMS_STORED = prom.Counter('gorsefall_streams_stored_total',
                              'Streams that this entry stored with their '
                              'version.',
                              registry=REGISTRY)
STREAMS_SOUGHT = prom.Counter('gorsefall_streams_sought_total',
                              'Streams that were taken up and sought in the '
                              'store, as no entry knew them.', ('result',),
                              registry=REGISTRY)
VERSION_READS = prom.Counter('gorsefall_version_reads_total',
                             'Reads of the versions that may have begun a '
                             'stream, as one was taken up, by whether the '
                             'store shows them all.', ('result',),
                             registry=REGISTRY)
RECORD_WAITS = prom.Counter('gorsefall_record_waits_total',
                            'Streams that waited before they began until their '
                            'version and route were stored, by how the wait '
                            'ended.', ('result',),
                            registry=REGISTRY)
STREAMS_TAKEN_UP = prom.Counter('gorsefall_streams_taken_up_total',
                                'Streams that callers took up, by how it was '
                                'decided at which software version they may go '
                                'on.', ('reason',),
                                registry=REGISTRY)
STREAMS_TOLD = prom.Counter('gorsefall_streams_told_total',
                            'Messages to other entries about where a stream '
                            'began, one for each entry and stream.',
                            registry=REGISTRY)
TAKEOVERS = prom.Counter('gorsefall_takeovers_total',
                         'Silent attempts that were kept while another replica '
                         'was asked, by what ended that.', ('event',),
                         registry=REGISTRY)
RELAY_FIRST_BYTE = prom.Histogram('gorsefall_relay_first_seconds',
                                  'Time to the first byte of an answer, s.',
                                  ('route',),
                                  buckets=_BUCKETS_S,
                                  registry=REGISTRY)
RELAY_TOTAL = prom.Histogram('gorsefall_relay_whole_seconds',
                             'Time to the end of an answer, s.', ('route',),
                             buckets=_BUCKETS_S,
                             registry=REGISTRY)
RELAY_IN_FLIGHT = prom.Gauge('gorsefall_relay_running',
                             'Requests in flight.',
                             registry=REGISTRY)
CONFIGURATION_AGE = prom.Gauge(
    'gorsefall_relay_configuration_age_seconds',
    'Time since the configuration was last confirmed, s.',
    registry=REGISTRY)
REPLICAS_AGE = prom.Gauge('gorsefall_replicas_age_seconds',
                          "Time since the replicas' records were last "
                          'confirmed, s.',
                          registry=REGISTRY)
RECORDS_REJECTED = prom.Counter(
    'gorsefall_records_rejected_total',
    'Records of the store, or of other entries, that could not be used.',
    ('topic',),
    registry=REGISTRY)
LIST_WAITS = prom.Counter('gorsefall_replicas_waits_total',
                          'Sends that waited for the records of the replicas '
                          'to be read.',
                          registry=REGISTRY)
UNCONFIRMED_REQUESTS = prom.Counter(
    'gorsefall_relay_unproven_total',
    'Requests let in with a key that was not confirmed '
    'of late, as the store is away.',
    registry=REGISTRY)
USABLE_REPLICAS = prom.Gauge('gorsefall_relay_replicas',
                             'Replicas that may get new work.', ('service',),
                             registry=REGISTRY)
RETRIES_LEFT = prom.Gauge('gorsefall_relay_retries_left',
                          'Retries that this entry may send now.', ('service',),
                          registry=REGISTRY)
QUEUE_MS = prom.Gauge('gorsefall_relay_queue_ms',
                      'Queue at the best replica for the last request, ms.',
                      ('service',),
                      registry=REGISTRY)
CRASHING_REQUESTS = prom.Counter(
    'gorsefall_crashing_requests_total',
    'Sightings of and decisions on requests under which '
    'replicas crashed: seen, suspected, held, blamed, refused, parked, '
    'cleared.', ('what',),
    registry=REGISTRY)
ANNOUNCEMENTS = prom.Counter(
    'gorsefall_replica_announcements_total',
    'Changes that replicas announced: limit, leaving, pause, brittle, '
    'warm_up.', ('what',),
    registry=REGISTRY)
DUTIES_HELD = prom.Gauge('gorsefall_duties_held',
                         'Whether this entry holds the duties.',
                         registry=REGISTRY)
DUTIES_TOKEN = prom.Gauge('gorsefall_duties_token',
                          'Last fencing token of this entry.',
                          registry=REGISTRY)
DUTIES_CLAIM_AGE = prom.Gauge('gorsefall_duties_claim_age_seconds',
                              'Time since the last confirmed claim, s.',
                              registry=REGISTRY)
USAGE_WINDOW = prom.Gauge('gorsefall_usage_window',
                          'Last window whose usage report was accepted.',
                          registry=REGISTRY)
USAGE_MISSED = prom.Counter('gorsefall_usage_windows_missed_total',
                            'Windows whose report was not accepted in time.',
                            registry=REGISTRY)
REPLICAS_NEEDED = prom.Gauge('gorsefall_replicas_needed',
                             'Replicas that the demand needed at most of late.',
                             ('service',),
                             registry=REGISTRY)
_POOL_LABELS = ('service', 'zone', 'kind')
REPLICAS_ORDERED = prom.Gauge('gorsefall_replicas_ordered',
                              'Replicas that are planned.',
                              _POOL_LABELS,
                              registry=REGISTRY)
REPLICAS_READY = prom.Gauge('gorsefall_replicas_ready',
                            'Replicas that serve.',
                            _POOL_LABELS,
                            registry=REGISTRY)
RESIDENT_MEMORY = prom.Gauge('gorsefall_resident_bytes',
                             'Resident memory of this process.',
                             registry=REGISTRY)
LOOP_WAIT = prom.Gauge('gorsefall_loop_wait_seconds',
                       'Longest time by which something that was due ran late '
                       'since the last scrape, s.',
                       registry=REGISTRY)
MEMORY_HELD = prom.Gauge('gorsefall_memory_held_bytes',
                         'Memory that is held for requests under way.',
                         registry=REGISTRY)
MEMORY_ROOM = prom.Gauge('gorsefall_memory_room_bytes',
                         'Memory that may be held for requests under way.',
                         registry=REGISTRY)
CALLERS_YIELDED = prom.Counter('gorsefall_callers_yielded_total',
                               'Connections whose callers did not read or '
                               'send, and that were closed as others needed '
                               'room, by what was short.', ('reason',),
                               registry=REGISTRY)
CONNECTIONS_REFUSED = prom.Counter('gorsefall_connections_refused_total',
                                   'Connections of callers that were closed '
                                   'as they came, as too many were in use.',
                                   registry=REGISTRY)
MEMORY_REFUSALS = prom.Counter('gorsefall_memory_refusals_total',
                               'Requests refused as there was no room for '
                               'them, by service.', ('service',),
                               registry=REGISTRY)
LOG_LINES_DROPPED = prom.Counter('gorsefall_log_lines_left_out_total',
                                 'Log lines left out as their reader was slow.',
                                 registry=REGISTRY)


def count_relayed(account, route, outcome):
    """Counts a forwarded request that has ended."""
    RELAYED.labels(*_account_route_labels(account, route), outcome).inc()


def observe_relay_times(route, first_s, whole_s):
    """Records the latencies of a served request, s."""
    labels = _route_labels(route)
    RELAY_FIRST_BYTE.labels(*labels).observe(first_s)
    RELAY_TOTAL.labels(*labels).observe(whole_s)


def render():
    """Returns ``(body bytes, content type)`` for ``/metrics``."""
    return prom.generate_latest(REGISTRY), prom.CONTENT_TYPE_LATEST
