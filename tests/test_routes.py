"""Finding the route of a request, against a plain search."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.relay import model
from gorsefall.relay import routes

_SEGMENTS = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)
_PREFIXES = st.lists(st.tuples(st.sampled_from(['h', 'i']), _SEGMENTS),
                     max_size=8)


def _route(host, prefix):
    return model.Route(name=f'{host}{prefix}',
                       host=host,
                       prefix=prefix,
                       kind=model.Kind.IDEMPOTENT,
                       timeout_s=1.0,
                       target_s=0.1,
                       priority=1,
                       services=(('s', 1.0),))


def _table(found):
    return routes.Table(version=1,
                        routes=found,
                        services={},
                        limits=model.CallerLimits(),
                        accounts={},
                        keyed=False)


def _request(host, target):
    return model.CallerRequest(id='r',
                               method=b'GET',
                               target=target.encode(),
                               host=host,
                               headers=model.headers([]))


@given(_PREFIXES, st.sampled_from(['h', 'i', 'j']), _SEGMENTS,
       st.sampled_from(['', 'a', 'x', '?q=/a/']))
def test_the_longest_prefix_of_the_host_wins(prefixes, host, segments, tail):
    found = [
        _route(h, '/' + ''.join(f'{s}/' for s in segs)) for h, segs in prefixes
    ]
    path = '/' + ''.join(f'{s}/' for s in segments)
    target = path + tail
    plain = target.split('?')[0]
    fits = [r for r in found if r.host == host and plain.startswith(r.prefix)]
    req = _request(host, target)
    if not fits:
        with pytest.raises(errors.NoRouteError):
            _table(found).match(req)
    else:
        best = max(fits, key=lambda r: len(r.prefix))
        assert _table(found).match(req).prefix == best.prefix
