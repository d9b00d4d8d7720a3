"""At which software version streams go on, against a reading of the rules."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import softwareversions
from gorsefall.policy import streammemory
from gorsefall.policy.softwareversions import Reason

_VERSIONS = st.sampled_from(['v1', 'v1.1', 'v2'])
_ORIGINS = st.builds(softwareversions.Origin, st.sampled_from('st'), _VERSIONS)
_KNOWLEDGE = st.builds(softwareversions.Knowledge,
                       st.none() | _ORIGINS, st.frozensets(_ORIGINS,
                                                           max_size=3),
                       st.booleans())
_STORED = st.none() | st.frozensets(_ORIGINS, max_size=3)


@given(_KNOWLEDGE, st.lists(_KNOWLEDGE, max_size=5), st.booleans(),
       st.sampled_from([('s',), ('s', 't')]), _STORED)
def test_a_stream_never_goes_on_at_an_origin_that_is_guessed(
        own, others, view_current, services, stored):
    """A stream goes on at a version although another one may have begun it."""
    found = softwareversions.decide(services,
                                    own,
                                    others,
                                    view_current=view_current,
                                    stored=stored)
    named = {k.began for k in [own, *others] if k.began}
    served = {o for k in [own, *others] for o in k.served}
    possible = {*services, *(o.service for o in served)}
    served |= {o for o in stored or () if o.service in possible}
    witnessed = stored is not None or any(k.covers for k in [own, *others])
    if found.reason is Reason.KNOWN:
        assert named == {found.origin}
        assert found.origin.service in services
    elif found.reason is Reason.SOLE_VERSION:
        assert not named
        assert served == {found.origin}
        assert found.origin.service in services
        assert others or view_current
        assert witnessed
    else:
        assert found.origin is None
        assert (len(named) > 1 or len(served) != 1 or
                not (others or view_current) or not witnessed or
                {o.service for o in named or served} - set(services))


_EVENTS = st.lists(st.tuples(st.sampled_from(['add', 'remove']), _VERSIONS,
                             st.sampled_from([0.0, 1.0, 10.0, 15.0])),
                   max_size=30)


@given(_EVENTS)
def test_the_versions_that_served_of_late(events):
    """A stream of a version that has just gone counts as one of the next."""
    history = softwareversions.VersionHistory()
    counts, gone_at, now = collections.Counter(), {}, 0.0
    for kind, version, pause_s in events:
        now += pause_s
        if kind == 'add':
            counts[version] += 1
            history.add('s', version)
        elif counts[version]:
            counts[version] -= 1
            history.remove('s', version, now)
            if not counts[version]:
                gone_at[version] = now
        expected = {
            v for v in ['v1', 'v1.1', 'v2'] if counts[v] or now -
            gone_at.get(v, float('-inf')) <= softwareversions.SERVED_WINDOW_S
        }
        assert history.served('s', now) == expected
        assert history.origins(
            ('s', 'other'),
            now) == {softwareversions.Origin('s', v) for v in expected}


_ORIGIN = softwareversions.Origin('s', 'v1')


def _begun(at, own=False):
    return streammemory.BegunStream(_ORIGIN, at, own)


def test_streams_are_forgotten_in_time():
    """The memory of an entry grows with every stream that it is told of."""
    memory = streammemory.StreamMemory()
    memory.put(b'a', _begun(0.0))
    memory.put(b'b', _begun(20.0, own=True))
    assert memory.origin(b'a', streammemory.RETENTION_S) == _ORIGIN
    assert memory.origin(b'a', streammemory.RETENTION_S + 1) is None
    assert [d for d, _ in memory.own('s', 40.0)] == [b'b']
    for i in range(streammemory.MAX_STREAMS + 10):
        memory.put(b'%d' % i, _begun(41.0))
    assert len(memory) == streammemory.MAX_STREAMS
