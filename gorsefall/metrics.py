"""Prometheus metrics of an entry, labelled by customer and class."""

import prometheus_client as prom

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
QUEUED = prom.Gauge('gorsefall_queued',
                    'Requests waiting, by pool.', ('pool',),
                    registry=REGISTRY)

_RELAY_LABELS = ('account', 'route')
RELAYED = prom.Counter('gorsefall_relayed_total',
                       'Forwarded requests by outcome.',
                       (*_RELAY_LABELS, 'outcome'),
                       registry=REGISTRY)
RELAY_FIRST = prom.Histogram('gorsefall_relay_first_seconds',
                             'Time to the first byte of an answer, s.',
                             _RELAY_LABELS,
                             buckets=_BUCKETS_S,
                             registry=REGISTRY)
RELAY_WHOLE = prom.Histogram('gorsefall_relay_whole_seconds',
                             'Time to the end of an answer, s.',
                             _RELAY_LABELS,
                             buckets=_BUCKETS_S,
                             registry=REGISTRY)


def render():
    """Returns ``(body bytes, content type)`` for ``/metrics``."""
    return prom.generate_latest(REGISTRY), prom.CONTENT_TYPE_LATEST
