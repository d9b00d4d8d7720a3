"""Request digests: equal for equal requests only."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall import digests

_PARTS = st.tuples(st.text(max_size=8), st.binary(max_size=8),
                   st.binary(max_size=16))


def _digest(key, parts):
    caller, target, data = parts
    body = digests.Body()
    body.add(data)
    return digests.request_digest(key, caller, target, body.digest)


@given(st.binary(max_size=64), _PARTS, _PARTS)
def test_only_the_same_request_has_the_same_digest(key, one, other):
    """Moving bytes between the parts must change the digest.

    Otherwise a good request would be blocked for the crashes of another one.
    """
    assert (_digest(key, one) == _digest(key, other)) == (one == other)


@given(st.lists(st.binary(max_size=9)))
def test_the_digest_does_not_depend_on_how_the_body_is_split(pieces):
    body = digests.Body()
    for piece in pieces:
        body.add(piece)
    whole = digests.Body()
    whole.add(b''.join(pieces))
    assert (body.data, body.digest) == (whole.data, whole.digest)


def test_another_key_gives_another_digest():
    """Without the key, a log line must not confirm a guessed prompt."""
    parts = ('gate', b'/i/x', b'body')
    assert _digest(b'a', parts) != _digest(b'b', parts)
