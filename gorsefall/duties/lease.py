"""The lease on the duties: one holder at a time, agreed in the store.

A holder appends a claim on the condition that the topic still ends where it
knows it to end. The position of the claim, its era first, is its fencing token.
It appends a new one before each action, and acts only for a part of the lease
after it. Another entry may claim once the whole lease has passed since it first
knew of the last claim. So the store is asked only when there is something to
do, and no holder acts after a successor may have claimed.

A store that comes back from an older copy has lost claims and gives their
offsets out again. Each era has a key of its own, so that a claim that was meant
for a lost history counts for nothing. The holder of the last claim of the lost
history claims again with what it had decided; any other entry that is first in
a new era takes for decided whatever a lost claim may have decided.
"""

import collections
import enum
import random
import typing

import msgspec

from gorsefall import errors
from gorsefall import ids
from gorsefall import logs
from gorsefall import metrics
from gorsefall.duties import claims
from gorsefall.policy import freshness
from gorsefall.relay import positions

CLAIM_KEY = 'holder'
"""Key of the record of a store that names no era."""

ACTION_SHARE = 0.4
"""Part of the lease in which a confirmed claim allows calls to be sent. The
rest covers the time that they take to arrive."""

CALL_TIMEOUT_S = 0.9
"""Longest time without a byte of a response of the store, s."""

RETRY_PAUSE_RANGE_S = (0.3, 0.8)
"""Range of the pause after a failed call, s: candidates that lost the store
together do not return to it together."""

MAX_STORE_SILENCE_S = 1.6
"""Time for which the calls of a holder may fail before it gives the duties up,
s: another entry may reach the store."""

UNFIT_S = 5.0
"""Time for which an entry that gave up the duties is no candidate, s."""

MAX_OWN_CLAIMS = 32
"""Own claims by which a holder recognises its claim in the store: more than
those whose appends may still be carried out."""


class State(enum.Enum):
    """Whether an entry holds the duties."""
    FOLLOWER = 'follower'
    HOLDER = 'holder'


def claim_key(era):
    """Returns the key of the claims of an ``ids.Era``."""
    return CLAIM_KEY if era == ids.NO_ERA else f'{CLAIM_KEY}.{era}'


def _claim_era(key):
    """Returns the era whose claims have a key, None if it is no such key."""
    if key == CLAIM_KEY:
        return ids.NO_ERA
    name, _, era = key.partition('.')
    return ids.Era(int(era)) if name == CLAIM_KEY and era.isdigit() else None


class _Known(typing.NamedTuple):
    """The newest claim that is known.

    Attributes:
        token: Its token; -1 before the first.
        since: When it was sent, or first seen if that is not known, s.
    """
    token: int = -1
    since: float = float('-inf')


class _Snapshot(typing.NamedTuple):
    """What a read of the topic found.

    Attributes:
        claim: ``positions.Position`` of the newest claim, in the era that its
            key names; None without one.
        end: Position after the last record of the topic.
        value: The claim's bytes; empty without one.
    """
    claim: positions.Position | None
    end: positions.Position
    value: bytes = b''

    @property
    def is_newest(self):
        """Whether the claim is the last record of the topic."""
        offset = -1 if self.claim is None else self.claim.offset
        return offset + 1 == self.end.offset


def _find_claim(page):
    """Returns the ``_Snapshot`` of a ``topic.SnapshotPage``."""
    end = positions.Position(page.era, page.end)
    found = {
        positions.Position(era, r.offset): r.value
        for r in page.records
        if (era := _claim_era(r.key)) is not None and era <= page.era
    }
    newest = max(found, default=None)
    return _Snapshot(newest, end, found.get(newest, b''))


class Lease:
    """One entry's part in the agreement on the holder.

    Attributes:
        state: The ``State``.
        token: Fencing token of the last confirmed claim; None for a follower.
        claim: The newest ``claims.Claim`` that this entry knows. A holder's
            may not have been confirmed yet.
        on_taken: Called when this entry has become the holder.
        on_confirmed: Called when a claim of the holder was confirmed.
    """

    def __init__(self,
                 source,
                 name,
                 lease_s,
                 *,
                 clock=freshness.clock,
                 rng=random):
        """Creates a follower.

        Args:
            source: The ``topic.Source`` of the topic.
            name: Name of this entry.
            lease_s: Duration of the lease, s.
            clock: Returns a steady time that also counts while the VM is
                suspended, s.
            rng: A ``random.Random``.
        """
        self._source = source
        self._name = name
        self._lease_s = lease_s
        self._clock = clock
        self._rng = rng
        self._log = logs.get('duties')
        self.state = State.FOLLOWER
        self.token = None
        self.claim = claims.Claim()
        self.on_taken = lambda: None
        self.on_confirmed = lambda: None
        self._nonces = collections.deque(maxlen=MAX_OWN_CLAIMS)
        self._known = _Known()
        self._end = None
        self._snapshot = None
        self._sent_at = float('-inf')
        self._failing_since = None
        self._busy = False
        self._retry_at = self._unfit_until = float('-inf')
        self._ending = False
        self._lost_era = None
        self._loss_seen_at = float('-inf')

    # -- state -----------------------------------------------------------------

    @property
    def held(self):
        """Whether this entry is the holder as far as it knows."""
        return self.state is State.HOLDER

    @property
    def idle(self):
        """Whether a call to the store may be made now."""
        return not self._busy and self._clock() >= self._retry_at

    @property
    def fit(self):
        """Whether this entry may become the holder."""
        return not self._ending and self._clock() >= self._unfit_until

    def claim_age_s(self):
        """Returns the time since the last confirmed claim was sent, s."""
        return self._clock() - self._sent_at

    def may_act(self):
        """Returns whether a call with ``token`` may be sent now.

        Asked before each call: the process may have been suspended since the
        claim was confirmed.
        """
        return (self.held and self._end is not None and
                self.claim_age_s() < ACTION_SHARE * self._lease_s)

    def record_claim(self, token, age_s):
        """Records the claim of a holder as its status describes it.

        Args:
            token: Its token.
            age_s: Time since it was sent, s.
        """
        self._record_known(token, self._clock() - age_s)
        if self.held and token > self.token:
            self.lose('another entry has a later claim')

    @property
    def newest_token(self):
        """The newest token that is known; -1 for none."""
        return self._known.token

    def hear_of_claim(self, token):
        """Records that another entry knows of a claim.

        A process that knows of none would take a store that has lost all
        claims for one that had none.
        """
        if self._known.token < 0:
            self._record_known(token, self._clock())

    def _record_known(self, token, since):
        if token > self._known.token:
            self._known = _Known(token, since)

    def lose(self, reason):
        """Stops at once; the token is never used again."""
        if not self.held:
            return
        self._log.warning('duties_lost', token=self.token, reason=reason)
        self.state, self.token, self._end = State.FOLLOWER, None, None
        self._nonces.clear()
        self._unfit_until = self._clock() + UNFIT_S
        metrics.DUTIES_HELD.set(0)

    # -- claiming --------------------------------------------------------------

    def take_over(self):
        """Takes the next step to become the holder; called periodically."""
        if self.held or not self.idle:
            return
        if self._end is None:
            self._read()
        elif self._clock() >= self._free_at():
            self._append(self.claim, self._end)

    def abandon_takeover(self):
        """Called when there is another holder: what was read is outdated."""
        if not self.held and not self._busy:
            self._end = None

    def _free_at(self):
        """Returns when the lease of the last holder is over, s."""
        if self.claim.follows_loss:
            # The holder of a claim that was lost may act until its lease is
            # over.
            return max(self._known.since, self._loss_seen_at) + self._lease_s
        if self.claim.released or self.claim.holder in ('', self._name):
            # An earlier process of the same VM has ended.
            return float('-inf')
        return self._known.since + self._lease_s

    def renew(self, claim):
        """Appends a claim as the holder; ``on_confirmed`` follows.

        Args:
            claim: The ``claims.Claim`` with what is about to be done.
        """
        if not self.held or not self.idle:
            return
        # Kept from now on: the append may be carried out even if its answer
        # is lost, and no later claim may contradict it.
        self.claim = claim
        if self._end is None:
            self._read()
        else:
            self._append(claim, self._end)

    def release(self, *, for_good=False):
        """Hands the duties over to another entry.

        Args:
            for_good: Whether this process ends.
        """
        self._ending = self._ending or for_good
        if not self.held:
            return
        end = self._end
        self.lose('released')
        if end is not None and not self._busy:
            self._append(self.claim, end, released=True)

    def _append(self, claim, end, *, released=False):
        claim = msgspec.structs.replace(claim,
                                        holder=self._name,
                                        released=released,
                                        nonce=self._rng.getrandbits(48))
        self._nonces.append(claim.nonce)
        self._busy = True
        sent_at = self._clock()
        self._source.append_at(
            claim_key(end.era), claims.encode(claim), end.offset,
            CALL_TIMEOUT_S, lambda position, exc: self._on_appended(
                claim, sent_at, end, position, exc))

    def _on_appended(self, claim, sent_at, end, position, exc):
        self._busy = False
        if exc is not None:
            # The topic has to be read before the next append: another claim
            # may be there, or this one although its answer was lost.
            self._end = None
            if isinstance(exc, errors.ConflictError):
                self._log.info('claim_refused', held=self.held)
            else:
                self._record_failure('claim_failed', exc)
            return
        self._record_success()
        if position.era != end.era:
            # The store lost the history in which the topic was read, and the
            # claim counts for nothing in this one.
            self._log.warning('claim_in_another_era',
                              expected=end.era,
                              era=position.era)
            self._end = None
            return
        if claim.released:
            return
        token = positions.fencing_token(position)
        self.claim, self._sent_at = claim, sent_at
        self._end = position._replace(offset=position.offset + 1)
        self._record_known(token, sent_at)
        taken = not self.held
        if taken:
            self.state = State.HOLDER
            metrics.DUTIES_HELD.set(1)
        self._log.info('claimed', token=token, before=self.token)
        self.token = token
        metrics.DUTIES_TOKEN.set(token)
        if taken:
            self.on_taken()
        self.on_confirmed()

    # -- reading ---------------------------------------------------------------

    def _read(self):
        self._busy = True
        self._source.read_snapshot('', CALL_TIMEOUT_S, self._on_read)

    def _on_read(self, page, exc):
        self._busy = False
        if exc is not None:
            self._record_failure('claim_not_read', exc)
            return
        self._record_success()
        found = _find_claim(page)
        if not found.is_newest and found != self._snapshot:
            # A claim may have been appended while the page was built. Only if
            # the next read finds the same is there no such claim.
            self._snapshot = found
            return
        self._snapshot = None
        if found.claim is not None:
            self._record_known(positions.fencing_token(found.claim),
                               self._clock())
        if not self.held:
            self._follow(found)
        elif not self._confirms_holder(found):
            self.lose('another claim was found')
            return
        self._end = found.end

    def _misses_claims(self, found):
        """Returns whether claims that are not there may have been confirmed."""
        if found.claim is None:
            return self._known.token >= 0
        return found.claim.era < found.end.era

    def _confirms_holder(self, found):
        """Returns whether this holder has made the last claim."""
        if not self._misses_claims(found):
            return self._claim_of(found).nonce in self._nonces
        self._log.warning('claims_lost', era=found.end.era, token=self.token)
        # While its lease lasts no other entry has claimed, also not in the
        # history that was lost.
        return self.claim_age_s() < self._lease_s

    def _follow(self, found):
        """Takes over what the last holder decided."""
        self.claim = self._claim_of(found)
        if not self._misses_claims(found):
            return
        if self._lost_era != found.end.era:
            self._lost_era, self._loss_seen_at = found.end.era, self._clock()
        self.claim = msgspec.structs.replace(self.claim, follows_loss=True)

    def _claim_of(self, found):
        return claims.Claim() if found.claim is None else self._decode(
            found.value)

    def _decode(self, value):
        try:
            return claims.decode(value)
        except errors.RecordError as exc:
            self._log.error('claim_unreadable', error=str(exc))
            return claims.UNREADABLE

    # -- failures --------------------------------------------------------------

    def _record_success(self):
        self._failing_since = None

    def _record_failure(self, event, exc):
        now = self._clock()
        self._retry_at = now + self._rng.uniform(*RETRY_PAUSE_RANGE_S)
        self._log.warning(event, error=str(exc), held=self.held)
        if self._failing_since is None:
            self._failing_since = now
        if self.held and now - self._failing_since > MAX_STORE_SILENCE_S:
            self.lose('the store confirms no claim')
